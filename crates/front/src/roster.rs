//! Follows the list of workers for the owner of a cell.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{StoreError, read_listing, topics, unframe_keyed};

use myrtle_job::{Incarnation, Listing};

use crate::clock::now;
use crate::host::Host;
use crate::newest::newest;
use crate::owned::Owned;
use crate::unused::Unused;

/// The time between two reads; workers write about once a second, so a waiting read would return each time.
const READ_EVERY: Duration = Duration::from_millis(400);

/// The time limit for a call to the store.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// Keeps the cell's workers up to date until the owner is closed.
pub async fn follow(host: Arc<Host>, owned: Arc<Owned>) {
    // Workers from the log are renewed at once, as the list may be slow to arrive.
    renew_all(&host, &owned);
    let mut list = List { host: &host, owned: &owned, unused: Unused::default() };
    let mut from = None;
    while !owned.closed() {
        let step = match from {
            None => list.read_all().await,
            Some(at) => list.read_next(at).await,
        };
        match step {
            Ok(next) => from = Some(next),
            Err(StoreError::Gone { first }) => {
                info!("event=worker-log-cut cell={} first={first}", owned.cell);
                from = None;
                continue;
            }
            Err(e) => {
                host.store_failed(&e);
                owned.state().list_missed(now());
            }
        }
        list.use_named();
        renew_all(&host, &owned);
        sleep(READ_EVERY).await;
    }
}

/// The list of workers, as one owner reads it.
struct List<'a> {
    host: &'a Host,
    owned: &'a Owned,
    unused: Unused,
}

impl List<'_> {
    /// Reads the whole list and unlists workers that are not in it; returns the next offset.
    async fn read_all(&mut self) -> Result<u64, StoreError> {
        let mut listed = BTreeSet::new();
        let end = newest(self.host, topics::WORKERS, 0, CALL_LIMIT, |item| {
            if self.apply(&item.key, &item.value, item.offset) {
                listed.insert(item.key);
            }
        });
        let end = end.await?;
        let mut cell = self.owned.state();
        let known = cell.workers.keys().map(Incarnation::id);
        let missing: BTreeSet<_> = known.filter(|id| !listed.contains(&***id)).cloned().collect();
        for id in missing {
            cell.remove_listing(&id, now());
        }
        Ok(end)
    }

    /// Reads the changes from an offset; returns the next offset.
    async fn read_next(&mut self, from: u64) -> Result<u64, StoreError> {
        let page =
            self.host.store.read(topics::WORKERS, 0, from, Duration::ZERO, CALL_LIMIT).await?;
        let next = from + page.records.len() as u64;
        for (offset, record) in (from..).zip(page.records) {
            match unframe_keyed(record) {
                Ok(framed) if framed.value.is_empty() => {
                    self.unused.forget(&framed.key);
                    self.owned.state().remove_listing(&framed.key, now());
                }
                Ok(framed) => drop(self.apply(&framed.key, &framed.value, offset)),
                Err(e) => warn!("event=worker-unread reason=\"{e}\""),
            }
        }
        Ok(next)
    }

    /// Applies an entry; true if it describes a worker of the cell that can be used.
    ///
    /// A worker whose newest entry is invalid counts as unlisted: its runs continue and are tracked, but it gets no
    /// new ones.
    fn apply(&mut self, id: &str, value: &[u8], offset: u64) -> bool {
        let listing = match read_listing(value, offset) {
            Ok(listing) => listing,
            Err(e) => {
                self.unused.refuse(id, &e);
                self.owned.state().remove_listing(id, now());
                return false;
            }
        };
        self.unused.forget(id);
        let layout = self.host.layout();
        let cell =
            layout.map(|l| l.worker_cell(&listing.data_centre, address_number(listing.address)));
        if cell != Some(self.owned.cell) {
            return false;
        }
        let known = self.owned.state().has_worker(id);
        if !known && !is_named(self.host, &listing) {
            self.unused.park(id, listing);
            return false;
        }
        self.owned.state().apply_listing(id, listing, now());
        true
    }

    /// Uses the parked workers whose services the configuration names by now.
    fn use_named(&mut self) {
        for (id, listing) in self.unused.unpark(|listing| is_named(self.host, listing)) {
            self.owned.state().apply_listing(&id, listing, now());
        }
    }
}

/// Whether the configuration names a worker's service; true without a configuration.
fn is_named(host: &Host, listing: &Listing) -> bool {
    host.configuration().is_none_or(|c| c.has_service(&listing.service))
}

/// Starts lease renewal of workers that need it and don't have it yet.
pub fn renew_all(host: &Arc<Host>, owned: &Arc<Owned>) {
    let incarnations: Vec<Incarnation> = {
        let cell = owned.state();
        cell.workers.iter().filter(|(_, w)| w.needs_renewal()).map(|(id, _)| id.clone()).collect()
    };
    for incarnation in incarnations {
        if owned.start_renewal(&incarnation) {
            let (host, owned) = (host.clone(), owned.clone());
            tokio::spawn(async move { crate::renewal::run(host, owned, incarnation).await });
        }
    }
}

/// A worker's address as a number, which is the same for all its incarnations.
fn address_number(address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => ip.to_bits() as u64,
    };
    ip << 16 | u64::from(address.port())
}
