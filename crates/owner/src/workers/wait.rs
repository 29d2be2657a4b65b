//! How long no lease has been given out to a worker that does not answer; the log keeps it for the next owner.
//!
//! An owner that can't reach a worker waits until every lease there is surely over. The next owner goes on with that
//! wait: what the log holds is a time that has passed, so it needs no common clock, and it only grows while nobody
//! gives a lease out. An owner therefore gives none to a worker of which the log says so, until the log has taken it
//! back.

use myrtle_job::Incarnation;

use crate::{Cell, Life, Worker};

/// How much longer a wait has to be than the log says before it is told, in milliseconds: about what a change of
/// owner costs of the wait.
const STEP: u64 = 1_000;

/// The wait for a worker, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Wait {
    /// From when on this owner waits.
    pub(crate) since: u64,
    /// What earlier owners had waited by then.
    pub(crate) before: u64,
    /// What is to be written.
    due: Option<u64>,
    /// The most that the log may hold.
    told: u64,
    /// Whether a record is on its way that takes it back.
    clearing: bool,
}

impl Wait {
    /// Nobody has waited yet.
    pub(crate) fn new(now: u64) -> Self {
        Self { since: now, before: 0, due: None, told: 0, clearing: false }
    }

    /// An owner that began at a time goes on with what the log holds.
    pub(crate) fn inherited(began: u64, before: u64) -> Self {
        Self { before, told: before, ..Self::new(began) }
    }

    /// Whether the log may say that no lease has been given out; none may be then.
    pub(crate) fn bars(&self) -> bool {
        self.told > 0
    }

    /// Whether something is to be written.
    pub(crate) fn due(&self) -> bool {
        self.due.is_some()
    }

    /// The worker answers: the log is to take back what it holds.
    pub(crate) fn end(&mut self) {
        self.due = self.bars().then_some(0);
    }

    /// The worker does not answer, and every lease has been running down for a time.
    fn go_on(&mut self, waited: u64) {
        if waited >= self.told + STEP {
            self.due = Some(waited);
        }
    }

    /// What the next record says; it counts as told from now on, as it may land at any time.
    pub(crate) fn write(&mut self) -> u64 {
        let waited = self.due.take().unwrap_or(self.told);
        self.told = self.told.max(waited);
        self.clearing = waited == 0;
        waited
    }

    /// The record is in the log.
    pub(crate) fn written(&mut self) {
        if std::mem::take(&mut self.clearing) {
            self.told = 0;
        }
    }
}

impl Cell {
    /// Notes what the log is to be told of workers with runs that do not answer.
    pub(crate) fn note_waits(&mut self, now: u64) {
        let longest = self.longest();
        let lost = |w: &Worker| matches!(w.life, Life::Unmet | Life::Silent);
        let waits = |w: &Worker| lost(w) && !w.flights.is_empty();
        let waiting = self.workers.iter().filter(|(_, w)| waits(w));
        let waited = waiting.map(|(life, worker)| {
            let left = self.over_at(worker).saturating_sub(now);
            (life.clone(), longest.saturating_sub(left))
        });
        let waited: Vec<(Incarnation, u64)> = waited.collect();
        for (life, waited) in waited {
            if let Some(worker) = self.workers.get_mut(&life) {
                worker.wait.go_on(waited);
            }
        }
    }
}
