//! Places the tasks of a step on workers, one by one or as a gang.

use log::debug;

use myrtle_job::{Incarnation, JobId, Run, TaskId};

use crate::account::phase::Phase;
use crate::placing::tolerance::Tolerance;
use crate::{ActiveRun, Cell, Stage};

/// The most tasks of a step that never ran and are considered in one slice, far above the width of usual steps.
const SLICE_TASKS: usize = 1_024;

/// The runs that a job may have however many are active in the cell.
const ASSURED_RUNS: usize = 16;

/// The number of workers for each filler that is assured.
const WORKERS_PER_ASSURED: usize = 16;

impl Cell {
    /// Places the tasks of a step one by one; true if some still wait.
    pub(crate) fn place_step(&mut self, id: JobId, round: u32, step: u16, now: u64) -> bool {
        let mut waiting = self.waiting(id, round, step, now);
        let allowed = self.allowed_runs(id);
        let mut left = waiting.len() > allowed;
        waiting.truncate(allowed);
        let mut placed = 0;
        let wanted = waiting.len();
        for task in waiting {
            if self.pass.exhausted() {
                self.pass.interrupted = true;
                left = true;
                break;
            }
            let job = &self.jobs[&id];
            if job.retry_at.get(&task).is_some_and(|&at| at > now) {
                left = true;
                continue;
            }
            let copy = job.progress.task(task).is_some_and(|t| !t.is_waiting());
            let fit = match self.pass.unplaced.contains(&task) {
                true => None,
                false => self.find_worker(task, copy, now),
            };
            if fit.is_none() {
                self.pass.unplaced.insert(task);
            }
            if copy && fit.is_none() {
                // The run that exists may still end.
                continue;
            }
            let Some(incarnation) = fit else {
                // The other tasks of the step have the same requirements.
                self.ask(task, now);
                self.log_placed(task, placed, wanted, now);
                self.note_waiting(task, now);
                return true;
            };
            self.assign(task, &incarnation, None, now);
            placed += 1;
        }
        if placed >= SLICE_TASKS && !left {
            // The step may have more of them.
            self.pass.interrupted = true;
            left = true;
        }
        let first = TaskId { job: id, round, step, index: 0 };
        self.log_placed(first, placed, wanted, now);
        if let Some(job) = self.jobs.get_mut(&id).filter(|_| !left) {
            job.waiting_since = None;
            job.account.unblock(first);
        }
        left
    }

    /// The tasks of a step that wait or want a copy, longest downtime first; of those that never ran only the first
    /// ones.
    pub(crate) fn waiting(&self, id: JobId, round: u32, step: u16, now: u64) -> Vec<TaskId> {
        let job = &self.jobs[&id];
        let tasks = &job.progress.rounds[&round].steps[usize::from(step)].tasks;
        let mut waiting: Vec<TaskId> = Vec::new();
        for (indices, record) in tasks.groups().filter(|(_, record)| !record.done) {
            let named = indices.map(|index| TaskId { job: id, round, step, index: index as u16 });
            let wanted = named
                .filter(|task| job.waits(*task, record) || self.wants_copy(*task, record, now));
            let most = if record.last_run == 0 { SLICE_TASKS } else { usize::MAX };
            waiting.extend(wanted.take(most));
        }
        waiting.sort_by_key(|task| job.down_since(*task));
        waiting
    }

    /// How many more runs of a job may be active: with many in the cell, a job has only a few.
    fn allowed_runs(&self, id: JobId) -> usize {
        let active: usize = self.workers.values().map(|worker| worker.active_runs.len()).sum();
        if active < self.max_runs {
            return self.max_runs - active;
        }
        let own = self.jobs.get(&id).map_or(0, |job| job.runs(id).len());
        ASSURED_RUNS.saturating_sub(own)
    }

    /// Places all tasks of a gang or none; true if it still waits.
    pub(crate) fn place_gang(&mut self, id: JobId, round: u32, step: u16, now: u64) -> bool {
        let job = &self.jobs[&id];
        let tasks = &job.progress.rounds[&round].steps[usize::from(step)].tasks;
        let named = |index| TaskId { job: id, round, step, index };
        if tasks.iter().zip(0u16..).any(|(t, index)| !job.waits(named(index), t)) {
            return true;
        }
        if tasks.len() > self.allowed_runs(id) {
            return true;
        }
        let number = tasks.iter().map(|t| t.last_run).max().unwrap_or(0) + 1;
        let checkpoint = tasks.iter().map(|t| &t.checkpoint).max().cloned().unwrap_or_default();
        let members: Vec<TaskId> = (0..tasks.len())
            .map(|index| TaskId { job: id, round, step, index: index as u16 })
            .collect();
        if members.iter().any(|t| job.retry_at.get(t).is_some_and(|&at| at > now))
            || self.pass.unplaced.contains(&members[0])
        {
            return true;
        }
        for (at, &task) in members.iter().enumerate() {
            let job = &self.jobs[&id];
            let spec = job.step(step);
            let Some(incarnation) = self.best_worker(job, spec, task, now) else {
                for &placed in &members[..at] {
                    self.unassign(placed, number, now);
                }
                self.pass.unplaced.insert(members[0]);
                self.ask(task, now);
                self.note_waiting(task, now);
                return true;
            };
            self.assign(task, &incarnation, Some(number), now);
        }
        self.log_placed(members[0], members.len(), members.len(), now);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.waiting_since = None;
            job.account.unblock(members[0]);
        }
        for &task in &members {
            if let Some(t) = self.jobs.get_mut(&id).and_then(|j| j.progress.task_mut(task)) {
                t.checkpoint.clone_from(&checkpoint);
            }
        }
        false
    }

    /// Assigns the next run of a task to a worker; it starts once the log holds it.
    fn assign(&mut self, task: TaskId, incarnation: &Incarnation, number: Option<u32>, now: u64) {
        let suspect = self.is_suspected(task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let spec = job.step(task.step).clone();
        let starving =
            spec.filler && !spec.long_running && job.tolerance(task, now) == Tolerance::Any;
        let Some(record) = job.progress.task_mut(task) else {
            return;
        };
        let run = number.unwrap_or(record.last_run + 1);
        record.last_run = run;
        record.active.push(Run { number: run, worker: incarnation.clone() });
        job.retry_at.remove(&task);
        if let Some(tickets) = job.tickets.get_mut(&task.into()) {
            tickets.used();
        }
        if !spec.long_running {
            job.waiting_since = None;
            job.account.assigned(&job.submission.spec, task, run, now);
            self.queues.count_start(spec.filler, spec.work(), now);
        }
        self.dirty.insert(task.job);
        let assured = starving && self.may_assure();
        if let Some(worker) = self.workers.get_mut(incarnation) {
            let fresh = ActiveRun::new(run, &spec, Stage::Written, now);
            let active = ActiveRun { suspect, assured, ..fresh };
            worker.active_runs.insert(task, active);
            if spec.serves() {
                // The load forecast has to include it before the next fillers are placed.
                self.forecast_at = 0;
            }
            if spec.filler {
                let filler = spec.image.as_deref().unwrap_or("");
                worker.count_filler(&self.interference, filler, spec.room.cpu);
            }
        }
        debug!("event=placed task={task} run={run} worker={incarnation} fence={}", self.fence);
    }

    /// Whether one more filler may be assured: each may slow the serving tasks of a worker.
    fn may_assure(&self) -> bool {
        let assured = self.workers.values().filter(|w| w.active_runs.sums().assured).count();
        assured * WORKERS_PER_ASSURED < self.workers.len()
    }

    /// Withdraws an assigned run.
    fn unassign(&mut self, task: TaskId, number: u32, now: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.count_loss(task, number, Phase::Queue, now);
        let Some(record) = job.progress.task_mut(task) else {
            return;
        };
        let runs: Vec<_> = record.active.iter().filter(|r| r.number == number).cloned().collect();
        record.remove_run(number);
        record.last_run = number - 1;
        for run in runs {
            if let Some(worker) = self.workers.get_mut(&run.worker) {
                worker.active_runs.remove(&task);
            }
        }
    }
}
