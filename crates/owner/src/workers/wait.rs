//! How long no lease has been given to a worker that does not answer; the log keeps it for the
//! successor.
//!
//! An owner that can't reach a worker waits until all its leases have certainly expired. The
//! successor continues that wait. The record needs no common clock: it holds elapsed times, which
//! only grow while nobody gives out a lease, and the fencing token from which on no owner has given
//! one out, so that a host that saw the owners before it end counts from then on. Therefore an
//! owner gives no lease to a worker with such a record until the log has withdrawn it.
//!
//! Owner 3 last renewed a lease at 10 s and writes at 14 s that it has waited for 4 s. Owner 5
//! reads that at 16 s, and counts from 12 s; it can't reach the worker either, and writes that none
//! has given a lease from token 5 on. The host of owner 7 has known since 15 s that owner 5 had
//! begun, so it may count from 15 s, or from what owner 5 wrote.
//!
//! An owner writes that it may give out leases once it has read the record, and not sooner. So
//! owner 5 can rely on an owner 4 that ended before having given none, writes that none has given a
//! lease from token 4 on, and the host of owner 7 may count from the time when it saw owner 3 end.

use std::collections::BTreeMap;

use myrtle_job::Incarnation;
use serde::{Deserialize, Serialize};

use crate::{Cell, Presence, Worker};

/// How much longer a wait has to be than recorded before it is written again, in milliseconds:
/// about the part of the wait that a change of owner costs.
const WRITE_STEP: u64 = 1_000;

/// The recorded wait for a worker; none if all fields are 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoggedWait {
    /// How long no lease had been given out when this was written, in milliseconds.
    waited: u64,
    /// The fencing token from which on no owner has given one out; 0 if unknown.
    none_from: u64,
}

/// The wait for a worker, on this host's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Wait {
    /// The time from which it is counted.
    since: u64,
    /// The time waited before `since`, in milliseconds.
    earlier_ms: u64,
    /// Whether the log had a record of the worker at the takeover.
    inherited: bool,
    /// The fencing token from which on no owner before this one has given out a lease, if known.
    none_from: Option<u64>,
    /// The wait to write next.
    due: Option<LoggedWait>,
    /// The wait that the log may hold.
    logged: LoggedWait,
    /// Whether a record that withdraws it is being written.
    withdrawing: bool,
}

impl Wait {
    /// A wait that starts now.
    pub(crate) fn new(now: u64) -> Self {
        let logged = LoggedWait::default();
        let (inherited, none_from) = (false, None);
        Self {
            since: now,
            earlier_ms: 0,
            inherited,
            none_from,
            due: None,
            logged,
            withdrawing: false,
        }
    }

    /// Continues a recorded wait. `last` is the token of the last earlier owner that may have given
    /// out leases; `ended` holds the times from which this host knew that all owners below a token
    /// had ended.
    pub(crate) fn inherited(
        logged: LoggedWait,
        last: Option<u64>,
        ended: &BTreeMap<u64, u64>,
        now: u64,
    ) -> Self {
        let none_from =
            (logged.none_from > 0).then_some(logged.none_from).or(last.map(|fence| fence + 1));
        let ended_at = none_from.and_then(|from| ended.range(from..).map(|(_, &at)| at).min());
        let from_end = ended_at.map(|at| (at, 0));
        let candidates = from_end.into_iter().chain([(now, logged.waited)]);
        let start = |&(at, before): &(u64, u64)| at as i64 - before as i64;
        let (since, earlier_ms) = candidates.min_by_key(start).unwrap_or((now, 0));
        Self { earlier_ms, inherited: true, none_from, logged, ..Self::new(since) }
    }

    /// When leases have expired of which the longest lasts `longest` milliseconds.
    pub(crate) fn expires_at(&self, longest: u64) -> u64 {
        (self.since + longest).saturating_sub(self.earlier_ms)
    }

    /// Whether the log may hold a wait; no lease may be given out then.
    pub(crate) fn forbids_leases(&self) -> bool {
        self.logged != LoggedWait::default()
    }

    /// Whether there is a wait to write.
    pub(crate) fn due(&self) -> bool {
        self.due.is_some()
    }

    /// Handles an answer of the worker: the log has to withdraw the wait.
    pub(crate) fn withdraw(&mut self) {
        self.due = self.forbids_leases().then(LoggedWait::default);
    }

    /// Updates the wait for a worker that has not answered, all of whose leases have been running
    /// down for `waited` milliseconds.
    fn extend(&mut self, waited: u64) {
        if waited >= self.logged.waited + WRITE_STEP {
            self.due = Some(LoggedWait { waited, ..self.logged });
        }
    }

    /// The same for a worker that has never answered the owner with this fencing token.
    fn extend_unmet(&mut self, waited: u64, fence: u64) {
        if self.inherited && self.logged.none_from == 0 {
            self.due = Some(LoggedWait { waited, none_from: self.none_from.unwrap_or(fence) });
        } else {
            self.extend(waited);
        }
    }

    /// The wait for the next record; it counts as recorded from now on, as the record may land at
    /// any time.
    pub(crate) fn take_due(&mut self) -> LoggedWait {
        let next = self.due.take().unwrap_or(self.logged);
        self.withdrawing = next == LoggedWait::default();
        if !self.withdrawing {
            self.logged = next;
        }
        next
    }

    /// Marks the record as written.
    pub(crate) fn mark_written(&mut self) {
        if std::mem::take(&mut self.withdrawing) {
            self.logged = LoggedWait::default();
        }
    }
}

impl Cell {
    /// Notes the fencing token of an earlier owner that may have given out leases.
    pub fn add_owner(&mut self, fence: u64) {
        if fence < self.fence {
            self.earlier_owners.insert(fence);
        }
    }

    /// Updates the waits for workers with runs that do not answer.
    pub(crate) fn update_waits(&mut self, now: u64) {
        let longest = self.max_lease();
        let silent = |incarnation: &Incarnation, w: &Worker| match w.presence {
            Presence::Unreached => self.silent(incarnation),
            Presence::Silent => true,
            Presence::Answering | Presence::Gone => false,
        };
        let waiting = self
            .workers
            .iter()
            .filter(|(incarnation, w)| !w.active_runs.is_empty() && silent(incarnation, w));
        let waited = waiting.map(|(incarnation, worker)| {
            let left = self.leases_end(worker).saturating_sub(now);
            (incarnation.clone(), longest.saturating_sub(left))
        });
        let waited: Vec<(Incarnation, u64)> = waited.collect();
        let fence = self.fence;
        for (incarnation, waited) in waited {
            let Some(worker) = self.workers.get_mut(&incarnation) else {
                continue;
            };
            match worker.presence {
                Presence::Unreached => worker.wait.extend_unmet(waited, fence),
                _ => worker.wait.extend(waited),
            }
        }
    }
}
