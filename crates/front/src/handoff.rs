//! Sends the ends of runs that an owner received and could not log to its successor.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

use myrtle_job::RunEnd;
use myrtle_peer::FrontPeerClient;

use crate::clock::{now, wall};
use crate::host::Host;
use crate::owned::Owned;

/// How long the successor is searched for, in milliseconds; after that the leases of the workers have expired.
const SEARCH_MS: u64 = 12_000;

/// The pause before the successor is called again; it may still be reading the log.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The time limit for one call.
const SEND_LIMIT: Duration = Duration::from_millis(500);

/// The largest number of ends in one call.
const MAX_ENDS: usize = 500;

/// Starts to send the unlogged ends of a cell to its successor; a stopping host waits for this if it has the time.
pub fn send_unlogged(host: &Arc<Host>, owned: &Owned) {
    let ends = owned.state().unlogged().to_vec();
    if ends.is_empty() {
        return;
    }
    let (cell, fence) = (owned.cell, owned.fence);
    warn!("event=ends-unlogged cell={cell} fence={fence} count={}", ends.len());
    let host = host.clone();
    host.successor_calls.clone().spawn(async move { send_all(&host, cell, fence, ends).await });
}

/// Sends the ends that the owner with a fencing token received, until a successor has accepted all or the time is over.
async fn send_all(host: &Host, cell: u32, fence: u64, ends: Vec<RunEnd>) {
    let until = now() + SEARCH_MS;
    let mut unsent = ends.as_slice();
    while !unsent.is_empty() && now() < until {
        let (batch, rest) = unsent.split_at(unsent.len().min(MAX_ENDS));
        if send(host, cell, fence, batch).await {
            unsent = rest;
        } else {
            sleep(RETRY_PAUSE).await;
        }
    }
    info!("event=ends-passed-on cell={cell} fence={fence} left={}", unsent.len());
}

/// Sends some ends to the cell's owner; true if a successor has accepted them.
async fn send(host: &Host, cell: u32, fence: u64, ends: &[RunEnd]) -> bool {
    if receive(host, cell, fence, ends) {
        return true;
    }
    let Some(at) = host.owners.find(host, cell).await.filter(|&at| at != host.peer()) else {
        return false;
    };
    let ends = ends.to_vec();
    let call = |c: FrontPeerClient, context| async move {
        c.report_ends(context, cell, fence, ends).await
    };
    host.owners.call(at, SEND_LIMIT, call).await.unwrap_or(false)
}

/// Applies the ends that an earlier owner with a fencing token received; false if this host is not its successor or has
/// not read the log yet.
pub fn receive(host: &Host, cell: u32, fence: u64, ends: &[RunEnd]) -> bool {
    let Some(owned) = host.owned(cell).filter(|o| !o.closed() && o.fence > fence) else {
        return false;
    };
    let mut state = owned.state();
    if !state.loaded {
        return false;
    }
    ends.iter().for_each(|end| state.restore_end(end, now(), wall()));
    drop(state);
    owned.wake.notify_one();
    true
}
