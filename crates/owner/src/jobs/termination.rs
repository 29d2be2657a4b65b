//! Ends jobs, runs and incarnations of workers by the owner's decision.

use log::{info, warn};

use myrtle_job::{Incarnation, JobId, State, TaskId};

use crate::account::phase::Phase;
use crate::workers::crash::Cause;
use crate::{Cell, Order, Presence, Stage};

impl Cell {
    /// Cancels a job and stops its runs; false if the job is not known.
    pub fn cancel(&mut self, id: JobId, now: u64, wall: u64) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        if !job.progress.state.over() {
            let state = job.progress.state;
            let (runs, unreached) = self.count_runs(id);
            info!("event=job-cancelled job={id} state={state} runs={runs} unreached={unreached}");
            self.finish(id, State::Cancelled, now, wall);
        }
        true
    }

    /// The number of runs of a job, and of those on workers that don't answer.
    fn count_runs(&self, id: JobId) -> (usize, usize) {
        let runs = self.jobs.get(&id).map_or_else(Vec::new, |job| job.runs(id));
        let answers = |incarnation| {
            self.workers.get(incarnation).is_some_and(|w| w.presence == Presence::Answering)
        };
        let unreached = runs.iter().filter(|(_, run)| !answers(&run.worker)).count();
        (runs.len(), unreached)
    }

    /// Ends a job for good and stops its runs.
    pub(crate) fn finish(&mut self, id: JobId, state: State, now: u64, wall: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.progress.state = state;
        job.progress.ended_at = wall.max(1);
        self.open.remove(&id);
        self.repeating.remove(&id);
        self.load_cycles.forget(id);
        self.dirty.insert(id);
        for (task, run) in job.runs(id) {
            self.stop_run(&run.worker, task, run.number, now);
        }
    }

    /// Stops a run; one whose start was not sent yet is removed.
    pub(crate) fn stop_run(&mut self, incarnation: &Incarnation, task: TaskId, run: u32, now: u64) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let Some(active) = worker.active_runs.get_mut(&task).filter(|f| f.run == run) else {
            return;
        };
        match active.stage {
            Stage::Stopping | Stage::Stopped => {}
            Stage::Written => {
                worker.active_runs.remove(&task);
                self.remove_run(task, run, Phase::Stopped, now);
            }
            _ => {
                active.enter(Stage::Stopping, now);
                self.orders.push(Order::Stop { worker: incarnation.clone(), task, run });
            }
        }
    }

    /// Removes a run from its task's record, so that the task can be started again; its time counts
    /// as `cause`.
    pub(crate) fn remove_run(&mut self, task: TaskId, run: u32, cause: Phase, now: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.progress.task_mut(task).is_some_and(|t| t.remove_run(run)) {
            job.count_loss(task, run, cause, now);
            self.dirty.insert(task.job);
            if !job.progress.state.over() {
                self.open.insert(task.job);
            }
        }
    }

    /// Marks an incarnation as replaced by another one that answers at its address.
    pub(crate) fn mark_replaced(&mut self, incarnation: &Incarnation, now: u64) {
        self.remove_runs(incarnation, Cause::Replaced, now);
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.listed = false;
        }
    }

    /// Removes the runs of an incarnation that is gone or whose leases have all expired.
    pub(crate) fn remove_runs(&mut self, incarnation: &Incarnation, cause: Cause, now: u64) {
        self.record_silence(incarnation, now);
        let crashed = self.may_have_crashed(incarnation, cause, now);
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let runs = std::mem::take(&mut worker.active_runs);
        if !runs.is_empty() || worker.listed {
            warn!(
                "event=worker-gone worker={incarnation} reason=\"{cause}\" runs={} silent_ms={}",
                runs.len(),
                now.saturating_sub(worker.answered_at)
            );
        }
        let answered_at = worker.answered_at;
        // A run lasted at least until the worker's last reply; for a worker that never answered
        // this owner the time is not known.
        let down_since = (worker.presence != Presence::Unreached).then_some(answered_at);
        worker.presence = Presence::Gone;
        self.counts.lost += runs.len() as u64;
        let runs: Vec<_> = runs.into_iter().collect();
        if crashed {
            let unproven_at = (cause == Cause::Lapsed).then_some(now);
            self.count_loss_of(incarnation, &runs, answered_at, unproven_at);
        }
        for (task, active) in runs {
            // The time between its start and the last reply shows which runs had just started.
            info!(
                "event=run-lost task={task} run={} worker={incarnation} stage={:?} begun={} ran_ms={}",
                active.run,
                active.stage,
                active.begun(),
                answered_at.saturating_sub(active.started_at.unwrap_or(answered_at))
            );
            // The record may already name the worker's next incarnation.
            if self.has_run(incarnation, task, active.run) {
                self.remove_run(task, active.run, Phase::Lost, now);
                if let Some(down_since) = down_since.filter(|_| active.started_at.is_some()) {
                    self.note_down(task, down_since);
                }
            }
        }
    }

    /// Records the start of a long-running task's downtime.
    fn note_down(&mut self, task: TaskId, at: u64) {
        let job = self.jobs.get_mut(&task.job);
        if let Some(job) = job.filter(|j| j.step(task.step).long_running) {
            job.down_since.insert(task, at);
        }
    }

    /// Whether a task's record holds a run at an incarnation.
    pub(crate) fn has_run(&self, incarnation: &Incarnation, task: TaskId, run: u32) -> bool {
        let record = self.jobs.get(&task.job).and_then(|job| job.progress.task(task));
        record.and_then(|t| t.active_run(run)).is_some_and(|r| r.worker == *incarnation)
    }
}
