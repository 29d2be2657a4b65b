//! Membership in the group of a cell: who holds the cell's partition owns the cell.
//!
//! A host joins only when nobody holds the cell, and so is the group's only member: whoever joins
//! beside it could be dealt its partition, and each change of owner costs a takeover.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::{sleep, timeout};

use myrtle_adapter::{Cause, StoreError};
use myrtle_peer::FrontPeerClient;

use crate::clock::now;
use crate::hold::ttl;
use crate::host::Host;
use crate::layout::Layout;
use crate::names::{PROGRESS, group};
use crate::owned::Owned;
use crate::owners::{address, carries};
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

/// How long a host that is too weak for a cell leaves it to stronger ones, in milliseconds: they see
/// it within a look, and wait for their own jitter.
const WEAK_WAIT: u64 = 1_500;

/// Looks in a row that show a weak owner before a stronger host asks for the cell: 2.7 s, so that
/// hosts that come back together settle first.
const WEAK_LOOKS: u32 = 6;

/// How long a request for a cell may take.
const ASK: Duration = Duration::from_millis(400);

/// How long a join, a leave or a look may take.
pub const LIMIT: Duration = Duration::from_millis(600);

/// The pause after a join that had no answer: a second one without an answer must not cost the
/// membership.
const SOON: Duration = Duration::from_millis(60);

/// The pause after a read that failed.
pub const PAUSE: Duration = Duration::from_millis(300);

/// How long an owner that stops may take to write what it has.
const HAND_OVER: Duration = Duration::from_millis(1_500);

/// Who holds a cell, by the store.
enum Standing {
    /// Nobody.
    Vacant,
    /// A host that can own it.
    Held,
    /// A host that is too weak for it, where it answers peers.
    Weak(SocketAddr),
    /// The store does not tell.
    Unknown,
}

/// Owns a cell whenever nobody else does, until the host stops.
pub async fn take_part(host: Arc<Host>, cell: u32) {
    let waker = host.waker(cell);
    let mut weak = 0;
    while !host.stopping() {
        match standing(&host, cell).await {
            Standing::Vacant => {
                sleep(wait(&host)).await;
                let still = matches!(standing(&host, cell).await, Standing::Vacant);
                if !host.stopping() && still {
                    stay(&host, cell).await;
                }
                weak = 0;
            }
            Standing::Weak(at) if host.strong() => {
                weak += 1;
                if weak >= WEAK_LOOKS {
                    weak = 0;
                    info!("event=cell-asked-for cell={cell} of={at}");
                    let ask =
                        |c: FrontPeerClient, context| async move { c.relieve(context, cell).await };
                    let _ = host.owners.call(at, ASK, ask).await;
                }
            }
            Standing::Unknown => {}
            Standing::Held | Standing::Weak(_) => weak = 0,
        }
        let _ = timeout(LOOK, waker.notified()).await;
    }
}

/// How long this host leaves a free cell to others.
fn wait(host: &Host) -> Duration {
    // Hosts that own a cell already leave the next one to others.
    let wait = rand::random_range(0..JITTER) + JITTER * host.owned_count() as u64;
    let weak = if host.strong() { 0 } else { WEAK_WAIT };
    Duration::from_millis(wait + weak)
}

/// Who holds a cell.
async fn standing(host: &Host, cell: u32) -> Standing {
    let rows = match host.store.owners(&group(cell), LIMIT).await {
        Ok(rows) => rows,
        Err(e) => {
            host.store_missed(&e);
            return Standing::Unknown;
        }
    };
    host.store_reached();
    let Some(owner) = rows.into_iter().find(|r| r.part == cell) else {
        return Standing::Vacant;
    };
    let size = host.layout().map_or(0, Layout::size);
    if let Some(at) = address(&owner.member) {
        host.owners.learn(cell, at);
    }
    let weak = carries(&owner.member).is_some_and(|most| most < size);
    match address(&owner.member).filter(|_| weak) {
        Some(at) => Standing::Weak(at),
        None => Standing::Held,
    }
}

/// Joins the group of a cell and stays in it until another host holds the cell.
async fn stay(host: &Arc<Host>, cell: u32) {
    let mut generation = 0;
    let (name, member) = (group(cell), host.member());
    let time = Duration::from_millis(ttl(host));
    let mut joined_at = now();
    let mut again = false;
    while !host.stopping() {
        if host.take_asked(cell) && !host.strong() && host.owned(cell).is_some() {
            return hand_over(host, cell, "a stronger host asked for it").await;
        }
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
                // What was dealt to a newcomer that has left again is back only once its holder has joined with the
                // generation of that.
                again = !mine && !again && host.owned(cell).is_some_and(|owned| !owned.deposed());
                if again {
                    info!("event=join-again cell={cell} generation={generation}");
                    continue;
                }
                if !settle(host, cell, mine, generation, sent).await {
                    return give_up(host, cell).await;
                }
            }
            Err(StoreError::Strange { status, text }) => {
                warn!("event=join-refused cell={cell} status={status} text=\"{text}\"");
                generation = 0;
            }
            Err(e) => {
                host.store_missed(&e);
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
pub async fn hand_over(host: &Host, cell: u32, why: &str) {
    let Some(owned) = host.owned(cell) else {
        return;
    };
    owned.close(why);
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
