//! Appends transferred jobs and tasks to the logs of their new cells.

mod outbox;

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{StoreError, frame_keyed};
use myrtle_owner::Delivery;

use crate::host::Host;
use crate::names::JOBS;
use crate::owned::Owned;

pub use outbox::Outbox;

/// The time limit for an append.
const APPEND_LIMIT: Duration = Duration::from_millis(2_500);

/// Queues records, and appends them in a task for each cell that has none yet.
pub fn deliver_all(host: &Arc<Host>, owned: &Arc<Owned>, deliveries: Vec<Delivery>) {
    for delivery in deliveries {
        let cell = delivery.to;
        if owned.outbox().add(delivery) {
            let (host, owned) = (host.clone(), owned.clone());
            tokio::spawn(async move { deliver(&host, &owned, cell).await });
        }
    }
}

/// Appends what waits for a cell until nothing does; a repeated append writes the same records, so it is harmless.
///
/// A stopping host continues until its process ends, as its successor would do this only after the takeover.
async fn deliver(host: &Host, owned: &Owned, cell: u32) {
    while !owned.deposed() {
        let batch = owned.outbox().next(cell);
        if batch.is_empty() {
            return;
        }
        let mut body = BytesMut::new();
        batch.iter().for_each(|d| frame_keyed(&mut body, &d.key.to_string(), &d.record));
        match host.store.append(JOBS, cell, None, body.freeze(), APPEND_LIMIT).await {
            Ok(_) => {
                owned.outbox().succeeded(cell);
                mark_delivered(owned, &batch);
            }
            Err(e) => {
                let keys = batch.len();
                warn!(
                    "event=not-delivered key={} keys={keys} to={cell} reason=\"{e}\"",
                    batch[0].key
                );
                host.store_failed(&e);
                let rejected = matches!(e, StoreError::Unexpected { .. });
                let pause = owned.outbox().failed(cell, batch, rejected);
                sleep(pause).await;
            }
        }
    }
}

fn mark_delivered(owned: &Owned, batch: &[Delivery]) {
    let mut cell = owned.state();
    for Delivery { key, to, .. } in batch {
        info!("event=delivered key={key} to={to}");
        cell.delivered(*key);
    }
    drop(cell);
    owned.wake.notify_one();
}
