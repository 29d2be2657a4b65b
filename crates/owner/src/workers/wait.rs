//! How long no lease has been given out to a worker that does not answer; the log keeps it for the next owner.
//!
//! An owner that can't reach a worker waits until every lease there is surely over. The next owner goes on with that
//! wait. What the log holds needs no common clock: times that have passed, which only grow while nobody gives a lease
//! out, and since which owner nobody has, so that a host which knew that the ones before had ended counts from then
//! on. An owner therefore gives no lease to a worker of which the log says so, until the log has taken it back.
//!
//! Owner 3 last renewed a lease at 10 s and writes at 14 s that it has waited for 4 s. Owner 5 reads that at 16 s, and
//! counts from 12 s; it can't reach the worker either, and writes that none has given a lease from token 5 on. The
//! host of owner 7 has known since 15 s that owner 5 had begun, so it may count from 15 s, or from what owner 5 wrote.
//!
//! An owner says in the log that it may give leases out once it has read that, and not sooner. So owner 5 knows that an
//! owner 4 which ended before has given none, writes that none has given a lease from token 4 on, and the host of owner 7
//! may count from when it knew that owner 3 had ended.

use std::collections::BTreeMap;

use myrtle_job::Incarnation;
use serde::{Deserialize, Serialize};

use crate::{Cell, Life, Worker};

/// How much longer a wait has to be than the log says before it is told, in milliseconds: about what a change of
/// owner costs of the wait.
const STEP: u64 = 1_000;

/// What the log says of the wait for a worker; nothing if all is 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Written {
    /// For how long no lease had been given out when this was written, in milliseconds.
    waited: u64,
    /// The fencing token from which on no owner has given one out; 0 if that is not known.
    from: u64,
}

/// The wait for a worker, on this host's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Wait {
    /// From when on it is counted.
    since: u64,
    /// What had been waited by then, in milliseconds.
    before: u64,
    /// Whether the log told of the worker at the takeover.
    inherited: bool,
    /// The fencing token from which on no owner before this one has given a lease out, if that is known.
    none_from: Option<u64>,
    /// What is to be written.
    due: Option<Written>,
    /// What the log may say.
    told: Written,
    /// Whether a record is on its way that takes it back.
    clearing: bool,
}

impl Wait {
    /// Nobody has waited yet.
    pub(crate) fn new(now: u64) -> Self {
        let told = Written::default();
        let (inherited, none_from) = (false, None);
        Self { since: now, before: 0, inherited, none_from, due: None, told, clearing: false }
    }

    /// An owner goes on with what the log says, and by which token the `last` owner before it may have given leases
    /// out; its host knew that owners below some tokens had `ended` from some times on.
    pub(crate) fn inherited(
        told: Written,
        last: Option<u64>,
        ended: &BTreeMap<u64, u64>,
        now: u64,
    ) -> Self {
        let none_from = (told.from > 0).then_some(told.from).or(last.map(|fence| fence + 1));
        let over = none_from.and_then(|from| ended.range(from..).map(|(_, &at)| at).min());
        let seen = over.map(|at| (at, 0));
        let ways = seen.into_iter().chain([(now, told.waited)]);
        let start = |&(at, before): &(u64, u64)| at as i64 - before as i64;
        let (since, before) = ways.min_by_key(start).unwrap_or((now, 0));
        Self { before, inherited: true, none_from, told, ..Self::new(since) }
    }

    /// When leases are over of which the longest lasts for `longest` milliseconds.
    pub(crate) fn over(&self, longest: u64) -> u64 {
        (self.since + longest).saturating_sub(self.before)
    }

    /// Whether the log may say that no lease has been given out; none may be then.
    pub(crate) fn bars(&self) -> bool {
        self.told != Written::default()
    }

    /// Whether something is to be written.
    pub(crate) fn due(&self) -> bool {
        self.due.is_some()
    }

    /// The worker answers: the log is to take back what it says.
    pub(crate) fn end(&mut self) {
        self.due = self.bars().then(Written::default);
    }

    /// The worker does not answer, and every lease has been running down for `waited` milliseconds.
    fn go_on(&mut self, waited: u64) {
        if waited >= self.told.waited + STEP {
            self.due = Some(Written { waited, ..self.told });
        }
    }

    /// The same of a worker that has never answered the owner under a fencing token.
    fn go_on_unmet(&mut self, waited: u64, fence: u64) {
        if self.inherited && self.told.from == 0 {
            self.due = Some(Written { waited, from: self.none_from.unwrap_or(fence) });
        } else {
            self.go_on(waited);
        }
    }

    /// What the next record says; it counts as told from now on, as it may land at any time.
    pub(crate) fn write(&mut self) -> Written {
        let next = self.due.take().unwrap_or(self.told);
        self.clearing = next == Written::default();
        if !self.clearing {
            self.told = next;
        }
        next
    }

    /// The record is in the log.
    pub(crate) fn written(&mut self) {
        if std::mem::take(&mut self.clearing) {
            self.told = Written::default();
        }
    }
}

impl Cell {
    /// Notes that an earlier owner may have given leases out, by its fencing token.
    pub fn note_owner(&mut self, fence: u64) {
        if fence < self.fence {
            self.earlier.insert(fence);
        }
    }

    /// Notes what the log is to be told of workers with runs that do not answer.
    pub(crate) fn note_waits(&mut self, now: u64) {
        let longest = self.longest();
        let lost = |incarnation: &Incarnation, w: &Worker| match w.life {
            Life::Unmet => self.silent(incarnation),
            Life::Silent => true,
            Life::Well | Life::Gone => false,
        };
        let waiting = self
            .workers
            .iter()
            .filter(|(incarnation, w)| !w.flights.is_empty() && lost(incarnation, w));
        let waited = waiting.map(|(incarnation, worker)| {
            let left = self.over_at(worker).saturating_sub(now);
            (incarnation.clone(), longest.saturating_sub(left))
        });
        let waited: Vec<(Incarnation, u64)> = waited.collect();
        let fence = self.fence;
        for (incarnation, waited) in waited {
            let Some(worker) = self.workers.get_mut(&incarnation) else {
                continue;
            };
            match worker.life {
                Life::Unmet => worker.wait.go_on_unmet(waited, fence),
                _ => worker.wait.go_on(waited),
            }
        }
    }
}
