//! Promises between hosts, by which leases can be renewed without access to the log.
//!
//! Fault: some hosts lose access to the log. A majority of a cell's voters may then renew a lease, and a majority
//! is needed to declare its holder lapsed. A host never promises both within one lease, and any two majorities
//! share a host, so no task is claimed elsewhere while a lease runs. Promises live in memory: a restarted host
//! waits until the leases that it may have allowed have ended.

use std::collections::BTreeMap;

use myrtle_base::{GUARD, LEASE, Millis};

use crate::{Cell, Health, LeaseHolder};

/// The promises of one incarnation of a host, by its own clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Promise {
    started_at: Millis,
    allowed_at: BTreeMap<LeaseHolder, Millis>,
}

impl Promise {
    /// The promises of a host that started at `now`.
    pub fn new(now: Millis) -> Self {
        Self { started_at: now, allowed_at: BTreeMap::new() }
    }

    /// Promises that a lease of `holder` may be renewed without the log, unless `cell`, this host's newest state,
    /// shows a suspicion.
    pub fn allow_renewal(&mut self, cell: &Cell, holder: &LeaseHolder, now: Millis) -> bool {
        if cell.health(holder) != Some(Health::Up) {
            return false;
        }
        self.allowed_at.retain(|_, at| now.since(*at) < LEASE + GUARD);
        self.allowed_at.insert(holder.clone(), now);
        true
    }

    /// Promises that this host allows no renewal for `holder` from now on.
    ///
    /// The promise holds as the suspicion at offset `suspected` is in this host's fold, which never goes back.
    pub fn consent_lapse(
        &self,
        cell: &Cell,
        holder: &LeaseHolder,
        suspected: u64,
        now: Millis,
    ) -> bool {
        let health = cell.health(holder);
        let suspect = matches!(health, Some(Health::Suspect { offset, .. }) if offset == suspected);
        let ended = |at: Millis| now.since(at) >= LEASE + GUARD;
        suspect && ended(self.started_at) && self.allowed_at.get(holder).is_none_or(|at| ended(*at))
    }
}
