//! Monitors one cell: announces when it has no owner, and joins its group when this host's delay is over.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::timeout;

use myrtle_peer::FrontPeerClient;

use super::query::{query_status, status_of};
use super::watch::{Candidate, OwnerStatus, Step, Watch};
use super::{Entry, announce_free, member};
use crate::clock::now;
use crate::host::Host;
use crate::layout::Layout;

/// The time limit for a call that asks an owner to give up a cell.
const RELIEVE_LIMIT: Duration = Duration::from_millis(400);

/// Monitors a cell until the host stops.
pub async fn run(host: Arc<Host>, cell: u32) {
    let Some(candidate) = host.layout().map(|layout| candidate(&host, layout, cell)) else {
        return;
    };
    let waker = host.directory.waker(cell);
    let mut watch = Watch::new(candidate, now(), rand::random());
    let (mut fence, mut applied) = (0, 0);
    while !host.stopping() {
        if let Some((entry, records)) = host.directory.entry(cell).filter(|(_, n)| *n > applied) {
            (fence, applied) = (entry.fence, records);
            apply(&host, &mut watch, &entry);
        }
        match watch.next(now()) {
            Step::Wait(until) => {
                let time = Duration::from_millis(until.saturating_sub(now()));
                let _ = timeout(time, waker.notified()).await;
            }
            Step::Query => {
                let status = query_status(&host, cell).await;
                watch.on_query(status, host.owned_count(), now(), rand::random());
            }
            // All hosts query a cell that never had an owner, so nothing has to be announced.
            Step::Announce if applied == 0 => {}
            Step::Announce => {
                info!("event=cell-without-owner cell={cell} fence={fence}");
                announce_free(&host, cell, fence).await;
            }
            Step::Join => {
                member::keep_membership(&host, cell).await;
                watch.on_attempt(now(), rand::random());
            }
            Step::Relieve(at) => {
                info!("event=cell-asked-for cell={cell} of={at}");
                let ask = |c: FrontPeerClient, context| async move {
                    c.release_cell(context, cell).await
                };
                let _ = host.owners.call(at, RELIEVE_LIMIT, ask).await;
            }
        }
    }
}

/// Applies the directory's entry of the cell.
fn apply(host: &Host, watch: &mut Watch, entry: &Entry) {
    if entry.free() {
        return watch.on_free(host.owned_count(), now(), rand::random());
    }
    let undersized = match status_of(host, &entry.member) {
        OwnerStatus::Undersized(at) => Some(at),
        _ => None,
    };
    watch.on_owner(undersized, now(), rand::random());
}

/// Returns what decides how soon this host joins the group of a cell.
fn candidate(host: &Host, layout: &Layout, cell: u32) -> Candidate {
    let local = layout.is_local(cell, &host.settings.data_centre);
    Candidate { local, has_capacity: host.has_capacity(), hosts: layout.count_hosts(cell, local) }
}
