//! Membership in the group of a cell: who holds the cell's partition owns the cell.
//!
//! A host joins only when nobody holds the cell, and so is the group's only member: whoever joins
//! beside it could be dealt its partition, and each change of owner costs a takeover.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::{sleep, timeout};

use myrtle_adapter::{Cause, StoreError};

use super::{tell_held, tell_over};
use crate::clock::now;
use crate::hold::ttl;
use crate::host::Host;
use crate::names::{PROGRESS, group};
use crate::owned::Owned;
use crate::{takeover, unlogged};

/// How long the store keeps a silent member, in milliseconds, unless the platform's least is more:
/// a killed owner is replaced about as soon.
pub const TTL: u64 = 1_600;

/// Joins within that time.
const JOINS: u64 = 4;

/// How long a join, a leave or a look may take.
pub const LIMIT: Duration = Duration::from_millis(600);

/// The pause after a join that had no answer: a second one without an answer must not cost the
/// membership.
const SOON: Duration = Duration::from_millis(60);

/// The pause after a read that failed.
pub const PAUSE: Duration = Duration::from_millis(300);

/// How long an owner that stops may take to write what it has.
const HAND_OVER: Duration = Duration::from_millis(1_500);

/// Joins the group of a cell and stays in it until another host holds the cell.
pub async fn stay(host: &Arc<Host>, cell: u32) {
    let mut generation = 0;
    let (name, member) = (group(cell), host.member());
    let time = Duration::from_millis(ttl(host));
    let mut joined_at = now();
    let mut again = false;
    // Whether a join without an answer may have given the cell away.
    let mut given = false;
    while !host.stopping() {
        if host.take_asked(cell) && !host.strong() && host.owned(cell).is_some() {
            return hand_over(host, cell, "a stronger host asked for it").await;
        }
        let sent = now();
        let lapsed = sent > joined_at + ttl(host);
        if lapsed {
            match followed(host, cell, &member).await {
                Some(false) => {}
                Some(true) => return,
                // Joining blindly could take the cell from a host that has followed.
                None => {
                    sleep(PAUSE).await;
                    continue;
                }
            }
        }
        match host.store.join(&name, &member, PROGRESS, time, generation, LIMIT).await {
            Ok(joined) => {
                host.store_reached();
                joined_at = sent;
                if lapsed && joined.generation != generation || std::mem::take(&mut given) {
                    retire(host, cell);
                }
                generation = joined.generation;
                let mine = joined.holdings.iter().any(|h| h.part == cell);
                // What was dealt to a newcomer that has left again is back only once its holder has joined with the
                // generation of that.
                again = !mine && !again && host.owned(cell).is_some_and(|owned| !owned.deposed());
                if again {
                    // The store gives the cell away with that join, unless it is back.
                    host.owned(cell).iter().for_each(|owned| owned.unconfirm());
                    info!("event=join-again cell={cell} generation={generation}");
                    continue;
                }
                let fence = host.owned(cell).map(|owned| owned.fence);
                if !settle(host, cell, mine, generation, sent).await {
                    give_up(host, cell).await;
                    if let Some(fence) = fence {
                        tell_over(host, cell, fence).await;
                    }
                    return;
                }
            }
            Err(StoreError::Strange { status, text }) => {
                warn!("event=join-refused cell={cell} status={status} text=\"{text}\"");
                generation = 0;
                given |= again;
            }
            Err(e) => {
                host.store_missed(&e);
                given |= again;
                if matches!(&e, StoreError::Failure(f) if f.cause == Cause::Late) {
                    // Its wait has taken the time of the next one already.
                    sleep(SOON).await;
                    continue;
                }
            }
        }
        sleep(time / JOINS as u32).await;
    }
}

/// Whether another host has followed while this one's membership lapsed, if the store tells; ends
/// to own the cell if so.
async fn followed(host: &Host, cell: u32, member: &str) -> Option<bool> {
    let rows = host.store.owners(&group(cell), LIMIT).await;
    let rows = rows.inspect_err(|e| host.store_missed(e)).ok()?;
    let other = rows.into_iter().find(|r| r.part == cell && r.member != member);
    let Some(other) = other else {
        return Some(false);
    };
    info!("event=membership-lapsed cell={cell} owner={}", other.member);
    if let Some(owned) = host.disown(cell) {
        owned.close("another host has followed while the store was out of reach");
    }
    Some(true)
}

/// Begins or ends to own the cell as the store says; false if the host has to leave the group.
async fn settle(host: &Arc<Host>, cell: u32, mine: bool, generation: u64, sent: u64) -> bool {
    match (mine, host.owned(cell)) {
        (true, None) => begin(host, cell, generation, sent),
        (true, Some(owned)) if owned.deposed() => {
            host.disown(cell);
            if generation <= owned.fence {
                // The token is spent: another one comes with another membership.
                return false;
            }
            begin(host, cell, generation, sent);
        }
        (true, Some(owned)) => owned.confirm(sent),
        (false, Some(owned)) => {
            owned.close("the store gave the cell to another host");
            finish(host, &owned).await;
            host.disown(cell);
            return false;
        }
        // Two have joined at once and the other one holds the cell.
        (false, None) => return false,
    }
    true
}

/// Ends to own a cell under a token after which another owner may have begun and ended, unnoticed; the next one that
/// counts on this one's end would give work away that still runs.
fn retire(host: &Host, cell: u32) {
    if let Some(owned) = host.owned(cell) {
        owned.depose("a change of its group");
    }
}

/// Begins to own a cell as the answer to a join that was `sent` says, and tells all hosts.
fn begin(host: &Arc<Host>, cell: u32, fence: u64, sent: u64) {
    let owned = takeover::begin(host, cell, fence, sent);
    tokio::spawn(tell_held(host.clone(), owned));
}

/// Leaves the group, so that what is held passes on at once.
async fn give_up(host: &Host, cell: u32) {
    match host.store.leave(&group(cell), &host.member(), LIMIT).await {
        Ok(()) => info!("event=group-left cell={cell}"),
        Err(e) => warn!("event=group-not-left cell={cell} reason=\"{e}\""),
    }
}

/// Gives the cell up after the last append and tells the other hosts that it is free.
pub async fn hand_over(host: &Arc<Host>, cell: u32, why: &str) {
    let Some(owned) = host.owned(cell) else {
        return;
    };
    owned.close(why);
    finish(host, &owned).await;
    host.disown(cell);
    give_up(host, cell).await;
    tell_over(host, cell, owned.fence).await;
}

/// Waits until the owner has written what it knew; what the log doesn't take is for the next owner to hear.
async fn finish(host: &Arc<Host>, owned: &Arc<Owned>) {
    let wait = async {
        while !owned.deposed() && (owned.writing() || !owned.state().idle()) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    if timeout(HAND_OVER, wait).await.is_err() {
        warn!("event=hand-over-cut cell={} reason=\"the log did not take it\"", owned.cell);
        unlogged::hand_on(host, owned);
    }
}
