//! Membership in the group of a cell: who holds the cell's partition owns the cell.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::StoreError;

use crate::clock::now;
use crate::hold::ttl;
use crate::host::Host;
use crate::names::{PROGRESS, group};
use crate::owned::Owned;
use crate::takeover;

/// How long the store keeps a silent member, in milliseconds, unless the platform's least is more:
/// a killed owner is replaced about as soon.
pub const TTL: u64 = 2_000;

/// Joins within that time.
const JOINS: u64 = 4;

/// How long a join may take.
const LIMIT: Duration = Duration::from_millis(600);

/// How long an owner that stops may take to write what it has.
const HAND_OVER: Duration = Duration::from_millis(1_500);

/// Takes part in the group of a cell until the host stops.
pub async fn take_part(host: Arc<Host>, cell: u32) {
    let mut generation = 0;
    let (name, member) = (group(cell), host.member());
    let ttl = ttl(&host);
    let pause = Duration::from_millis(ttl / JOINS);
    while !host.stopping() {
        let sent = now();
        let time = Duration::from_millis(ttl);
        match host.store.join(&name, &member, PROGRESS, time, generation, LIMIT).await {
            Ok(joined) => {
                host.store_reached();
                generation = joined.generation;
                let mine = joined.holdings.iter().any(|h| h.part == cell);
                settle(&host, cell, mine, generation, sent).await;
            }
            Err(StoreError::Strange { status, text }) => {
                warn!("event=join-refused cell={cell} status={status} text=\"{text}\"");
                generation = 0;
            }
            Err(e) => host.store_missed(&e),
        }
        sleep(pause).await;
    }
}

/// Begins or ends to own the cell as the store says.
async fn settle(host: &Arc<Host>, cell: u32, mine: bool, generation: u64, sent: u64) {
    let current = host.owned(cell);
    match (mine, current) {
        (true, None) => drop(takeover::begin(host, cell, generation)),
        (true, Some(owned)) if owned.deposed() => {
            host.disown(cell);
            // The next join tells whether the cell is still this host's.
            if generation > owned.fence {
                takeover::begin(host, cell, generation);
            }
        }
        (true, Some(owned)) => owned.confirm(sent),
        (false, Some(owned)) => {
            owned.close("the store gave the cell to another host");
            finish(&owned).await;
            host.disown(cell);
        }
        (false, None) => {}
    }
}

/// Gives the cell up after the last append, so that the next owner can begin at once.
pub async fn hand_over(host: &Host, cell: u32) {
    if let Some(owned) = host.owned(cell) {
        owned.close("the host stops");
        finish(&owned).await;
        host.disown(cell);
    }
    match host.store.leave(&group(cell), &host.member(), LIMIT).await {
        Ok(()) => info!("event=group-left cell={cell}"),
        Err(e) => warn!("event=group-not-left cell={cell} reason=\"{e}\""),
    }
}

/// Waits until the owner has written what it knew.
async fn finish(owned: &Arc<Owned>) {
    let wait = async {
        while !owned.deposed() && !owned.state().idle() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    if tokio::time::timeout(HAND_OVER, wait).await.is_err() {
        warn!("event=hand-over-cut cell={} reason=\"the log did not take it\"", owned.cell);
    }
}
