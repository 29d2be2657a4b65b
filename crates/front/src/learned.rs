//! Stores an owner's learned model in the log for its successor.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{StoreError, frame_keyed};

use crate::clock::{now, wall};
use crate::host::Host;
use crate::names::LEARNED;
use crate::newest::newest;
use crate::owned::Owned;

/// The time between two writes: about as long as a new owner would take to learn the same.
const EVERY: Duration = Duration::from_secs(5);

/// The time limit for an append or a page.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);

/// The key of a cell's learned model in its partition.
const KEY: &str = "cell";

/// Writes the learned model periodically until the owner is closed.
pub async fn run(host: Arc<Host>, owned: Arc<Owned>) {
    loop {
        sleep(EVERY).await;
        if owned.closed() {
            return;
        }
        // A deposed owner's model is as good as any, so the write needs no fencing token.
        if let Err(e) = write(&host, &owned).await {
            warn!("event=lessons-unwritten cell={} reason=\"{e}\"", owned.cell);
        }
    }
}

/// Loads the learned model of the last owner; without one this owner starts to learn afresh.
pub async fn load(host: &Host, owned: &Owned) {
    let mut found = None;
    let read = newest(host, LEARNED, owned.cell, CALL_LIMIT, |item| found = Some(item.value)).await;
    if let Err(e) = read {
        warn!("event=lessons-unread cell={} reason=\"{e}\"", owned.cell);
        return;
    }
    let Some(bytes) = found else {
        return;
    };
    match owned.state().restore_model(&bytes, now(), wall()) {
        Ok(()) => info!("event=lessons-recalled cell={} bytes={}", owned.cell, bytes.len()),
        Err(e) => warn!("event=lessons-unread cell={} reason=\"{e}\"", owned.cell),
    }
}

/// Writes the learned model, if there is one.
async fn write(host: &Host, owned: &Owned) -> Result<(), StoreError> {
    let Some(model) = owned.state().learned_model(now(), wall()) else {
        return Ok(());
    };
    let mut body = BytesMut::new();
    frame_keyed(&mut body, KEY, &model);
    host.store.append(LEARNED, owned.cell, None, body.freeze(), CALL_LIMIT).await.map(drop)
}
