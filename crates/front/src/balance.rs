//! Asks other cells how full they are, and puts jobs and tasks into their logs that they look after.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::frame_keyed;
use myrtle_job::{Key, Load};
use myrtle_owner::Delivery;
use myrtle_peer::{FrontPeerClient, Seen};

use crate::clock::{now, wall};
use crate::host::Host;
use crate::layout::Layout;
use crate::names::JOBS;
use crate::owned::Owned;
use crate::peers;

/// The time between two rounds of questions.
const EVERY: Duration = Duration::from_millis(300);

/// How long another owner may take to answer.
const ASK: Duration = Duration::from_millis(300);

/// The most cells that are asked in a round; the best of a few is nearly as good as the best of all.
const ASKED: u32 = 3;

/// Rounds between two looks for jobs that other cells have forgotten: half a minute.
const FORGET_EVERY: u32 = 100;

/// How long the store may take to hold a job.
const LIMIT: Duration = Duration::from_millis(2_500);

/// The pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Asks other cells until this one is another host's.
pub async fn run(host: Arc<Host>, owned: Arc<Owned>) {
    let count = host.layout().map_or(1, Layout::count);
    if count < 2 {
        return;
    }
    let mut rounds = 0u32;
    while !owned.closed() {
        let first = rand::random_range(0..count);
        for cell in (0..count.min(ASKED + 1)).map(|n| (first + n) % count) {
            if cell != owned.cell
                && let Some(load) = load(&host, cell).await
            {
                owned.state().hear(cell, load, now());
            }
        }
        rounds = rounds.wrapping_add(1);
        if rounds.is_multiple_of(FORGET_EVERY) {
            forget(&host, &owned).await;
        }
        sleep(EVERY).await;
    }
}

/// How full a cell is, if its owner tells.
async fn load(host: &Host, cell: u32) -> Option<Load> {
    if let Some(load) = peers::load(host, cell) {
        return Some(load);
    }
    let at = host.owners.find(host, cell).await.filter(|at| *at != host.peer())?;
    host.owners.call(at, ASK, |c, context| async move { c.load(context, cell).await }).await?
}

/// Forgets jobs that the cells which looked after them no longer know.
async fn forget(host: &Host, owned: &Owned) {
    let old = owned.state().perhaps_forgotten(wall());
    for (job, cell) in old {
        let Some(at) = host.owners.find(host, cell).await else {
            continue;
        };
        let ask = |c: FrontPeerClient, context| async move { c.state(context, cell, job).await };
        if host.owners.call(at, ASK, ask).await == Some(Seen::Unknown) {
            owned.state().forget_moved(job);
        }
    }
}

/// Puts jobs and tasks into the logs of the cells that look after them.
pub fn deliver_all(host: &Arc<Host>, owned: &Arc<Owned>, deliveries: Vec<Delivery>) {
    for delivery in deliveries {
        let (host, owned) = (host.clone(), owned.clone());
        tokio::spawn(async move { deliver(&host, &owned, delivery).await });
    }
}

/// Puts a record into another cell's log; a repeat writes the same one, so it does no harm.
///
/// A host that stops goes on until it ends: the next owner would only find out after its takeover.
async fn deliver(host: &Host, owned: &Owned, delivery: Delivery) {
    let Delivery { key, to, record } = delivery;
    let mut body = BytesMut::new();
    frame_keyed(&mut body, &key.to_string(), &record);
    let body = body.freeze();
    while !owned.deposed() {
        match host.store.append(JOBS, to, None, body.clone(), LIMIT).await {
            Ok(_) => return delivered(owned, key, to),
            Err(e) => {
                warn!("event=not-delivered key={key} to={to} reason=\"{e}\"");
                host.store_missed(&e);
                sleep(PAUSE).await;
            }
        }
    }
}

fn delivered(owned: &Owned, key: Key, to: u32) {
    info!("event=delivered key={key} to={to}");
    owned.state().delivered(key);
    owned.work.notify_one();
}
