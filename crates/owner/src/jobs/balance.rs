//! Hands lasting jobs that have not begun on to cells with more room.
//!
//! A job's home is the cell that its name says, so that a repeat meets the first. Its owner writes in
//! the job's progress that another cell looks after it, and only then puts it into that cell's log:
//! exactly one cell starts its tasks, whichever owner dies in between.
//!
//! Load pattern: names fill cells unevenly, and lasting tasks of the fullest one wait for ever while others have room.

use std::cmp::Reverse;

use log::info;

use myrtle_base::Room;
use myrtle_job::{Free, JobId, Load, Moved, TaskId};

use crate::jobs::part::waiting;
use crate::{Cell, Job, Life, Worker};

/// How much emptier, as a share of its processors, another cell has to be for a job to be handed on:
/// half of what a job of 14 tasks takes of a cell of 160 workers.
const EMPTIER: f64 = 0.01;

/// How long a new owner waits for other cells to tell before it keeps such a job, in milliseconds:
/// when all begin together most jobs come before any has told.
const UNTOLD: u64 = 1_000;

/// How long what another cell told is believed, in milliseconds: it is asked three times a second,
/// and what this owner hands on is counted at once.
const BELIEVED: u64 = 3_000;

/// What another cell has told.
#[derive(Debug, Clone)]
pub(crate) struct Told {
    pub(crate) load: Load,
    at: u64,
}

impl Told {
    /// Whether it is young enough to act on.
    pub(crate) fn believed(&self, now: u64) -> bool {
        now < self.at + BELIEVED && self.load.size > 0.0
    }

    /// Whether it was told at a time or later.
    pub(crate) fn told_since(&self, at: u64) -> bool {
        self.at >= at
    }
}

impl Cell {
    /// How much of the cell lasting tasks have taken.
    pub fn load(&self, now: u64) -> Load {
        let (free, again) = (self.free(|_, _| true, now), self.free(Job::resumes, now));
        let soon = self.free_on(|worker| worker.free_soon(now), Job::resumes, now);
        Load { free, again, soon, ..self.offered(now) }
    }

    /// How much lasting tasks have taken of what the cell gives them: what it leaves to short ones is
    /// not offered to other cells.
    fn offered(&self, now: u64) -> Load {
        let taken = self.taken();
        let left = self.reserve.whole(u32::MAX, taken.size, self.workers.len(), now);
        Load { size: taken.size - left, ..taken }
    }

    /// The same without what is free on single workers.
    pub(crate) fn taken(&self) -> Load {
        let here = self.jobs.iter().filter(|(_, j)| !j.progress.elsewhere());
        let lasting = here.filter(|(_, j)| !j.progress.state.over() && j.submission.spec.lasts());
        let stays =
            |w: &&Worker| w.listed && !w.draining() && matches!(w.life, Life::Well | Life::Unmet);
        let size = self.workers.values().filter(stays).map(Worker::offered).sum();
        let claimed = lasting.map(|(id, job)| claim(id, job)).sum();
        Load { claimed, size, ..Load::default() }
    }

    /// What is free on the workers that have most, once those of the tasks that wait here which come
    /// `first` have theirs: else it would be given away with every answer.
    fn free(&self, first: impl Fn(&Job, TaskId) -> bool, now: u64) -> Vec<Free> {
        self.free_on(Worker::free, first, now)
    }

    /// The same of what `room` says that is free on a worker.
    fn free_on(
        &self,
        room: impl Fn(&Worker) -> Room,
        first: impl Fn(&Job, TaskId) -> bool,
        now: u64,
    ) -> Vec<Free> {
        let open = self.workers.values().filter(|w| w.open(now));
        let free = open.filter_map(|w| {
            Some(Free { service: w.listing.as_ref()?.service.clone(), room: room(w) })
        });
        let mut free: Vec<_> = free.filter(|free| free.room.cpu > 0).collect();
        free.sort_unstable_by_key(|free| free.room.cpu);
        for (id, job) in self.open.iter().filter_map(|&id| Some((id, self.jobs.get(&id)?))) {
            let service = &job.submission.policy.service;
            let tasks = waiting(id, job, now).filter(|task| first(job, *task));
            for claim in tasks.map(|task| job.step(task.step).claim()) {
                let fits = |free: &&mut Free| free.service == *service && claim.fits(&free.room);
                if let Some(free) = free.iter_mut().find(fits) {
                    free.room = free.room.less(&claim);
                }
            }
        }
        free.retain(|free| free.room.cpu > 0);
        widest(free)
    }

    /// Notes what another cell told of itself.
    pub fn hear(&mut self, cell: u32, load: Load, now: u64) {
        self.others.insert(cell, Told { load, at: now });
    }

    /// Notes which cell is the home of a job.
    pub fn settle(&mut self, id: JobId, home: u32) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.home = Some(home);
        }
    }

    /// Whether a job need not be placed here now: it goes on to a cell that has clearly more room,
    /// or it is not known yet whether there is one.
    pub(crate) fn goes_on(&mut self, id: JobId, now: u64) -> bool {
        let here = |j: &&Job| !self.alone && j.home == Some(self.number);
        let Some(job) = self.jobs.get(&id).filter(here).filter(|j| fresh(j)) else {
            return false;
        };
        let claim = claim(&id, job);
        let Some((share, to)) = self.emptiest(claim, now) else {
            return now < self.began + UNTOLD;
        };
        let load = self.offered(now);
        if load.size <= 0.0 || load.share(0.0) < share + EMPTIER {
            return false;
        }
        self.hand_on(id, to, claim);
        true
    }

    /// The cell with the most room once it has a job as well, and the share that is taken then.
    fn emptiest(&self, claim: f64, now: u64) -> Option<(f64, u32)> {
        let told = self.others.iter();
        let told = told.filter(|(_, t)| t.believed(now));
        let shares = told.map(|(&cell, told)| (told.load.share(claim), cell));
        shares.min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Hands a job on to another cell.
    fn hand_on(&mut self, id: JobId, to: u32, claim: f64) {
        info!("event=job-handed-on job={id} to={to}");
        if let Some(told) = self.others.get_mut(&to) {
            told.load.claimed += claim;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.progress.moved = Some(Moved { to, delivered: false });
        }
        self.open.remove(&id);
        self.dirty.insert(id);
    }

    /// The cell that looks after a job in place of this one.
    pub fn moved(&self, id: JobId) -> Option<u32> {
        self.jobs.get(&id)?.progress.moved.map(|moved| moved.to)
    }

    /// Jobs that other cells look after and that may be over and forgotten there, with these cells.
    pub fn perhaps_forgotten(&self, wall: u64) -> Vec<(JobId, u32)> {
        let old = |j: &Job| wall > j.submission.taken + 2 * self.bounds.status;
        let moved = self.jobs.iter().filter_map(|(&id, j)| Some((id, j, j.progress.moved?)));
        let old = moved.filter(|(_, j, moved)| moved.delivered && old(j));
        old.map(|(id, _, moved)| (id, moved.to)).collect()
    }

    /// The other cell no longer knows a job: it is over.
    pub fn forget_moved(&mut self, id: JobId) {
        if self.moved(id).is_some() {
            self.discard(id);
        }
    }
}

impl Worker {
    /// The processors that lasting tasks may take of it: where nothing new may start, those that they have.
    fn offered(&self) -> f64 {
        if self.emptied { f64::from(self.used().cpu) } else { self.size() }
    }
}

/// The workers with the most processors left, and those with the most accelerators, of each service.
fn widest(mut free: Vec<Free>) -> Vec<Free> {
    let mut told: Vec<Free> = Vec::new();
    free.sort_unstable_by_key(|free| Reverse((free.room.accel, free.room.cpu)));
    let (with, mut without): (Vec<_>, Vec<_>) = free.into_iter().partition(|f| f.room.accel > 0);
    without.sort_unstable_by_key(|free| Reverse(free.room.cpu));
    for free in with.into_iter().chain(without) {
        let accelerated = free.room.accel > 0;
        let alike =
            told.iter().filter(|t| t.service == free.service && (t.room.accel > 0) == accelerated);
        if alike.count() < Load::WORKERS {
            told.push(free);
        }
    }
    told
}

/// What the lasting tasks of a job that the cell looks after ask for, in thousandths of a core.
fn claim(&id: &JobId, job: &Job) -> f64 {
    let lasting = job.submission.spec.steps.iter().zip(0u16..).filter(|(s, _)| s.lasting);
    let claims = lasting.map(|(spec, step)| {
        let tasks = (0..spec.count).map(|index| TaskId { job: id, round: 0, step, index });
        tasks.filter(|&t| !job.progress.away(t)).count() as f64 * f64::from(spec.claim().cpu)
    });
    claims.sum()
}

/// Whether nothing of a lasting job was ever started.
fn fresh(job: &Job) -> bool {
    job.submission.spec.lasts()
        && job.progress.moved.is_none()
        && job.progress.handed.is_empty()
        && job.progress.taken.is_empty()
        && !job.progress.state.over()
        && job.progress.tasks().all(|(.., task)| task.last == 0)
}
