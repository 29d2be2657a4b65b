//! Jobs as the owner tracks them.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::account::job::JobAccount;
use crate::account::phase::Phase;
use crate::account::spans::Spans;
use myrtle_job::{Incarnation, JobId, Progress, Run, State, StepSpec, Submission, Task, TaskId};
use myrtle_tickets::{StepId, StepTickets};

/// An accepted job.
#[derive(Debug, Clone)]
pub struct Job {
    /// What was submitted.
    pub submission: Submission,
    /// Its progress, ahead of the log.
    pub progress: Progress,
    /// The state that the log holds, which clients see.
    pub logged_state: State,
    /// When it was submitted, by the steady clock.
    pub arrived_at: u64,
    /// The home cell that follows from its name, if known; it may transfer the job to another one.
    pub home: Option<u32>,
    /// Until when transferred tasks may not have been started by the other cells.
    pub transfer_until: u64,
    /// When the last incoming transfer was received.
    pub received_at: u64,
    /// Since when a task has found no worker, if none was placed after that.
    pub waiting_since: Option<u64>,
    /// When tasks may be tried again after a refusal or a failure.
    pub retry_at: BTreeMap<TaskId, u64>,
    /// When the last runs of long-running tasks that aren't running ended, as far as this owner was
    /// notified.
    pub down_since: BTreeMap<TaskId, u64>,
    /// Where a task failed or made no progress, so that it goes to another worker.
    pub avoided: BTreeMap<TaskId, Vec<Incarnation>>,
    /// The ticket service's answers about its steps.
    pub tickets: BTreeMap<StepId, StepTickets>,
    /// Where its time went.
    pub(crate) account: JobAccount,
    /// The same for the task because of which it failed.
    pub(crate) failed_chain: Option<Spans>,
}

impl Job {
    /// A job that was submitted at `arrived_at`.
    pub fn new(submission: Submission, progress: Progress, arrived_at: u64) -> Self {
        let logged_state = progress.state;
        Self {
            submission,
            progress,
            logged_state,
            arrived_at,
            home: None,
            transfer_until: 0,
            received_at: 0,
            waiting_since: None,
            retry_at: BTreeMap::new(),
            down_since: BTreeMap::new(),
            avoided: BTreeMap::new(),
            tickets: BTreeMap::new(),
            account: JobAccount::new(arrived_at, Phase::Accept, arrived_at),
            failed_chain: None,
        }
    }

    /// Whether a start of a task may be planned on a worker, as far as tickets go.
    pub(crate) fn admits(&self, task: TaskId, worker: &Incarnation, now: u64) -> bool {
        self.submission.policy.ticket_times.is_none()
            || self.tickets.get(&task.into()).is_some_and(|t| t.usable(worker, now).is_some())
    }

    /// The ticket with which a task is started on a worker, if there is one.
    pub(crate) fn ticket(&self, task: TaskId, worker: &Incarnation) -> Option<Arc<str>> {
        self.tickets.get(&task.into())?.held(worker).cloned()
    }

    /// Whether a task of the job has to be started here; `record` is its own.
    pub fn waits(&self, task: TaskId, record: &Task) -> bool {
        record.is_waiting() && !self.progress.is_transferred(task) && !self.progress.given_up(task)
    }

    /// Whether each task that isn't done and has no run has to be started here.
    fn waits_alike(&self) -> bool {
        let progress = &self.progress;
        let here = !progress.incoming_only && progress.job_transfer.is_none();
        here && progress.uniform() && progress.crashes.is_empty()
    }

    /// The specification of a step.
    pub fn step(&self, step: u16) -> &StepSpec {
        &self.submission.spec.steps[usize::from(step)]
    }

    /// The latency objective, in milliseconds.
    pub fn objective(&self) -> u64 {
        let policy = &self.submission.policy;
        let chain = self.submission.spec.critical_path(|_| false);
        ((policy.stretch * chain as f64) as u64).saturating_add(policy.slack_ms)
    }

    /// How long a task has found no worker, in milliseconds.
    pub fn waited(&self, now: u64) -> u64 {
        self.waiting_since.map_or(0, |since| now.saturating_sub(since))
    }

    /// Whether a long-running task ran before and has to be restarted; it comes before those that
    /// never ran, which no user relies on yet.
    pub fn resumes(&self, task: TaskId) -> bool {
        let long_running =
            self.submission.spec.steps.get(usize::from(task.step)).is_some_and(|s| s.long_running);
        long_running && self.progress.task(task).is_some_and(|t| t.last_run > 0)
    }

    /// The start of the downtime of a waiting task: 0 if it is earlier than this owner can say, the
    /// largest number for a task that never ran.
    pub fn down_since(&self, task: TaskId) -> u64 {
        if !self.resumes(task) {
            return u64::MAX;
        }
        self.down_since.get(&task).copied().unwrap_or(0)
    }

    /// The start of the longest downtime among the waiting tasks; `id` is the job's own.
    pub fn earliest_down(&self, id: JobId) -> u64 {
        if !self.submission.spec.has_long_running() {
            return u64::MAX;
        }
        // A task that never ran has no downtime.
        let ran = self.progress.groups().filter(|group| group.task.last_run > 0);
        let named = ran.flat_map(|group| group.ids(id).map(move |task| (task, group.task)));
        let waiting = named.filter(|(task, t)| self.waits(*task, t));
        waiting.map(|(task, _)| self.down_since(task)).min().unwrap_or(u64::MAX)
    }

    /// The remaining time on the longest chain of the oldest repetition, in milliseconds.
    pub fn time_left(&self) -> u64 {
        let Some(round) = self.progress.rounds.values().next() else {
            return 0;
        };
        self.submission.spec.critical_path(|step| round.steps[step].done())
    }

    /// The remaining work of the oldest repetition, in thousandths of a core for a millisecond.
    pub fn work_left(&self) -> f64 {
        let Some(round) = self.progress.rounds.values().next() else {
            return 0.0;
        };
        let steps = round.steps.iter().zip(&self.submission.spec.steps);
        let left = steps.map(|(step, spec)| {
            let open = step.tasks.groups().filter(|(_, t)| !t.done);
            let tasks: usize = open.map(|(indices, _)| indices.len()).sum();
            tasks as f64 * spec.work()
        });
        left.sum()
    }

    /// The number of tasks that are ready and have to be started here; `id` is the job's own.
    pub fn waiting(&self, id: JobId) -> usize {
        self.waiting_steps(id).map(|(_, count)| count).sum()
    }

    /// The steps that are ready, with the number of their tasks that have to be started here; `id`
    /// is the job's own.
    pub(crate) fn waiting_steps(&self, id: JobId) -> impl Iterator<Item = (&StepSpec, usize)> {
        let spec = &self.submission.spec;
        self.progress.rounds.iter().flat_map(move |(&number, round)| {
            let steps = round.steps.iter().zip(&spec.steps).zip(0u16..);
            let ready = steps.filter(move |&(_, at)| round.ready(spec, usize::from(at)));
            ready.map(move |((step, spec), at)| {
                let named = |index| TaskId { job: id, round: number, step: at, index };
                let waiting = step.tasks.groups().map(|(indices, t)| match t.is_waiting() {
                    true if self.waits_alike() => indices.len(),
                    true => indices.filter(|&index| self.waits(named(index as u16), t)).count(),
                    false => 0,
                });
                (spec, waiting.sum())
            })
        })
    }

    /// Whether no task was ever started and nothing was transferred, either way.
    pub(crate) fn untouched(&self) -> bool {
        let progress = &self.progress;
        progress.job_transfer.is_none()
            && progress.outgoing.is_empty()
            && progress.incoming.is_empty()
            && !progress.state.over()
            && progress.groups().all(|group| group.task.last_run == 0 && !group.task.done)
    }

    /// Every run that may be active, with its task; `id` is the job's own.
    pub fn runs(&self, id: JobId) -> Vec<(TaskId, Run)> {
        let active = self.progress.groups().filter(|group| !group.task.active.is_empty());
        let named = active.flat_map(|group| group.ids(id).map(move |task| (task, group.task)));
        named.flat_map(|(task, t)| t.active.iter().map(move |r| (task, r.clone()))).collect()
    }
}
