//! Membership in the group of a cell; the member to which the store assigns the cell's partition owns the cell.
//!
//! A host joins only a group without members: the store could assign the partition to a second member, and each
//! change of owner costs a takeover.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::{sleep, timeout};

use myrtle_adapter::{Cause, StoreError};

use super::{announce_end, announce_owner};
use crate::clock::now;
use crate::host::Host;
use crate::names::{PROGRESS, group};
use crate::owned::Owned;
use crate::renewal::ttl;
use crate::{handoff, takeover};

/// The least time to live of a membership, in milliseconds; a killed owner is replaced after about this time.
pub const MIN_TTL: u64 = 1_600;

/// The number of joins within the time to live.
const JOINS_PER_TTL: u64 = 4;

/// The time limit for a join, a leave or a query.
pub const CALL_LIMIT: Duration = Duration::from_millis(600);

/// The pause after a join that timed out; short, so that a second time-out does not cost the membership.
const LATE_PAUSE: Duration = Duration::from_millis(60);

/// The pause after a failed read.
pub const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How long an owner that stops may take to write its state to the log.
const FLUSH_LIMIT: Duration = Duration::from_millis(1_500);

/// Joins the group of a cell and renews the membership until another host owns the cell.
pub async fn keep_membership(host: &Arc<Host>, cell: u32) {
    let mut generation = 0;
    let (name, member) = (group(cell), host.member());
    let time = Duration::from_millis(ttl(host));
    let mut joined_at = now();
    let mut rejoin = false;
    // Whether a join without an answer may have made the store assign the cell elsewhere.
    let mut maybe_lost = false;
    while !host.stopping() {
        if host.release_asked(cell) && !host.has_capacity() && host.owned(cell).is_some() {
            return hand_over(host, cell, "a host with the capacity asked for it").await;
        }
        let sent_at = now();
        let lapsed = sent_at > joined_at + ttl(host);
        if lapsed {
            match superseded(host, cell, &member).await {
                Some(false) => {}
                Some(true) => return,
                // A join without this check could take the cell from a successor.
                None => {
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
        }
        match host.store.join(&name, &member, PROGRESS, time, generation, CALL_LIMIT).await {
            Ok(joined) => {
                host.store_reached();
                joined_at = sent_at;
                if lapsed && joined.generation != generation || std::mem::take(&mut maybe_lost) {
                    depose_stale(host, cell);
                }
                generation = joined.generation;
                let assigned = joined.assignments.iter().any(|h| h.partition == cell);
                // A partition that was assigned to a new member which has left returns only once this member has joined
                // with that generation.
                rejoin =
                    !assigned && !rejoin && host.owned(cell).is_some_and(|owned| !owned.deposed());
                if rejoin {
                    // That join lets the store assign the cell elsewhere, unless the partition has returned.
                    host.owned(cell).iter().for_each(|owned| owned.unconfirm());
                    info!("event=join-again cell={cell} generation={generation}");
                    continue;
                }
                let fence = host.owned(cell).map(|owned| owned.fence);
                if !apply_join(host, cell, assigned, generation, sent_at).await {
                    leave_group(host, cell).await;
                    if let Some(fence) = fence {
                        announce_end(host, cell, fence).await;
                    }
                    return;
                }
            }
            Err(StoreError::Unexpected { status, text }) => {
                warn!("event=join-refused cell={cell} status={status} text=\"{text}\"");
                generation = 0;
                maybe_lost |= rejoin;
            }
            Err(e) => {
                host.store_failed(&e);
                maybe_lost |= rejoin;
                if matches!(&e, StoreError::Failure(f) if f.cause == Cause::TimedOut) {
                    // The time-out was already about as long as the usual pause.
                    sleep(LATE_PAUSE).await;
                    continue;
                }
            }
        }
        sleep(time / JOINS_PER_TTL as u32).await;
    }
}

/// Whether another host became the owner while this one's membership was lapsed, and if so, stops owning the cell;
/// nothing if the store did not answer.
async fn superseded(host: &Host, cell: u32, member: &str) -> Option<bool> {
    let rows = host.store.owners(&group(cell), CALL_LIMIT).await;
    let rows = rows.inspect_err(|e| host.store_failed(e)).ok()?;
    let other = rows.into_iter().find(|r| r.partition == cell && r.member != member);
    let Some(other) = other else {
        return Some(false);
    };
    info!("event=membership-lapsed cell={cell} owner={}", other.member);
    if let Some(owned) = host.disown(cell) {
        owned.close("another host became the owner while the store was unreachable");
    }
    Some(true)
}

/// Starts or stops owning the cell according to the answer to a join; false if the host has to leave the group.
async fn apply_join(
    host: &Arc<Host>,
    cell: u32,
    assigned: bool,
    generation: u64,
    sent_at: u64,
) -> bool {
    match (assigned, host.owned(cell)) {
        // It would hand over nothing: that has been done, or there was nothing.
        (_, None) if host.stopping() => return false,
        (true, None) => start_owner(host, cell, generation, sent_at),
        (true, Some(owned)) if owned.deposed() => {
            host.disown(cell);
            if generation <= owned.fence {
                // A deposed owner's token can't be used again; a new membership brings a new one.
                return false;
            }
            start_owner(host, cell, generation, sent_at);
        }
        (true, Some(owned)) => owned.confirm(sent_at),
        (false, Some(owned)) => {
            owned.close("the store assigned the cell to another host");
            flush(host, &owned).await;
            host.disown(cell);
            return false;
        }
        // Two hosts joined at once, and the other one owns the cell.
        (false, None) => return false,
    }
    true
}

/// Deposes the owner if another one may have come and gone since: a successor that relies on this one's end would start
/// work again that still runs.
fn depose_stale(host: &Host, cell: u32) {
    if let Some(owned) = host.owned(cell) {
        owned.depose("a change of its group");
    }
}

/// Starts to own a cell, confirmed by a join sent at `sent_at`, and announces it.
fn start_owner(host: &Arc<Host>, cell: u32, fence: u64, sent_at: u64) {
    let owned = takeover::begin(host, cell, fence, sent_at);
    tokio::spawn(announce_owner(host.clone(), owned));
}

/// Leaves the group, so that the store can assign the cell at once.
async fn leave_group(host: &Host, cell: u32) {
    match host.store.leave(&group(cell), &host.member(), CALL_LIMIT).await {
        Ok(()) => info!("event=group-left cell={cell}"),
        Err(e) => warn!("event=group-not-left cell={cell} reason=\"{e}\""),
    }
}

/// Gives up the cell after the last append and announces that it is free.
pub async fn hand_over(host: &Arc<Host>, cell: u32, why: &str) {
    let Some(owned) = host.owned(cell) else {
        return;
    };
    owned.close(why);
    flush(host, &owned).await;
    host.disown(cell);
    leave_group(host, cell).await;
    announce_end(host, cell, owned.fence).await;
}

/// Waits until the owner has written its state; sends the ends of runs that the log did not take to the successor.
async fn flush(host: &Arc<Host>, owned: &Arc<Owned>) {
    let wait = async {
        while !owned.deposed() && (owned.writing() || !owned.state().flushed()) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    if timeout(FLUSH_LIMIT, wait).await.is_err() {
        warn!(
            "event=hand-over-cut cell={} reason=\"the last append did not finish in time\"",
            owned.cell
        );
        handoff::send_unlogged(host, owned);
    }
}
