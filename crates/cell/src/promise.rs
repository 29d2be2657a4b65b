//! What a host promises its peers while some of them are cut off from the log.
//!
//! Without the log, leases are renewed on the word of a majority of the cell's hosts. A subject is
//! given up only on the word of a majority too. One host never gives both words within one lease,
//! and any two majorities share a host, so no task is claimed elsewhere while a lease runs.
//! Promises live in memory: a host that restarted waits out the leases that it may have allowed.

use std::collections::BTreeMap;

use myrtle_base::{GUARD, LEASE, Millis};

use crate::{Cell, Health, Subject};

/// The promises of one life of a host, by its own clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Promise {
    born: Millis,
    allowed: BTreeMap<Subject, Millis>,
}

impl Promise {
    /// The promises of a host that started at `now`.
    pub fn new(now: Millis) -> Self {
        Self { born: now, allowed: BTreeMap::new() }
    }

    /// Promises that a lease of `subject` may be renewed without the log.
    ///
    /// `cell` is the newest state that this host knows; a host that knows of a suspicion refuses.
    pub fn allow(&mut self, cell: &Cell, subject: &Subject, now: Millis) -> bool {
        if cell.health(subject) != Some(Health::Up) {
            return false;
        }
        self.allowed.retain(|_, at| now.since(*at) < LEASE + GUARD);
        self.allowed.insert(subject.clone(), now);
        true
    }

    /// Promises that no lease of `subject` is renewed on this host's word from now on.
    ///
    /// Holds because the suspicion at `suspected` is in this host's fold, which never goes back.
    pub fn consent(&self, cell: &Cell, subject: &Subject, suspected: u64, now: Millis) -> bool {
        let known = cell.health(subject);
        let same = matches!(known, Some(Health::Suspect { offset, .. }) if offset == suspected);
        let quiet = |at: Millis| now.since(at) >= LEASE + GUARD;
        same && quiet(self.born) && self.allowed.get(subject).is_none_or(|at| quiet(*at))
    }
}
