//! Jobs as the owner holds them.

use std::collections::BTreeMap;
use std::sync::Arc;

use myrtle_job::{Incarnation, JobId, Progress, Run, State, StepSpec, Submission, Task, TaskId};

/// An accepted job.
#[derive(Debug, Clone)]
pub struct Job {
    /// What was handed in.
    pub submission: Submission,
    /// How far it has come, ahead of the log.
    pub progress: Progress,
    /// What the log holds of its state; clients are told this.
    pub shown: State,
    /// When it was handed in, by the steady clock.
    pub came: u64,
    /// The cell that its name says, if that is known; it may hand the job on to another one.
    pub home: Option<u32>,
    /// Until when tasks that were handed on to other cells may not have been started there yet.
    pub under_way: u64,
    /// When tasks last came from another cell.
    pub taken_at: u64,
    /// Since when a task has found no worker, if nothing was placed after that.
    pub stuck: Option<u64>,
    /// When tasks may be tried again, after a refusal or a failure.
    pub retry: BTreeMap<TaskId, u64>,
    /// When the last runs of lasting tasks that are not at work have ended, as far as this owner was told.
    pub freed: BTreeMap<TaskId, u64>,
    /// Where a task failed or stood still, so that it goes elsewhere.
    pub shunned: BTreeMap<TaskId, Vec<Incarnation>>,
    /// What the policy service said of steps.
    pub tickets: BTreeMap<(u32, u16), Permits>,
}

/// What the policy service said of a step.
#[derive(Debug, Clone, Default)]
pub struct Permits {
    /// Workers with their tickets and when these end, by the steady clock.
    pub good: BTreeMap<Incarnation, (Arc<str>, u64)>,
    /// Workers that were asked about.
    pub asked: Vec<Incarnation>,
    /// No question before this time.
    pub pause: u64,
    /// Whether a question is under way.
    pub asking: bool,
}

impl Job {
    /// A job that came at `came`.
    pub fn new(submission: Submission, progress: Progress, came: u64) -> Self {
        let shown = progress.state;
        Self {
            submission,
            progress,
            shown,
            came,
            home: None,
            under_way: 0,
            taken_at: 0,
            stuck: None,
            retry: BTreeMap::new(),
            freed: BTreeMap::new(),
            shunned: BTreeMap::new(),
            tickets: BTreeMap::new(),
        }
    }

    /// Whether a task of the job has to be started here; `record` is the task's own.
    pub fn waits(&self, task: TaskId, record: &Task) -> bool {
        record.waits() && !self.progress.away(task) && !self.progress.given_up(task)
    }

    /// What was asked for of a step.
    pub fn step(&self, step: u16) -> &StepSpec {
        &self.submission.spec.steps[usize::from(step)]
    }

    /// The latency objective, in milliseconds.
    pub fn objective(&self) -> u64 {
        let policy = &self.submission.policy;
        let chain = self.submission.spec.chain(|_| false);
        ((policy.stretch * chain as f64) as u64).saturating_add(policy.slack)
    }

    /// How long a task has found no worker, in milliseconds.
    pub fn waited(&self, now: u64) -> u64 {
        self.stuck.map_or(0, |since| now.saturating_sub(since))
    }

    /// Whether a task that lasts has run before and has to be started again; it comes before those that
    /// never ran, which nobody relies on yet.
    pub fn resumes(&self, task: TaskId) -> bool {
        let lasting =
            self.submission.spec.steps.get(usize::from(task.step)).is_some_and(|s| s.lasting);
        lasting && self.progress.task(task).is_some_and(|t| t.last > 0)
    }

    /// Since when users miss a task that waits: 0 for longer than this owner knows, the largest number
    /// for one that nobody relies on yet.
    pub fn missed(&self, task: TaskId) -> u64 {
        if !self.resumes(task) {
            return u64::MAX;
        }
        self.freed.get(&task).copied().unwrap_or(0)
    }

    /// The same of whichever waiting task is missed longest; the job's name is `id`.
    pub fn longest_missed(&self, id: JobId) -> u64 {
        if !self.submission.spec.lasts() {
            return u64::MAX;
        }
        let tasks = self.progress.tasks();
        let named =
            tasks.map(|(round, step, index, t)| (TaskId { job: id, round, step, index }, t));
        let waiting = named.filter(|(task, t)| self.waits(*task, t));
        waiting.map(|(task, _)| self.missed(task)).min().unwrap_or(u64::MAX)
    }

    /// The work still ahead on the longest chain of the oldest repetition, in milliseconds.
    pub fn ahead(&self) -> u64 {
        let Some(round) = self.progress.rounds.values().next() else {
            return 0;
        };
        self.submission.spec.chain(|step| round.steps[step].done())
    }

    /// The work of its oldest repetition that is not done, in thousandths of a core for a
    /// millisecond.
    pub fn work_left(&self) -> f64 {
        let Some(round) = self.progress.rounds.values().next() else {
            return 0.0;
        };
        let steps = round.steps.iter().zip(&self.submission.spec.steps);
        let left = steps.map(|(step, spec)| {
            let tasks = step.tasks.iter().filter(|t| !t.done).count();
            tasks as f64 * spec.work()
        });
        left.sum()
    }

    /// How many tasks have to be started here and their turn has come; the job's name is `id`.
    pub fn waiting(&self, id: JobId) -> usize {
        let ready = self.progress.tasks().filter(|&(round, step, ..)| {
            self.progress.rounds[&round].ready(&self.submission.spec, usize::from(step))
        });
        let tasks =
            ready.map(|(round, step, index, t)| (TaskId { job: id, round, step, index }, t));
        tasks.filter(|(task, t)| self.waits(*task, t)).count()
    }

    /// Every run that may be going on; the tasks are named for the job `id`, which is this one.
    pub fn runs(&self, id: JobId) -> Vec<(TaskId, Run)> {
        let tasks = self.progress.tasks();
        let runs = tasks.flat_map(|(round, step, index, t)| {
            let task = TaskId { job: id, round, step, index };
            t.live.iter().map(move |r| (task, r.clone()))
        });
        runs.collect()
    }
}
