//! Asks other cells for their load.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use myrtle_peer::{FrontPeerClient, JobReport};

use crate::clock::{now, wall};
use crate::host::Host;
use crate::layout::Layout;
use crate::owned::Owned;
use crate::peers;

/// The time between two rounds.
const EVERY: Duration = Duration::from_millis(300);

/// The time limit for a call to another owner.
const ASK_LIMIT: Duration = Duration::from_millis(300);

/// The largest number of cells asked in a round; the best of a few is nearly as good as the best of all.
const MAX_ASKED: u32 = 3;

/// The number of rounds between two checks for jobs that other cells have forgotten: half a minute.
const FORGET_EVERY: u32 = 100;

/// Asks other cells for their load until the owner is closed.
pub async fn run(host: Arc<Host>, owned: Arc<Owned>) {
    let count = host.layout().map_or(1, Layout::count);
    if count < 2 {
        return;
    }
    let mut rounds = 0u32;
    while !owned.closed() {
        let first = rand::random_range(0..count);
        for cell in (0..count.min(MAX_ASKED + 1)).map(|n| (first + n) % count) {
            if cell != owned.cell {
                ask_cell(&host, &owned, cell).await;
            }
        }
        rounds = rounds.wrapping_add(1);
        if rounds.is_multiple_of(FORGET_EVERY) {
            forget(&host, &owned).await;
        }
        sleep(EVERY).await;
    }
}

/// Asks a cell for its report or, if its owner is of an earlier build, for its load.
async fn ask_cell(host: &Host, owned: &Owned, cell: u32) {
    if let Some(report) = peers::cell_report(host, cell) {
        return owned.state().record_report(cell, report, now());
    }
    let Some(at) = host.owners.find(host, cell).await.filter(|at| *at != host.peer()) else {
        return;
    };
    let ask = |c: FrontPeerClient, context| async move { c.cell_report(context, cell).await };
    if let Some(answer) = host.owners.call_newer(at, ASK_LIMIT, ask).await {
        if let Some(report) = answer {
            owned.state().record_report(cell, report, now());
        }
        return;
    }
    let ask = |c: FrontPeerClient, context| async move { c.load(context, cell).await };
    if let Some(Some(load)) = host.owners.call(at, ASK_LIMIT, ask).await {
        owned.state().record_load(cell, load, now());
    }
}

/// Forgets moved jobs that their new cells no longer have.
async fn forget(host: &Host, owned: &Owned) {
    let candidates = owned.state().maybe_removed(wall());
    for (job, cell) in candidates {
        let Some(at) = host.owners.find(host, cell).await else {
            continue;
        };
        let ask = |c: FrontPeerClient, context| async move { c.state(context, cell, job).await };
        if host.owners.call(at, ASK_LIMIT, ask).await == Some(JobReport::Unknown) {
            owned.state().remove_transferred(job);
        }
    }
}
