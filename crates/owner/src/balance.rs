//! Hands lasting jobs that have not begun on to cells with more room.
//!
//! A job's home is the cell that its name says, so that a repeat meets the first. Its owner writes in
//! the job's progress that another cell looks after it, and only then puts it into that cell's log:
//! exactly one cell starts its tasks, whichever owner dies in between.
//!
//! By their names alone one cell of three got 877 tasks and another 716: tasks of the fullest waited
//! for ever while the others had room. Handed on, no task waits so, and 0.753 of what is owed is
//! earned in place of 0.723 (490 workers, mean of nine days).

use log::info;

use myrtle_job::{JobId, Load, Moved};

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
#[derive(Debug, Clone, Copy)]
pub(crate) struct Told {
    load: Load,
    at: u64,
}

/// A job to be put into another cell's log.
#[derive(Debug, Clone, PartialEq)]
pub struct Delivery {
    /// The job.
    pub job: JobId,
    /// The cell that looks after it from now on.
    pub to: u32,
    /// What was handed in.
    pub record: Vec<u8>,
}

impl Cell {
    /// How much of the cell lasting tasks have taken.
    pub fn load(&self) -> Load {
        let here = self.jobs.values().filter(|j| j.progress.moved.is_none());
        let lasting = here.filter(|j| !j.progress.state.over() && j.submission.spec.lasts());
        let there = |w: &&Worker| w.listed && matches!(w.life, Life::Well | Life::Unmet);
        let workers = self.workers.values().filter(there);
        Load { claimed: lasting.map(claim).sum(), size: workers.map(Worker::size).sum() }
    }

    /// Notes what another cell told of itself.
    pub fn hear(&mut self, cell: u32, load: Load, now: u64) {
        self.others.insert(cell, Told { load, at: now });
    }

    /// Notes that this cell is the home of a job.
    pub fn settle(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.home = true;
        }
    }

    /// Whether a job need not be placed here now: it goes on to a cell that has clearly more room,
    /// or it is not known yet whether there is one.
    pub(crate) fn goes_on(&mut self, id: JobId, now: u64) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|j| !self.alone && j.home && fresh(j)) else {
            return false;
        };
        let claim = claim(job);
        let Some((share, to)) = self.emptiest(claim, now) else {
            return now < self.began + UNTOLD;
        };
        let load = self.load();
        if load.size <= 0.0 || load.share(0.0) < share + EMPTIER {
            return false;
        }
        self.hand_on(id, to, claim);
        true
    }

    /// The cell with the most room once it has a job as well, and the share that is taken then.
    fn emptiest(&self, claim: f64, now: u64) -> Option<(f64, u32)> {
        let told = self.others.iter();
        let told = told.filter(|(_, t)| now < t.at + BELIEVED && t.load.size > 0.0);
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

    /// Jobs to be put into other cells' logs, once each unless it fails.
    pub fn deliveries(&mut self) -> Vec<Delivery> {
        let due = std::mem::take(&mut self.due);
        let jobs = due.into_iter().filter_map(|id| Some((id, self.jobs.get(&id)?)));
        let deliveries = jobs.filter_map(|(id, job)| {
            let to = job.progress.moved.filter(|m| !m.delivered)?.to;
            Some(Delivery { job: id, to, record: myrtle_job::encode(&job.submission) })
        });
        deliveries.collect()
    }

    /// A job is in the other cell's log.
    pub fn delivered(&mut self, id: JobId) {
        let moved = self.jobs.get_mut(&id).and_then(|j| j.progress.moved.as_mut());
        if let Some(moved) = moved.filter(|m| !m.delivered) {
            moved.delivered = true;
            self.dirty.insert(id);
        }
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
            self.jobs.remove(&id);
            self.dirty.insert(id);
        }
    }
}

/// What a job's lasting tasks ask for, in thousandths of a core.
fn claim(job: &Job) -> f64 {
    let lasting = job.submission.spec.steps.iter().filter(|s| s.lasting);
    lasting.map(|s| f64::from(s.count) * f64::from(s.claim().cpu)).sum()
}

/// Whether nothing of a lasting job was ever started.
fn fresh(job: &Job) -> bool {
    job.submission.spec.lasts()
        && job.progress.moved.is_none()
        && !job.progress.state.over()
        && job.progress.tasks().all(|(.., task)| task.last == 0)
}
