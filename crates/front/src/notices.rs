//! Notices that a cell is free, from a host that stops to those that may follow.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use log::warn;
use tokio::time::sleep;

use myrtle_adapter::{StoreError, frame};

use crate::host::Host;
use crate::member::{LIMIT, PAUSE};
use crate::names::NOTICES;

/// How long a read waits for the notice that a cell is free.
const NOTICE_WAIT: Duration = Duration::from_secs(10);

/// What an answer may take beyond that.
const NOTICE_BEYOND: Duration = Duration::from_millis(500);

/// Tells the other hosts that a cell is free.
pub async fn tell(host: &Host, cell: u32) {
    let mut notice = BytesMut::new();
    frame(&mut notice, host.settings.name.as_bytes());
    if let Err(e) = host.store.append(NOTICES, cell, None, notice.freeze(), LIMIT).await {
        warn!("event=notice-failed cell={cell} reason=\"{e}\"");
    }
}

/// Ends the pause before the next look whenever a cell is given up.
pub async fn hear(host: Arc<Host>, cell: u32) {
    let mut from = None;
    while !host.stopping() {
        if from.is_none() {
            // An append of nothing tells where the partition ends.
            let end = host.store.append(NOTICES, cell, None, Bytes::new(), LIMIT).await;
            from = end.inspect_err(|e| host.store_missed(e)).ok();
        }
        let Some(at) = from else {
            sleep(PAUSE).await;
            continue;
        };
        let limit = NOTICE_WAIT + NOTICE_BEYOND;
        match host.store.read(NOTICES, cell, at, NOTICE_WAIT, limit).await {
            Ok(page) => {
                from = Some(at + page.records.len() as u64);
                if !page.records.is_empty() {
                    host.wake(cell);
                }
            }
            Err(StoreError::Gone { .. }) => from = None,
            Err(e) => {
                host.store_missed(&e);
                sleep(PAUSE).await;
            }
        }
    }
}
