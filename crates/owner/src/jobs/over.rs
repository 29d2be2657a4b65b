//! How jobs, runs and lives of workers come to an end by the owner's decision.

use log::{info, warn};

use myrtle_job::{Incarnation, JobId, State, TaskId};

use crate::workers::crash::Cause;
use crate::{Cell, Life, Order, Stage};

impl Cell {
    /// Takes a job back; its runs are told to stop. Returns false if it is not known.
    pub fn cancel(&mut self, id: JobId, now: u64, wall: u64) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        if !job.progress.state.over() {
            let state = job.progress.state;
            let (runs, unreached) = self.reach(id);
            info!("event=job-cancelled job={id} state={state} runs={runs} unreached={unreached}");
            self.finish(id, State::Cancelled, now, wall);
        }
        true
    }

    /// How many runs a job has, and on workers that don't answer.
    fn reach(&self, id: JobId) -> (usize, usize) {
        let runs = self.jobs.get(&id).map_or_else(Vec::new, |job| job.runs(id));
        let met = |life| self.workers.get(life).is_some_and(|w| w.life == Life::Well);
        let unreached = runs.iter().filter(|(_, run)| !met(&run.worker)).count();
        (runs.len(), unreached)
    }

    /// Ends a job, for good; what still runs is told to stop.
    pub(crate) fn finish(&mut self, id: JobId, state: State, now: u64, wall: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.progress.state = state;
        job.progress.ended = wall.max(1);
        self.open.remove(&id);
        self.timed.remove(&id);
        self.swings.forget(id);
        self.dirty.insert(id);
        for (task, run) in job.runs(id) {
            self.halt(&run.worker, task, run.number, now);
        }
    }

    /// Tells a run to stop; one that was only written is taken back.
    pub(crate) fn halt(&mut self, life: &Incarnation, task: TaskId, run: u32, now: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let Some(flight) = worker.flights.get_mut(&task).filter(|f| f.run == run) else {
            return;
        };
        match flight.stage {
            Stage::Stopping | Stage::Stopped => {}
            Stage::Written => {
                worker.flights.remove(&task);
                self.forget_run(task, run);
            }
            _ => {
                flight.enter(Stage::Stopping, now);
                self.orders.push(Order::Stop { worker: life.clone(), task, run });
            }
        }
    }

    /// Takes a run out of its task's record, so that the task can be started again.
    pub(crate) fn forget_run(&mut self, task: TaskId, run: u32) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.progress.task_mut(task).is_some_and(|t| t.drop_run(run)) {
            self.dirty.insert(task.job);
            if !job.progress.state.over() {
                self.open.insert(task.job);
            }
        }
    }

    /// Another life answers where a life of a worker did: it is over for good.
    pub(crate) fn succeeded(&mut self, life: &Incarnation, now: u64) {
        self.lose(life, Cause::Succeeded, now);
        if let Some(worker) = self.workers.get_mut(life) {
            worker.listed = false;
        }
    }

    /// A life of a worker is surely over, or all its leases are: its runs are taken off.
    pub(crate) fn lose(&mut self, life: &Incarnation, cause: Cause, now: u64) {
        self.note_silence(life, now);
        let crashed = self.may_have_crashed(life, cause, now);
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let flights = std::mem::take(&mut worker.flights);
        if !flights.is_empty() || worker.listed {
            warn!(
                "event=worker-gone worker={life} reason=\"{cause}\" runs={} silent_ms={}",
                flights.len(),
                now.saturating_sub(worker.heard)
            );
        }
        let heard = worker.heard;
        // It ran until the worker's last word at the least; of one that this owner never met nothing is known.
        let freed = (worker.life != Life::Unmet).then_some(heard);
        worker.life = Life::Gone;
        self.counts.lost += flights.len() as u64;
        let flights: Vec<_> = flights.into_iter().collect();
        if crashed {
            self.count_crash(life, &flights, heard);
        }
        for (task, flight) in flights {
            // How long it was there by the worker's last word tells what was started just before.
            info!(
                "event=run-lost task={task} run={} worker={life} stage={:?} ran_ms={}",
                flight.run,
                flight.stage,
                heard.saturating_sub(flight.begun.unwrap_or(heard))
            );
            // The next incarnation may have to answer for it.
            if self.holds(life, task, flight.run) {
                self.forget_run(task, flight.run);
                if let Some(freed) = freed.filter(|_| flight.begun.is_some()) {
                    self.note_freed(task, freed);
                }
            }
        }
    }

    /// Notes since when a task that lasts is missed.
    fn note_freed(&mut self, task: TaskId, at: u64) {
        let job = self.jobs.get_mut(&task.job);
        if let Some(job) = job.filter(|j| j.step(task.step).lasting) {
            job.freed.insert(task, at);
        }
    }

    /// Whether a task's record says that a run may be going on at an incarnation.
    pub(crate) fn holds(&self, life: &Incarnation, task: TaskId, run: u32) -> bool {
        let record = self.jobs.get(&task.job).and_then(|job| job.progress.task(task));
        record.and_then(|t| t.run(run)).is_some_and(|r| r.worker == *life)
    }
}
