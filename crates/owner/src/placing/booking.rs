//! Keeps room for lasting tasks that ran before until the short ones that hold it have ended.
//!
//! Load pattern: a full cell in which short tasks wait, and each takes the room of one that ends. A task that asks for
//! more than one of them leaves finds no worker then, though its turn comes first. So room is kept for it where it is
//! soon to be had, by the estimates of what runs there, and what comes later in the pass leaves it alone.
//!
//! Each pass keeps room anew, so nothing has to be taken back: a task that was cancelled, went elsewhere or found a
//! worker is not asked for again, and the next owner keeps room in its first pass.

use std::collections::BTreeMap;

use log::info;

use myrtle_base::Room;
use myrtle_job::{Incarnation, JobId, StepSpec, TaskId};

use crate::{Cell, Flight, Job, Stage, Worker};

/// How soon short tasks have to leave a worker for room to be kept there, in milliseconds.
///
/// Users bear a lasting task's absence for 9 s, and before it goes to another cell it waits for some of that.
pub(crate) const SOON: u64 = 6_000;

/// Where room is kept.
#[derive(Debug, Default)]
pub(crate) struct Bookings {
    /// What is kept on workers in this pass.
    kept: BTreeMap<Incarnation, Room>,
    /// The tasks that it is kept for.
    places: BTreeMap<TaskId, Incarnation>,
    /// The places of the last pass; a task stays with its own, else what has gathered there would be lost.
    before: BTreeMap<TaskId, Incarnation>,
}

impl Bookings {
    /// Ends a pass.
    pub(crate) fn end(&mut self) {
        self.kept.clear();
        self.before = std::mem::take(&mut self.places);
    }

    /// Whether room is kept for a task.
    pub(crate) fn has(&self, task: TaskId) -> bool {
        self.places.contains_key(&task)
    }

    /// Whether a task of a step would leave what is kept on a worker.
    pub(crate) fn leaves(&self, life: &Incarnation, worker: &Worker, spec: &StepSpec) -> bool {
        let kept = self.kept.get(life);
        kept.is_none_or(|kept| spec.claim().fits(&worker.free().less(kept)))
    }

    fn keep(&mut self, task: TaskId, life: &Incarnation, claim: Room) {
        *self.kept.entry(life.clone()).or_default() += claim;
        self.places.insert(task, life.clone());
    }
}

impl Cell {
    /// Keeps room for the tasks of a job that ran before and have found no worker.
    pub(crate) fn book(&mut self, id: JobId, now: u64) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.stuck.is_some()) else {
            return;
        };
        for (round, step) in job.returning() {
            self.book_step(id, round, step, now);
        }
    }

    /// Keeps room for the tasks of a step, those that are missed longest first; for a gang all or none.
    fn book_step(&mut self, id: JobId, round: u32, step: u16, now: u64) {
        let job = &self.jobs[&id];
        let spec = job.step(step).clone();
        let mut waiting = self.waiting(id, round, step, now);
        let waits = |task| job.progress.task(task).is_some_and(|t| job.waits(task, t));
        // One that wants a copy runs.
        waiting.retain(|task| waits(*task) && job.resumes(*task));
        let mut found: Vec<(TaskId, Incarnation)> = Vec::new();
        for task in waiting {
            let Some(life) = self.place_soon(task, &spec, &found, now) else {
                // The others of the step want the same.
                break;
            };
            found.push((task, life));
        }
        if spec.gang && found.len() < usize::from(spec.count) {
            return;
        }
        for (task, life) in found {
            if self.pass.bookings.before.get(&task) != Some(&life) {
                info!("event=room-kept task={task} worker={life}");
            }
            self.pass.bookings.keep(task, &life, spec.claim());
        }
    }

    /// The worker that has room for a task soonest, beside what is kept there and what was `found` for others of its
    /// step; the one of the last pass as long as it will do.
    fn place_soon(
        &self,
        task: TaskId,
        spec: &StepSpec,
        found: &[(TaskId, Incarnation)],
        now: u64,
    ) -> Option<Incarnation> {
        let job = &self.jobs[&task.job];
        self.pass.look(self.workers.len());
        let (suspect, waited) = (self.doubts(task), job.waited(now));
        let shunned = job.shunned.get(&task).map_or(&[][..], Vec::as_slice);
        let able = self.workers.iter().filter(|(life, worker)| {
            worker.open(now)
                && self.suits(worker, job, spec, task)
                && !shunned.contains(life)
                && !self.on_trial(worker, task, suspect, waited, now)
                && (job.submission.policy.advice.is_none() || job.ticket(task, life, now).is_some())
        });
        let times = able.filter_map(|(life, worker)| {
            let claims = found.iter().filter(|(_, other)| other == life).map(|_| spec.claim());
            let kept = self.pass.bookings.kept.get(life).copied().unwrap_or_default();
            let want = claims.fold(kept + spec.claim(), |sum, claim| sum + claim);
            Some((worker.room_in(&want, now)?, life))
        });
        let before = self.pass.bookings.before.get(&task);
        let best = times.min_by_key(|(left, life)| (before != Some(*life), *left));
        best.map(|(_, life)| life.clone())
    }
}

impl Job {
    /// The steps with lasting tasks that ran before and may have to be started again.
    fn returning(&self) -> Vec<(u32, u16)> {
        let spec = &self.submission.spec;
        let steps = self.progress.rounds.iter().flat_map(|(&number, round)| {
            let steps = (0u16..).zip(&spec.steps).filter(|(_, step)| step.lasting);
            let ready = steps.filter(|(at, _)| round.ready(spec, usize::from(*at)));
            ready.map(move |(at, _)| (number, at))
        });
        steps.collect()
    }
}

impl Worker {
    /// In how many milliseconds there should be room for `want`; nothing if that takes too long.
    fn room_in(&self, want: &Room, now: u64) -> Option<u64> {
        let mut free = self.free();
        if want.fits(&free) {
            return Some(0);
        }
        let ends = self.flights.values().filter_map(|f| Some((f.left(now)?, f.claim)));
        let mut ends: Vec<(u64, Room)> = ends.filter(|(left, _)| *left <= SOON).collect();
        ends.sort_unstable_by_key(|(left, _)| *left);
        for (left, claim) in ends {
            free += claim;
            if want.fits(&free) {
                return Some(left);
            }
        }
        None
    }

    /// What is left once the short tasks that should end soon have ended.
    pub(crate) fn free_soon(&self, now: u64) -> Room {
        let soon = self.flights.values().filter(|f| f.left(now).is_some_and(|left| left <= SOON));
        soon.fold(self.free(), |free, flight| free + flight.claim)
    }
}

impl Flight {
    /// In how many milliseconds the run should end, by its estimate; nothing if it lasts. One that has taken longer
    /// may well take as long again.
    fn left(&self, now: u64) -> Option<u64> {
        if matches!(self.stage, Stage::Stopping | Stage::Stopped) {
            return Some(0);
        }
        let ran = self.begun.map_or(0, |begun| now.saturating_sub(begun));
        let left = if ran < self.estimate { self.estimate - ran } else { ran };
        (!self.lasting).then_some(left)
    }
}
