//! What the ticket service has answered about one step.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use derive_more::Display;

use myrtle_base::growing_pause;
use myrtle_job::{Incarnation, JobId, TaskId};

/// The part of a ticket's validity, as a divisor, that at most counts as over when it arrives, and
/// in which at most no start is planned with it.
const RESERVE_SHARE: u64 = 4;

/// The longest time before its expiry in which no start is planned with a ticket, in milliseconds:
/// the start has to be written and sent first.
const MAX_RESERVE: u64 = 150;

/// The longest time that an answer usually travels, in milliseconds.
const TRAVEL: u64 = 50;

/// The pause after a second answer in a row that was of no use, in milliseconds.
const FIRST_PAUSE: u64 = 100;

/// The longest such pause, in milliseconds.
const MAX_PAUSE: u64 = 3_200;

/// A step of one repetition of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{job}.{round}.{step}")]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// The repetition.
    pub round: u32,
    /// The step's index.
    pub step: u16,
}

impl From<TaskId> for StepId {
    fn from(task: TaskId) -> Self {
        Self { job: task.job, round: task.round, step: task.step }
    }
}

/// A ticket of a worker.
#[derive(Debug, Clone)]
struct Ticket {
    text: Arc<str>,
    /// Until when starts may be planned with it.
    plan_until: u64,
    /// Until when the worker should accept it.
    until: u64,
}

/// The answers about a step, and the questions under way.
#[derive(Debug, Clone, Default)]
pub struct StepTickets {
    granted: BTreeMap<Incarnation, Ticket>,
    /// Workers that may not run the step; this doesn't change.
    refused: BTreeSet<Incarnation>,
    calls: u32,
    ask_at: u64,
    /// Whether a start was planned with one of the tickets.
    used: bool,
    /// Answers since a worker last accepted a start that were of no use.
    useless: u32,
}

impl StepTickets {
    /// The ticket with which a start may be planned on a worker.
    pub fn usable(&self, worker: &Incarnation, now: u64) -> Option<&Arc<str>> {
        self.granted.get(worker).filter(|t| t.plan_until > now).map(|t| &t.text)
    }

    /// The ticket to send with a start that was planned, even if it has expired since.
    pub fn held(&self, worker: &Incarnation) -> Option<&Arc<str>> {
        self.granted.get(worker).map(|t| &t.text)
    }

    /// Whether a worker should still accept its ticket.
    pub fn holds(&self, worker: &Incarnation, now: u64) -> bool {
        self.granted.get(worker).is_some_and(|t| t.until > now)
    }

    /// Whether a worker is known to be barred from the step.
    pub fn is_refused(&self, worker: &Incarnation) -> bool {
        self.refused.contains(worker)
    }

    /// Whether the service can tell something new about a worker.
    pub fn wants(&self, worker: &Incarnation, now: u64) -> bool {
        !self.is_refused(worker) && self.usable(worker, now).is_none()
    }

    /// Whether a question is under way.
    pub fn is_asking(&self) -> bool {
        self.calls > 0
    }

    /// Whether the service may be asked: no question is under way and no pause is left.
    pub fn may_ask(&self, now: u64) -> bool {
        !self.is_asking() && now >= self.ask_at
    }

    /// Records that a question was sent.
    pub fn asked(&mut self) {
        self.calls += 1;
    }

    /// Records that a question ended without an answer; it may be asked again at once.
    pub fn unanswered(&mut self) {
        self.calls = self.calls.saturating_sub(1);
    }

    /// Records that the service could not make sense of a question; other questions are not held
    /// up by it.
    pub fn rejected(&mut self, now: u64) {
        self.calls = self.calls.saturating_sub(1);
        self.useless += 1;
        self.ask_at = now + growing_pause(FIRST_PAUSE, MAX_PAUSE, self.useless);
    }

    /// Records the answer to a question about `workers` that was sent at `asked_at` and took the
    /// service `work` milliseconds; tickets are valid for `valid` milliseconds.
    ///
    /// A question may wait long at the service before its tickets are issued, so their validity is
    /// counted from when the service should have begun to work on it.
    pub fn answered(
        &mut self,
        workers: &[Incarnation],
        good: Vec<(Incarnation, String)>,
        asked_at: u64,
        work: u64,
        valid: u64,
        now: u64,
    ) {
        self.calls = self.calls.saturating_sub(1);
        let unused = !self.granted.is_empty() && !self.used;
        self.useless += u32::from(unused);
        self.used = false;
        let share = valid / RESERVE_SHARE;
        let issued_at = asked_at.max(now.saturating_sub((work + TRAVEL).min(share)));
        let until = issued_at.saturating_add(valid);
        let plan_until = until.saturating_sub(share.min(MAX_RESERVE));
        self.refused.extend(workers.iter().cloned());
        for (worker, text) in good {
            self.refused.remove(&worker);
            self.granted.insert(worker, Ticket { text: text.into(), plan_until, until });
        }
        if unused {
            self.ask_at =
                plan_until.saturating_add(growing_pause(FIRST_PAUSE, MAX_PAUSE, self.useless));
        }
    }

    /// Records that a start was planned with a ticket.
    pub fn used(&mut self) {
        self.used = true;
    }

    /// Records that a worker accepted a start.
    pub fn accepted(&mut self) {
        self.useless = 0;
    }

    /// Records that a worker did not accept a ticket: all have to be asked for again. What is known
    /// of barred workers stays.
    pub fn invalid(&mut self, now: u64) {
        if self.granted.is_empty() {
            return;
        }
        self.granted.clear();
        self.useless += 1;
        self.ask_at = now + growing_pause(FIRST_PAUSE, MAX_PAUSE, self.useless - 1);
    }
}
