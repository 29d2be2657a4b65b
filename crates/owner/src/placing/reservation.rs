//! Reserves room for long-running tasks that ran before until the short tasks that hold it have
//! ended.
//!
//! Load pattern: a full cell in which short tasks wait, and each takes the room of one that ends. A
//! task that needs the room of several of them then finds no worker, though it comes first. So room
//! is reserved for it where estimates say that it will soon be free, and tasks that come later in
//! the pass leave it alone.
//!
//! Each pass makes its own reservations, so no reservation has to be released: a task that was cancelled,
//! transferred or placed isn't considered again, and a successor reserves room in its first pass.

use std::collections::BTreeMap;

use log::info;

use myrtle_base::Room;
use myrtle_job::{Incarnation, JobId, StepSpec, TaskId};

use crate::{ActiveRun, Cell, Job, Stage, Worker};

/// How soon short tasks have to end for room to be reserved on a worker, in milliseconds.
///
/// Users accept a downtime of 9 s for a long-running task, and part of that passes before it goes
/// to another cell.
pub(crate) const HORIZON: u64 = 6_000;

/// Reservations of a pass.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    /// Reserved room by worker.
    reserved: BTreeMap<Incarnation, Room>,
    /// The worker reserved for each task.
    workers: BTreeMap<TaskId, Incarnation>,
    /// The reservations of the last pass; a task stays with its worker, as the room freed there so
    /// far would be lost otherwise.
    previous: BTreeMap<TaskId, Incarnation>,
}

impl Reservations {
    /// Ends a pass: the next one makes its own reservations.
    pub(crate) fn end(&mut self) {
        self.reserved.clear();
        self.previous = std::mem::take(&mut self.workers);
    }

    /// Whether room is reserved for a task.
    pub(crate) fn has(&self, task: TaskId) -> bool {
        self.workers.contains_key(&task)
    }

    /// Whether a task of a step fits beside the room reserved on a worker.
    pub(crate) fn fits_beside(
        &self,
        incarnation: &Incarnation,
        worker: &Worker,
        spec: &StepSpec,
    ) -> bool {
        let reserved = self.reserved.get(incarnation);
        reserved.is_none_or(|reserved| spec.claim().fits(&worker.free().minus(reserved)))
    }

    fn add(&mut self, task: TaskId, incarnation: &Incarnation, claim: Room) {
        *self.reserved.entry(incarnation.clone()).or_default() += claim;
        self.workers.insert(task, incarnation.clone());
    }
}

impl Cell {
    /// Reserves room for the tasks of a job that ran before and found no worker.
    pub(crate) fn reserve_room(&mut self, id: JobId, now: u64) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.waiting_since.is_some()) else {
            return;
        };
        for (round, step) in job.restart_steps() {
            self.reserve_step(id, round, step, now);
        }
    }

    /// Reserves room for the tasks of a step, longest downtime first; for a gang all or none.
    fn reserve_step(&mut self, id: JobId, round: u32, step: u16, now: u64) {
        let job = &self.jobs[&id];
        let spec = job.step(step).clone();
        let mut waiting = self.waiting(id, round, step, now);
        let waits = |task| job.progress.task(task).is_some_and(|t| job.waits(task, t));
        // A task that only wants a copy is running.
        waiting.retain(|task| waits(*task) && job.resumes(*task));
        let mut found: Vec<(TaskId, Incarnation)> = Vec::new();
        for task in waiting {
            let Some(incarnation) = self.soonest_worker(task, &spec, &found, now) else {
                // The other tasks of the step have the same requirements.
                break;
            };
            found.push((task, incarnation));
        }
        if spec.gang && found.len() < usize::from(spec.count) {
            return;
        }
        for (task, incarnation) in found {
            if self.pass.reservations.previous.get(&task) != Some(&incarnation) {
                info!("event=room-kept task={task} worker={incarnation}");
            }
            self.pass.reservations.add(task, &incarnation, spec.claim());
        }
    }

    /// The worker that has room for a task soonest, beside what is reserved there and what was
    /// `found` for others of its step; the one of the last pass is preferred.
    fn soonest_worker(
        &self,
        task: TaskId,
        spec: &StepSpec,
        found: &[(TaskId, Incarnation)],
        now: u64,
    ) -> Option<Incarnation> {
        let job = &self.jobs[&task.job];
        self.pass.visit(self.workers.len());
        let (suspect, waited) = (self.is_suspected(task), job.waited(now));
        let avoided = job.avoided.get(&task).map_or(&[][..], Vec::as_slice);
        let candidates = self.workers.iter().filter(|(incarnation, worker)| {
            worker.accepts_work(now)
                && self.eligible(worker, job, spec, task)
                && !avoided.contains(incarnation)
                && !self.quarantined(worker, task, suspect, waited, now)
                && job.admits(task, incarnation, now)
        });
        let times = candidates.filter_map(|(incarnation, worker)| {
            let claims =
                found.iter().filter(|(_, other)| other == incarnation).map(|_| spec.claim());
            let reserved =
                self.pass.reservations.reserved.get(incarnation).copied().unwrap_or_default();
            let want = claims.fold(reserved + spec.claim(), |sum, claim| sum + claim);
            Some((worker.fits_in(&want, now)?, incarnation))
        });
        let previous = self.pass.reservations.previous.get(&task);
        let best =
            times.min_by_key(|(left_ms, incarnation)| (previous != Some(*incarnation), *left_ms));
        best.map(|(_, incarnation)| incarnation.clone())
    }
}

impl Job {
    /// The steps with long-running tasks that may have to be restarted.
    fn restart_steps(&self) -> Vec<(u32, u16)> {
        let spec = &self.submission.spec;
        let steps = self.progress.rounds.iter().flat_map(|(&number, round)| {
            let steps = (0u16..).zip(&spec.steps).filter(|(_, step)| step.long_running);
            let ready = steps.filter(|(at, _)| round.ready(spec, usize::from(*at)));
            ready.map(move |(at, _)| (number, at))
        });
        steps.collect()
    }
}

impl Worker {
    /// The time in milliseconds until `want` should fit; nothing if it is longer than the horizon.
    fn fits_in(&self, want: &Room, now: u64) -> Option<u64> {
        let mut free = self.free();
        if want.fits(&free) {
            return Some(0);
        }
        let ends = self.active_runs.values().filter_map(|f| Some((f.time_left(now)?, f.claim)));
        let mut ends: Vec<(u64, Room)> = ends.filter(|(left_ms, _)| *left_ms <= HORIZON).collect();
        ends.sort_unstable_by_key(|(left_ms, _)| *left_ms);
        for (left_ms, claim) in ends {
            free += claim;
            if want.fits(&free) {
                return Some(left_ms);
            }
        }
        None
    }

    /// The free room once the short tasks that should end within the horizon have ended.
    pub(crate) fn free_soon(&self, now: u64) -> Room {
        let soon = self
            .active_runs
            .values()
            .filter(|f| f.time_left(now).is_some_and(|left_ms| left_ms <= HORIZON));
        soon.fold(self.free(), |free, active| free + active.claim)
    }
}

impl ActiveRun {
    /// The estimated time in milliseconds until the run ends; nothing if it is long-running. A run
    /// that has exceeded its estimate is expected to take as long again.
    fn time_left(&self, now: u64) -> Option<u64> {
        if matches!(self.stage, Stage::Stopping | Stage::Stopped) {
            return Some(0);
        }
        let ran = self.started_at.map_or(0, |started_at| now.saturating_sub(started_at));
        let left_ms = if ran < self.estimate { self.estimate - ran } else { ran };
        (!self.long_running).then_some(left_ms)
    }
}
