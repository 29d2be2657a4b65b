//! Membership in the group of a cell: who holds the cell's partition owns the cell.

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
use crate::takeover;

/// How long the store keeps a silent member, in milliseconds, unless the platform's least is more:
/// a killed owner is replaced about as soon.
pub const TTL: u64 = 1_600;

/// Joins within that time.
const JOINS: u64 = 4;

/// How long a join may take.
const LIMIT: Duration = Duration::from_millis(600);

/// How long a call to the next owner may take.
const CALL: Duration = Duration::from_millis(200);

/// How long an owner that stops may take to write what it has.
const HAND_OVER: Duration = Duration::from_millis(1_500);

/// Takes part in the group of a cell until the host stops.
pub async fn take_part(host: Arc<Host>, cell: u32) {
    let mut generation = 0;
    let (name, member) = (group(cell), host.member());
    let ttl = ttl(&host);
    let pause = Duration::from_millis(ttl / JOINS);
    let waker = host.waker(cell);
    while !host.stopping() {
        let sent = now();
        let time = Duration::from_millis(ttl);
        match host.store.join(&name, &member, PROGRESS, time, generation, LIMIT).await {
            Ok(joined) => {
                host.store_reached();
                generation = joined.generation;
                let mine = joined.holdings.iter().any(|h| h.part == cell);
                if settle(&host, cell, mine, generation, sent).await {
                    // Joining again lets the cell go.
                    let time = Duration::from_millis(ttl);
                    let again =
                        host.store.join(&name, &member, PROGRESS, time, generation, LIMIT).await;
                    if let Ok(joined) = again {
                        generation = joined.generation;
                        call_next(&host, cell).await;
                    }
                }
            }
            Err(StoreError::Strange { status, text }) => {
                warn!("event=join-refused cell={cell} status={status} text=\"{text}\"");
                generation = 0;
            }
            Err(e) => host.store_missed(&e),
        }
        let _ = timeout(pause, waker.notified()).await;
    }
}

/// Begins or ends to own the cell as the store says; true if the store has to be told at once.
async fn settle(host: &Arc<Host>, cell: u32, mine: bool, generation: u64, sent: u64) -> bool {
    match (mine, host.owned(cell)) {
        (true, None) => drop(takeover::begin(host, cell, generation)),
        (true, Some(owned)) if owned.deposed() => {
            host.disown(cell);
            if generation > owned.fence {
                takeover::begin(host, cell, generation);
            } else {
                // The token is spent: another one comes with another membership.
                give_up(host, cell).await;
            }
        }
        (true, Some(owned)) => owned.confirm(sent),
        (false, Some(owned)) => {
            owned.close("the store gave the cell to another host");
            finish(&owned).await;
            host.disown(cell);
            return true;
        }
        (false, None) => {}
    }
    false
}

/// Leaves the group, so that what is held passes on at once.
async fn give_up(host: &Host, cell: u32) {
    match host.store.leave(&group(cell), &host.member(), LIMIT).await {
        Ok(()) => info!("event=group-left cell={cell}"),
        Err(e) => warn!("event=group-not-left cell={cell} reason=\"{e}\""),
    }
}

/// Tells the next owner of a cell that its turn has come.
async fn call_next(host: &Host, cell: u32) {
    host.owners.forget(cell);
    if let Some(at) = host.owners.find(host, cell).await.filter(|at| *at != host.peer()) {
        let call =
            host.owners.call(at, CALL, |c, context| async move { c.wake(context, cell).await });
        if call.await.is_none() {
            info!("event=next-owner-not-called cell={cell} at={at}");
        }
    }
}

/// Gives the cell up after the last append, so that the next owner can begin at once.
pub async fn hand_over(host: &Host, cell: u32) {
    let owned = host.owned(cell);
    if let Some(owned) = &owned {
        owned.close("the host stops");
        finish(owned).await;
        host.disown(cell);
    }
    give_up(host, cell).await;
    if owned.is_some() {
        call_next(host, cell).await;
    }
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
