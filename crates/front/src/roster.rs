//! Follows the list of workers for the owner of a cell.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{StoreError, read_listing, topics, unframe_keyed};

use myrtle_job::{Incarnation, Listing};

use crate::apart::Apart;
use crate::clock::now;
use crate::host::Host;
use crate::newest::newest;
use crate::owned::Owned;

/// The time between two looks; workers write every second or so, and a wait would wake each time.
const EVERY: Duration = Duration::from_millis(400);

/// How long the store may take to answer.
const LIMIT: Duration = Duration::from_millis(1_500);

/// Keeps the cell's workers up to date until the cell is another host's.
pub async fn follow(host: Arc<Host>, owned: Arc<Owned>) {
    // Those that the log told of need not wait for the list, which may be slow to come.
    hold_all(&host, &owned);
    let mut list = List { host: &host, owned: &owned, apart: Apart::default() };
    let mut from = None;
    while !owned.closed() {
        let step = match from {
            None => list.whole().await,
            Some(at) => list.tail(at).await,
        };
        match step {
            Ok(next) => from = Some(next),
            Err(StoreError::Gone { first }) => {
                info!("event=worker-log-cut cell={} first={first}", owned.cell);
                from = None;
                continue;
            }
            Err(e) => {
                host.store_missed(&e);
                owned.state().list_missed(now());
            }
        }
        list.take_named();
        hold_all(&host, &owned);
        sleep(EVERY).await;
    }
}

/// The list as one owner follows it.
struct List<'a> {
    host: &'a Host,
    owned: &'a Owned,
    apart: Apart,
}

impl List<'_> {
    /// Reads the whole list; workers that it does not show are unlisted.
    async fn whole(&mut self) -> Result<u64, StoreError> {
        let mut listed = BTreeSet::new();
        let end = newest(self.host, topics::WORKERS, 0, LIMIT, |item| {
            if self.take(&item.key, &item.value, item.offset) {
                listed.insert(item.key);
            }
        });
        let end = end.await?;
        let mut cell = self.owned.state();
        let known = cell.workers.keys().map(Incarnation::id);
        let missing: BTreeSet<_> = known.filter(|id| !listed.contains(&***id)).cloned().collect();
        for id in missing {
            cell.unlist(&id, now());
        }
        Ok(end)
    }

    /// Reads what has changed since the last look.
    async fn tail(&mut self, from: u64) -> Result<u64, StoreError> {
        let page = self.host.store.read(topics::WORKERS, 0, from, Duration::ZERO, LIMIT).await?;
        let next = from + page.records.len() as u64;
        for (offset, record) in (from..).zip(page.records) {
            match unframe_keyed(record) {
                Ok(framed) if framed.value.is_empty() => {
                    self.apart.forget(&framed.key);
                    self.owned.state().unlist(&framed.key, now());
                }
                Ok(framed) => drop(self.take(&framed.key, &framed.value, offset)),
                Err(e) => warn!("event=worker-unread reason=\"{e}\""),
            }
        }
        Ok(next)
    }

    /// Takes in a description; true if it names a worker of the cell to use.
    ///
    /// Of a worker whose newest entry names none the runs go on and are heard of, but it gets nothing new, as
    /// one that has left the list.
    fn take(&mut self, id: &str, value: &[u8], offset: u64) -> bool {
        let listing = match read_listing(value, offset) {
            Ok(listing) => listing,
            Err(e) => {
                self.apart.refuse(id, &e);
                self.owned.state().unlist(id, now());
                return false;
            }
        };
        self.apart.forget(id);
        let layout = self.host.layout();
        let cell = layout.map(|l| l.cell_of(&listing.data_centre, number(listing.address)));
        if cell != Some(self.owned.cell) {
            return false;
        }
        let known = self.owned.state().knows(id);
        if !known && !named(self.host, &listing) {
            self.apart.park(id, listing);
            return false;
        }
        self.owned.state().list(id, listing, now());
        true
    }

    /// Takes in workers whose services the configuration has come to name.
    fn take_named(&mut self) {
        for (id, listing) in self.apart.unpark(|listing| named(self.host, listing)) {
            self.owned.state().list(&id, listing, now());
        }
    }
}

/// Whether the configuration names a worker's service, or is not known.
fn named(host: &Host, listing: &Listing) -> bool {
    host.configuration().is_none_or(|c| c.names(&listing.service))
}

/// Starts to hold workers that are not held yet.
pub fn hold_all(host: &Arc<Host>, owned: &Arc<Owned>) {
    let lives: Vec<Incarnation> = {
        let cell = owned.state();
        cell.workers.iter().filter(|(_, w)| w.wants_hold()).map(|(id, _)| id.clone()).collect()
    };
    for life in lives {
        if owned.hold(&life) {
            let (host, owned) = (host.clone(), owned.clone());
            tokio::spawn(async move { crate::hold::keep(host, owned, life).await });
        }
    }
}

/// A worker's address as a number; it stays the same over its lives.
fn number(address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => ip.to_bits() as u64,
    };
    ip << 16 | u64::from(address.port())
}
