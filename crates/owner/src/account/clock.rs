//! Where the time of one task went.

use crate::account::phase::Phase;
use crate::account::spans::Spans;

/// The time of one task since its step was ready.
///
/// It follows one run at a time; copies of that run don't count until it has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskClock {
    /// The spans of waits and of runs without success.
    spans: Spans,
    /// The spans of the run that is followed.
    attempt: Spans,
    /// The number of that run.
    run: Option<u32>,
    phase: Phase,
    since: u64,
}

impl TaskClock {
    /// The clock of a task whose step was ready at `ready_at`.
    pub(crate) fn new(ready_at: u64) -> Self {
        Self {
            spans: Spans::default(),
            attempt: Spans::default(),
            run: None,
            phase: Phase::Queue,
            since: ready_at,
        }
    }

    /// The clock of a task that an earlier owner started as `run`.
    pub(crate) fn inherited(run: u32, since: u64) -> Self {
        Self { run: Some(run), phase: Phase::Run, ..Self::new(since) }
    }

    /// Records that the task was assigned; `blocked` says since when its step found no worker, and
    /// why.
    pub(crate) fn assigned(&mut self, run: u32, blocked: Option<(Phase, u64)>, now: u64) {
        if self.run.is_some() {
            return;
        }
        if let Some((phase, since)) = blocked {
            let since = since.clamp(self.since, now);
            self.spans.add(Phase::Queue, since - self.since);
            self.spans.add(phase, now - since);
        } else {
            self.spans.add(Phase::Queue, now.saturating_sub(self.since));
        }
        (self.run, self.phase, self.since) = (Some(run), Phase::Log, now);
    }

    /// Records that the followed run enters a phase.
    pub(crate) fn enter(&mut self, run: u32, phase: Phase, now: u64) {
        if self.run != Some(run) || self.phase == phase {
            return;
        }
        self.attempt.add(self.phase, now.saturating_sub(self.since));
        (self.phase, self.since) = (phase, now);
    }

    /// Records that a run ended without success, which counts as `cause`; `copy` is a run that goes
    /// on.
    pub(crate) fn ended(&mut self, run: u32, cause: Phase, copy: Option<u32>, now: u64) {
        if self.run != Some(run) {
            return;
        }
        self.attempt.add(self.phase, now.saturating_sub(self.since));
        self.spans.add(cause, self.attempt.total());
        self.attempt = Spans::default();
        let phase = if copy.is_some() { Phase::Run } else { Phase::Queue };
        (self.run, self.phase, self.since) = (copy, phase, now);
    }

    /// Records the time that speed limits took from the followed run, in milliseconds.
    pub(crate) fn throttled(&mut self, millis: u64) {
        self.attempt.throttled = u32::try_from(millis).unwrap_or(u32::MAX);
    }

    /// The spans of the task, which ended at `now`.
    pub(crate) fn finish(mut self, now: u64) -> Spans {
        self.attempt.add(self.phase, now.saturating_sub(self.since));
        self.spans += self.attempt;
        self.spans
    }
}
