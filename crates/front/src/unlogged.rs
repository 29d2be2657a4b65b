//! Tells the next owner of a cell which ends this host has heard as its owner and could not log.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

use myrtle_job::RunEnd;
use myrtle_peer::FrontPeerClient;

use crate::clock::{now, wall};
use crate::host::Host;
use crate::owned::Owned;

/// For how long the next owner is looked for, in milliseconds: after that the leases of its workers are over.
const SEARCH: u64 = 12_000;

/// The pause before the next owner is tried again; it may still be reading the log.
const PAUSE: Duration = Duration::from_millis(300);

/// How long it may take to answer.
const ASK: Duration = Duration::from_millis(500);

/// Ends in one call.
const AT_ONCE: usize = 500;

/// Sees to it that a later owner hears what this one has heard and not logged; the host ends no sooner, if it has the
/// time.
pub fn hand_on(host: &Arc<Host>, owned: &Owned) {
    let ends = owned.state().unlogged().to_vec();
    if ends.is_empty() {
        return;
    }
    let (cell, fence) = (owned.cell, owned.fence);
    warn!("event=ends-unlogged cell={cell} fence={fence} count={}", ends.len());
    let host = host.clone();
    host.handing_on.clone().spawn(async move { pass_on(&host, cell, fence, ends).await });
}

/// Tells a later owner what one under a fencing token has heard, until that has taken it in.
async fn pass_on(host: &Host, cell: u32, fence: u64, ends: Vec<RunEnd>) {
    let until = now() + SEARCH;
    let mut left = ends.as_slice();
    while !left.is_empty() && now() < until {
        let (some, others) = left.split_at(left.len().min(AT_ONCE));
        if tell(host, cell, fence, some).await {
            left = others;
        } else {
            sleep(PAUSE).await;
        }
    }
    info!("event=ends-passed-on cell={cell} fence={fence} left={}", left.len());
}

/// Tells the owner of a cell some ends, if there is a later one that takes them.
async fn tell(host: &Host, cell: u32, fence: u64, ends: &[RunEnd]) -> bool {
    if take(host, cell, fence, ends) {
        return true;
    }
    let Some(at) = host.owners.find(host, cell).await.filter(|&at| at != host.peer()) else {
        return false;
    };
    let ends = ends.to_vec();
    let ask =
        |c: FrontPeerClient, context| async move { c.ended(context, cell, fence, ends).await };
    host.owners.call(at, ASK, ask).await.unwrap_or(false)
}

/// Takes in what an earlier owner under a fencing token has heard; false if this host is no later owner, or has not
/// read the log yet.
pub fn take(host: &Host, cell: u32, fence: u64, ends: &[RunEnd]) -> bool {
    let Some(owned) = host.owned(cell).filter(|o| !o.closed() && o.fence > fence) else {
        return false;
    };
    let mut state = owned.state();
    if !state.loaded {
        return false;
    }
    ends.iter().for_each(|end| state.hear_end(end, now(), wall()));
    drop(state);
    owned.work.notify_one();
    true
}
