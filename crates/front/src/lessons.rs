//! Hands what an owner has learned to the next one, by way of the log.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{StoreError, frame_keyed};

use crate::clock::{now, wall};
use crate::host::Host;
use crate::names::LESSONS;
use crate::newest::newest;
use crate::owned::Owned;

/// The time between two writings: about as long as a new owner would take to learn the same.
const EVERY: Duration = Duration::from_secs(5);

/// How long the store may take for an append or a page.
const LIMIT: Duration = Duration::from_millis(1_000);

/// The key of a cell's lessons in its partition.
const KEY: &str = "cell";

/// Writes what the owner has learned until the cell is another host's.
pub async fn run(host: Arc<Host>, owned: Arc<Owned>) {
    loop {
        sleep(EVERY).await;
        if owned.closed() {
            return;
        }
        // A deposed owner's lessons are as good as any, so they need no fencing token.
        if let Err(e) = write(&host, &owned).await {
            warn!("event=lessons-unwritten cell={} reason=\"{e}\"", owned.cell);
        }
    }
}

/// Goes on with what the last owner has learned; without it the owner learns anew.
pub async fn recall(host: &Host, owned: &Owned) {
    let mut found = None;
    let read = newest(host, LESSONS, owned.cell, LIMIT, |item| found = Some(item.value)).await;
    if let Err(e) = read {
        warn!("event=lessons-unread cell={} reason=\"{e}\"", owned.cell);
        return;
    }
    let Some(bytes) = found else {
        return;
    };
    match owned.state().recall(&bytes, now(), wall()) {
        Ok(()) => info!("event=lessons-recalled cell={} bytes={}", owned.cell, bytes.len()),
        Err(e) => warn!("event=lessons-unread cell={} reason=\"{e}\"", owned.cell),
    }
}

/// Writes what the owner has learned, if it has learned anything.
async fn write(host: &Host, owned: &Owned) -> Result<(), StoreError> {
    let Some(lessons) = owned.state().lessons(now(), wall()) else {
        return Ok(());
    };
    let mut body = BytesMut::new();
    frame_keyed(&mut body, KEY, &lessons);
    host.store.append(LESSONS, owned.cell, None, body.freeze(), LIMIT).await.map(drop)
}
