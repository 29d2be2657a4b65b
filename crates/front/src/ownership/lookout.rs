//! Watches one cell for a host: finds out when nobody owns it, tells all, and takes it when its turn has come.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::timeout;

use myrtle_peer::FrontPeerClient;

use super::standing::{held_by, standing};
use super::watch::{Place, Seen, Step, Watch};
use super::{Entry, member, tell_free};
use crate::clock::now;
use crate::host::Host;
use crate::layout::Layout;

/// How long a request for a cell may take.
const ASK: Duration = Duration::from_millis(400);

/// Watches a cell until the host stops.
pub async fn run(host: Arc<Host>, cell: u32) {
    let Some(place) = host.layout().map(|layout| place(&host, layout, cell)) else {
        return;
    };
    let waker = host.directory.waker(cell);
    let mut watch = Watch::new(place, now(), rand::random());
    let (mut fence, mut heard) = (0, 0);
    while !host.stopping() {
        if let Some((entry, records)) = host.directory.entry(cell).filter(|(_, n)| *n > heard) {
            (fence, heard) = (entry.fence, records);
            hear(&host, &mut watch, &entry);
        }
        match watch.next(now()) {
            Step::Rest(until) => {
                let time = Duration::from_millis(until.saturating_sub(now()));
                let _ = timeout(time, waker.notified()).await;
            }
            Step::Look => {
                let seen = standing(&host, cell).await;
                watch.saw(seen, host.owned_count(), now(), rand::random());
            }
            // Where nobody has owned it yet all hosts look by themselves.
            Step::Tell if heard == 0 => {}
            Step::Tell => {
                info!("event=cell-without-owner cell={cell} fence={fence}");
                tell_free(&host, cell, fence).await;
            }
            Step::Take => {
                member::stay(&host, cell).await;
                watch.tried(now(), rand::random());
            }
            Step::Relieve(at) => {
                info!("event=cell-asked-for cell={cell} of={at}");
                let ask =
                    |c: FrontPeerClient, context| async move { c.relieve(context, cell).await };
                let _ = host.owners.call(at, ASK, ask).await;
            }
        }
    }
}

/// Takes in what the directory says of the cell.
fn hear(host: &Host, watch: &mut Watch, entry: &Entry) {
    if entry.free() {
        return watch.hear_free(host.owned_count(), now(), rand::random());
    }
    let weak = match held_by(host, &entry.member) {
        Seen::Weak(at) => Some(at),
        _ => None,
    };
    watch.hear_held(weak, now(), rand::random());
}

/// What this host is to a cell.
fn place(host: &Host, layout: &Layout, cell: u32) -> Place {
    let home = layout.at_home(cell, &host.settings.data_centre);
    Place { home, strong: host.strong(), hosts: layout.hosts_of(cell, home) }
}
