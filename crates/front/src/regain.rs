//! Notices that the store serves this host again, soon after it serves the owner of any cell.
//!
//! Load pattern: the store is back, and hosts whose own calls are rare notice it up to a second later. Until then they
//! refuse jobs that could be accepted. Owners call the store all the time, so a host that has lost it asks them, and
//! probes the store only once one of them is served: the hosts don't call a store that is down.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::{Instant, sleep};

use myrtle_peer::FrontPeerClient;

use crate::backoff::Backoff;
use crate::host::Host;
use crate::layout::Layout;
use crate::probe::probe_store;

/// The time between two rounds of questions, of which a random half is left out so that hosts don't probe at once.
const ASK_EVERY: Duration = Duration::from_millis(150);

/// The time limit for a question.
const ASK_LIMIT: Duration = Duration::from_millis(100);

/// The largest number of owners asked in a round.
const MAX_ASKED: u32 = 2;

/// The pause after a probe that failed, doubled up to the maximum: the store may turn this host away for long.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// The longest pause after probes that failed.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Runs until the process ends; idle while the store answers.
pub async fn run(host: Arc<Host>) {
    loop {
        host.lost_store.notified().await;
        wait_regained(&host).await;
    }
}

/// Asks and probes until the store counts as reached.
async fn wait_regained(host: &Host) {
    let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    let mut probe_at = Instant::now();
    while host.store_lost() {
        sleep(ASK_EVERY.mul_f64(rand::random_range(0.5..1.0))).await;
        if Instant::now() < probe_at || !host.store_lost() {
            continue;
        }
        let Some(cell) = served_cell(host).await else {
            continue;
        };
        if probe_store(host, cell).await {
            info!("event=store-probed cell={cell} outcome=served");
        } else {
            probe_at = Instant::now() + backoff.pause();
        }
    }
}

/// A cell whose owner, another host, says that the store serves it.
async fn served_cell(host: &Host) -> Option<u32> {
    let count = host.layout().map_or(0, Layout::count);
    if count == 0 {
        return None;
    }
    let first = rand::random_range(0..count);
    for cell in (0..count.min(MAX_ASKED)).map(|n| (first + n) % count) {
        let Some(at) = host.owners.known(cell).filter(|at| *at != host.peer()) else {
            continue;
        };
        let ask = |c: FrontPeerClient, context| async move { c.can_write(context, cell).await };
        if host.owners.call(at, ASK_LIMIT, ask).await == Some(true) {
            return Some(cell);
        }
    }
    None
}
