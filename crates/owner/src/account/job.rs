//! Where the time of one job went.

use std::collections::BTreeMap;

use myrtle_job::{JobSpec, TaskId};

use crate::account::clock::TaskClock;
use crate::account::phase::Phase;
use crate::account::spans::Spans;
use crate::placing::step::{StepKey, step_of};

/// The chain of steps that ended last with a step.
#[derive(Debug, Clone, Copy)]
struct Chain {
    ended_at: u64,
    spans: Spans,
}

/// The account of one job.
#[derive(Debug, Clone)]
pub(crate) struct JobAccount {
    /// The time before this owner knew of the job.
    base: Chain,
    /// When the repetitions began.
    begun: BTreeMap<u32, u64>,
    /// The chain that ended last.
    last: Chain,
    /// The chains of steps that are done.
    done: BTreeMap<StepKey, Chain>,
    /// Since when steps have found no worker, and why.
    blocked: BTreeMap<StepKey, (Phase, u64)>,
    /// The clocks of tasks that have been assigned and are not done.
    tasks: BTreeMap<TaskId, TaskClock>,
}

impl JobAccount {
    /// The account of a job that arrived at `arrived_at` and is known since `now`; `before` is what
    /// the time between counts as.
    pub(crate) fn new(arrived_at: u64, before: Phase, now: u64) -> Self {
        let mut spans = Spans::default();
        spans.add(before, now.saturating_sub(arrived_at));
        let base = Chain { ended_at: now, spans };
        Self {
            base,
            last: base,
            begun: BTreeMap::new(),
            done: BTreeMap::new(),
            blocked: BTreeMap::new(),
            tasks: BTreeMap::new(),
        }
    }

    /// Records that a repetition began.
    pub(crate) fn begin_round(&mut self, round: u32, now: u64) {
        self.begun.insert(round, now);
    }

    /// Records that a step found no worker; the first reason counts until all of it is placed.
    pub(crate) fn block(&mut self, task: TaskId, reason: Phase, now: u64) {
        self.blocked.entry(step_of(task)).or_insert((reason, now));
    }

    /// Whether a step is recorded as having found no worker.
    pub(crate) fn is_blocked(&self, task: TaskId) -> bool {
        self.blocked.contains_key(&step_of(task))
    }

    /// Records that none of a step's tasks waits.
    pub(crate) fn unblock(&mut self, task: TaskId) {
        self.blocked.remove(&step_of(task));
    }

    /// Records that a task was assigned.
    pub(crate) fn assigned(&mut self, spec: &JobSpec, task: TaskId, run: u32, now: u64) {
        let ready_at = self.before(spec, task).ended_at;
        let blocked = self.blocked.get(&step_of(task)).copied();
        let clock = self.tasks.entry(task).or_insert_with(|| TaskClock::new(ready_at));
        clock.assigned(run, blocked, now);
    }

    /// Records that a run enters a phase.
    pub(crate) fn enter(&mut self, task: TaskId, run: u32, phase: Phase, now: u64) {
        if let Some(clock) = self.tasks.get_mut(&task) {
            clock.enter(run, phase, now);
        }
    }

    /// Records that a run ended without success.
    pub(crate) fn ended(
        &mut self,
        task: TaskId,
        run: u32,
        cause: Phase,
        copy: Option<u32>,
        now: u64,
    ) {
        let since = self.base.ended_at;
        let clock = self.tasks.entry(task).or_insert_with(|| TaskClock::inherited(run, since));
        clock.ended(run, cause, copy, now);
    }

    /// Records the time that speed limits took from a run that ends, in milliseconds.
    pub(crate) fn throttled(&mut self, task: TaskId, millis: u64) {
        if let Some(clock) = self.tasks.get_mut(&task) {
            clock.throttled(millis);
        }
    }

    /// Records that a task is done.
    ///
    /// The last task of a step decides which chain the step belongs to.
    pub(crate) fn done(&mut self, spec: &JobSpec, task: TaskId, now: u64) {
        let before = self.before(spec, task);
        let clock = self.tasks.remove(&task);
        let clock = clock.unwrap_or_else(|| TaskClock::inherited(0, before.ended_at));
        let mut spans = before.spans;
        spans += clock.finish(now);
        let estimate = spec.steps[usize::from(task.step)].estimate_ms;
        spans.estimate = spans.estimate.saturating_add(estimate.min(u32::MAX.into()) as u32);
        self.last = Chain { ended_at: now, spans };
        self.done.insert(step_of(task), self.last);
    }

    /// Forgets the steps of a repetition that is done.
    pub(crate) fn end_round(&mut self, round: u32) {
        self.begun.remove(&round);
        self.done.retain(|&(_, other, _), _| other != round);
        self.blocked.retain(|&(_, other, _), _| other != round);
    }

    /// The spans of a task that is not done, from the job's arrival.
    pub(crate) fn chain_of(&self, spec: &JobSpec, task: TaskId, now: u64) -> Spans {
        let mut before = self.before(spec, task);
        let clock = self.tasks.get(&task).copied();
        before.spans += clock.unwrap_or_else(|| TaskClock::new(before.ended_at)).finish(now);
        before.spans
    }

    /// The spans of the chain that ended last, from the job's arrival until `now`.
    pub(crate) fn last_chain(&self, now: u64) -> Spans {
        let mut spans = self.last.spans;
        spans.add(Phase::Log, now.saturating_sub(self.last.ended_at));
        spans
    }

    /// Forgets all but the chain that ended last; no task of the job is started any more.
    pub(crate) fn close(&mut self) {
        self.begun.clear();
        self.done.clear();
        self.blocked.clear();
        self.tasks.clear();
    }

    /// The chain that a task's step had to wait for; of steps that were done before this owner
    /// began only the time is known.
    fn before(&self, spec: &JobSpec, task: TaskId) -> Chain {
        let after = &spec.steps[usize::from(task.step)].after;
        let done =
            after.iter().filter_map(|&step| self.done.get(&step_of(TaskId { step, ..task })));
        if let Some(chain) = done.max_by_key(|chain| chain.ended_at) {
            return *chain;
        }
        let begun = self.begun.get(&task.round);
        begun.map_or(self.base, |&at| Chain { ended_at: at, spans: Spans::default() })
    }
}
