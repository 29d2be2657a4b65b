//! Membership in the group of a cell: who holds the cell's partition owns the cell.
//!
//! A host joins only when nobody holds the cell, and so is the group's only member: whoever joins
//! beside it could be dealt its partition, and each change of owner costs a takeover.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::{sleep, timeout};

use myrtle_adapter::StoreError;

use crate::clock::now;
use crate::hold::ttl;
use crate::host::Host;
use crate::names::{PROGRESS, group};
use crate::owned::Owned;
use crate::{notices, takeover};

/// How long the store keeps a silent member, in milliseconds, unless the platform's least is more:
/// a killed owner is replaced about as soon.
pub const TTL: u64 = 1_600;

/// Joins within that time.
const JOINS: u64 = 4;

/// The time between two looks at whether a cell has an owner.
const LOOK: Duration = Duration::from_millis(450);

/// The longest wait of a host that finds a cell without an owner, in milliseconds, so that seldom
/// two join at once.
const JITTER: u64 = 500;

/// How long a join, a leave or a look may take.
pub const LIMIT: Duration = Duration::from_millis(600);

/// The pause after a read that failed.
pub const PAUSE: Duration = Duration::from_millis(300);

/// How long an owner that stops may take to write what it has.
const HAND_OVER: Duration = Duration::from_millis(1_500);

/// Owns a cell whenever nobody else does, until the host stops.
pub async fn take_part(host: Arc<Host>, cell: u32) {
    let waker = host.waker(cell);
    while !host.stopping() {
        if vacant(&host, cell).await {
            // Hosts that own a cell already leave the next one to others.
            let wait = rand::random_range(0..JITTER) + JITTER * host.owned_count() as u64;
            let jitter = Duration::from_millis(wait);
            sleep(jitter).await;
            if !host.stopping() && vacant(&host, cell).await {
                stay(&host, cell).await;
            }
        }
        let _ = timeout(LOOK, waker.notified()).await;
    }
}

/// Whether the store says that nobody holds a cell.
async fn vacant(host: &Host, cell: u32) -> bool {
    match host.store.owners(&group(cell), LIMIT).await {
        Ok(rows) => {
            host.store_reached();
            !rows.iter().any(|r| r.part == cell)
        }
        Err(e) => {
            host.store_missed(&e);
            false
        }
    }
}

/// Joins the group of a cell and stays in it until another host holds the cell.
async fn stay(host: &Arc<Host>, cell: u32) {
    let mut generation = 0;
    let (name, member) = (group(cell), host.member());
    let time = Duration::from_millis(ttl(host));
    let mut joined_at = now();
    while !host.stopping() {
        let sent = now();
        if sent > joined_at + ttl(host) {
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
                generation = joined.generation;
                let mine = joined.holdings.iter().any(|h| h.part == cell);
                if !settle(host, cell, mine, generation, sent).await {
                    return give_up(host, cell).await;
                }
            }
            Err(StoreError::Strange { status, text }) => {
                warn!("event=join-refused cell={cell} status={status} text=\"{text}\"");
                generation = 0;
            }
            Err(e) => host.store_missed(&e),
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
        (true, None) => drop(takeover::begin(host, cell, generation)),
        (true, Some(owned)) if owned.deposed() => {
            host.disown(cell);
            if generation <= owned.fence {
                // The token is spent: another one comes with another membership.
                return false;
            }
            takeover::begin(host, cell, generation);
        }
        (true, Some(owned)) => owned.confirm(sent),
        (false, Some(owned)) => {
            owned.close("the store gave the cell to another host");
            finish(&owned).await;
            host.disown(cell);
            return false;
        }
        // Two have joined at once and the other one holds the cell.
        (false, None) => return false,
    }
    true
}

/// Leaves the group, so that what is held passes on at once.
async fn give_up(host: &Host, cell: u32) {
    match host.store.leave(&group(cell), &host.member(), LIMIT).await {
        Ok(()) => info!("event=group-left cell={cell}"),
        Err(e) => warn!("event=group-not-left cell={cell} reason=\"{e}\""),
    }
}

/// Gives the cell up after the last append and tells the other hosts that it is free.
pub async fn hand_over(host: &Host, cell: u32) {
    let Some(owned) = host.owned(cell) else {
        return;
    };
    owned.close("the host stops");
    finish(&owned).await;
    host.disown(cell);
    give_up(host, cell).await;
    notices::tell(host, cell).await;
}

/// Waits until the owner has written what it knew.
async fn finish(owned: &Arc<Owned>) {
    let wait = async {
        while !owned.deposed() && (owned.writing() || !owned.state().idle()) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    if timeout(HAND_OVER, wait).await.is_err() {
        warn!("event=hand-over-cut cell={} reason=\"the log did not take it\"", owned.cell);
    }
}
