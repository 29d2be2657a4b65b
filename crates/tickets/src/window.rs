//! The questions of a host that are under way at the ticket service.
//!
//! While the service answers, just enough are under way that it always has one to work on. A call is
//! never given up only because it is late: the service works on it all the same, and its answer is as
//! good as any. It counts as lost once a question that was sent well after it has been answered.
//!
//! Load pattern: the service stops to answer, or refuses what is beyond its capacity. Then one
//! question at a time goes out, after pauses, until an answer arrives.

use std::collections::BTreeMap;

use derive_more::Display;

use myrtle_base::growing_pause;

/// The number of calls under way up to which more are sent at any rate: one being worked on, one
/// that waits.
const MIN_CALLS: usize = 2;

/// The most calls under way while the service answers: a quarter of what it lets wait.
const MAX_CALLS: usize = 8;

/// The work that may be under way beyond the least number of calls, in milliseconds: more than a
/// call travels and a busy host takes to send the next one.
const MAX_WORK: u64 = 100;

/// The most calls without an answer while the service is silent: half of what it lets wait.
const MAX_SILENT: usize = 16;

/// The time by which an answer may be late before the service counts as silent, in milliseconds.
const LATE_MARGIN: u64 = 500;

/// The time between two calls to a silent service, in milliseconds.
const PROBE_EVERY: u64 = 800;

/// The same once it has left as many calls unanswered as it may, in milliseconds.
const RARE_PROBE_EVERY: u64 = 4_000;

/// The pause after a first failure, in milliseconds.
const FIRST_PAUSE: u64 = 100;

/// The longest pause after failures, in milliseconds.
const MAX_PAUSE: u64 = 800;

/// The number of questions in a row that a service rejects from which it counts as failing: a single
/// job's questions may be at fault.
const MAX_REJECTED: u32 = 8;

/// How much later a call must have been sent for its answer to show that an earlier one is lost, in
/// milliseconds: calls on two connections may overtake one another.
const ORDER_MARGIN: u64 = 250;

/// The number of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct CallId(u64);

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The service answered the question.
    Answered,
    /// The service answered that it can't make sense of the question.
    Rejected,
    /// The service refused the call because it is overloaded or unavailable.
    Busy,
    /// The service could not be reached, or the connection broke.
    Failed,
}

/// How the service does.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Display)]
pub enum Condition {
    /// It answers in time, or has nothing to answer.
    #[default]
    #[display("answering")]
    Answering,
    /// It refuses calls.
    #[display("busy")]
    Busy,
    /// It can't be reached.
    #[display("unreachable")]
    Unreachable,
    /// It accepts calls and doesn't answer.
    #[display("silent")]
    Silent,
}

/// A call under way.
#[derive(Debug, Clone)]
struct Call {
    sent_at: u64,
    /// The service's time for it, as declared.
    work: u64,
    /// When its answer should be there.
    due: u64,
    /// When an answer to a later call arrived.
    passed_at: Option<u64>,
}

/// The calls of a host under way.
#[derive(Debug)]
pub struct Window {
    calls: BTreeMap<CallId, Call>,
    next: u64,
    sent_at: u64,
    answered_at: u64,
    /// The service's time as a multiple of what is declared; at least 1.
    slowdown: f64,
    /// Failures in a row, and when the pause after them ends.
    failures: u32,
    resume_at: u64,
    /// Whether the last failure was a refusal.
    busy: bool,
    /// Questions in a row that were rejected.
    rejected: u32,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            calls: BTreeMap::new(),
            next: 0,
            sent_at: 0,
            answered_at: 0,
            slowdown: 1.0,
            failures: 0,
            resume_at: 0,
            busy: false,
            rejected: 0,
        }
    }
}

impl Window {
    /// Whether a question may be sent now.
    pub fn may_send(&self, now: u64) -> bool {
        if now < self.resume_at {
            return false;
        }
        if self.is_silent(now) {
            return now >= self.probe_at() && self.calls.len() < MAX_SILENT;
        }
        if self.failures > 0 {
            return self.calls.is_empty();
        }
        let work: u64 = self.calls.values().map(|call| self.actual(call.work)).sum();
        self.calls.len() < MIN_CALLS || self.calls.len() < MAX_CALLS && work < MAX_WORK
    }

    /// The call whose question may be sent once more, as the service is silent and there may be no
    /// other question to ask.
    pub fn repeatable(&self, now: u64) -> Option<CallId> {
        self.is_silent(now).then(|| self.calls.keys().next().copied()).flatten()
    }

    /// Records that a question is sent that takes the service `work` milliseconds.
    pub fn send(&mut self, work: u64, now: u64) -> CallId {
        let id = CallId(self.next);
        self.next += 1;
        self.sent_at = now;
        let free_at = self.calls.values().next_back().map_or(now, |c| c.due - LATE_MARGIN);
        let due = free_at.max(now) + self.actual(work) + LATE_MARGIN;
        self.calls.insert(id, Call { sent_at: now, work, due, passed_at: None });
        id
    }

    /// Records the end of a call.
    pub fn end(&mut self, id: CallId, end: CallEnd, now: u64) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        match end {
            CallEnd::Answered => {
                self.rejected = 0;
                self.answered(id, &call, now);
            }
            CallEnd::Rejected => {
                self.rejected = self.rejected.saturating_add(1);
                match self.rejected < MAX_REJECTED {
                    true => self.answered(id, &call, now),
                    false => self.failed(true, now),
                }
            }
            CallEnd::Busy | CallEnd::Failed => self.failed(end == CallEnd::Busy, now),
        }
    }

    /// Takes the calls to give up: those that are lost, and the oldest one if a silent service has to
    /// be asked again and holds too many.
    pub fn lost(&mut self, now: u64) -> Vec<CallId> {
        let lost = |call: &Call| call.passed_at.is_some_and(|at| self.lost_at(call, at) <= now);
        let mut ids: Vec<CallId> =
            self.calls.iter().filter(|(_, call)| lost(call)).map(|(id, _)| *id).collect();
        let full = self.calls.len() - ids.len() >= MAX_SILENT;
        if full && self.is_silent(now) && now >= self.probe_at() {
            ids.extend(self.calls.keys().find(|id| !ids.contains(id)));
        }
        for id in &ids {
            self.calls.remove(id);
        }
        ids
    }

    /// When something changes without a call ending; nothing if it doesn't.
    pub fn next_change(&self, now: u64) -> Option<u64> {
        let silent_at = match self.is_silent(now) {
            true => Some(self.probe_at()),
            false => self.oldest().map(|call| call.due),
        };
        let lost_at = self.calls.values().filter_map(|c| Some(self.lost_at(c, c.passed_at?))).min();
        let resume_at = Some(self.resume_at).filter(|at| *at > now);
        [silent_at, lost_at, resume_at].into_iter().flatten().min()
    }

    /// How the service does.
    pub fn condition(&self, now: u64) -> Condition {
        match () {
            _ if self.is_silent(now) => Condition::Silent,
            _ if self.failures == 0 => Condition::Answering,
            _ if self.busy => Condition::Busy,
            _ => Condition::Unreachable,
        }
    }

    /// The number of calls under way.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is under way.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn failed(&mut self, busy: bool, now: u64) {
        // Calls that fail together are one failure.
        if now >= self.resume_at {
            self.failures = self.failures.saturating_add(1);
            self.busy = busy;
            self.resume_at = now + growing_pause(FIRST_PAUSE, MAX_PAUSE, self.failures);
        }
    }

    fn answered(&mut self, id: CallId, call: &Call, now: u64) {
        let began = call.sent_at.max(self.answered_at);
        let took = now.saturating_sub(began) as f64 / call.work.max(1) as f64;
        // One answer after a silence says little about the next ones.
        let took = took.clamp(1.0, 2.0 * self.slowdown);
        self.slowdown = (self.slowdown + took) / 2.0;
        self.answered_at = now;
        (self.failures, self.resume_at) = (0, 0);
        for (_, earlier) in self.calls.range_mut(..id) {
            if earlier.sent_at + ORDER_MARGIN <= call.sent_at {
                earlier.passed_at.get_or_insert(now);
            }
        }
        // The service begins with the next call only now.
        let mut free_at = now;
        for waiting in self.calls.values_mut().filter(|c| c.passed_at.is_none()) {
            free_at += (waiting.work as f64 * self.slowdown) as u64;
            waiting.due = free_at + LATE_MARGIN;
        }
    }

    /// Whether the oldest call that isn't lost should have been answered.
    fn is_silent(&self, now: u64) -> bool {
        self.oldest().is_some_and(|call| call.due <= now)
    }

    fn oldest(&self) -> Option<&Call> {
        self.calls.values().find(|call| call.passed_at.is_none())
    }

    /// When a silent service is called again.
    fn probe_at(&self) -> u64 {
        let full = self.calls.len() >= MAX_SILENT;
        self.sent_at + if full { RARE_PROBE_EVERY } else { PROBE_EVERY }
    }

    /// When a call counts as lost after an answer to a later one at `passed_at`.
    fn lost_at(&self, call: &Call, passed_at: u64) -> u64 {
        passed_at + self.actual(call.work) + LATE_MARGIN
    }

    /// The service's time for a call, as measured.
    fn actual(&self, work: u64) -> u64 {
        (work as f64 * self.slowdown) as u64
    }
}
