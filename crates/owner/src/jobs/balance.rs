//! Transfers long-running jobs that have not begun to cells with more room.
//!
//! The home cell of a job follows from its name, so that a repeat reaches the owner of the first.
//! That owner writes the transfer in the job's progress, and only then puts the job into the other
//! cell's log: exactly one cell starts its tasks, whichever owner fails in between.
//!
//! Load pattern: names fill cells unevenly, and long-running tasks of the fullest cell wait without
//! end while others have room.

use std::cmp::Reverse;

use log::info;

use myrtle_base::Room;
use myrtle_job::{CellReport, FreeRoom, JobId, JobTransfer, Load, TaskId};

use crate::jobs::spread::Queues;
use crate::jobs::transfer::waiting;
use crate::{Cell, Job, Presence, Worker};

/// The least difference in load, as a share of a cell's processors, for which a job is transferred:
/// half of what a job of 14 tasks takes of a cell of 160 workers.
const MIN_DIFFERENCE: f64 = 0.01;

/// How long a new owner waits for the loads of other cells before it keeps such a job, in
/// milliseconds: when all owners begin together, most jobs arrive before any load has.
const REPORT_WAIT: u64 = 1_000;

/// The most waiting tasks of a job whose claims are subtracted from the free room, far above the width of usual jobs.
const MAX_CLAIMS: usize = 1_024;

/// How long the reported load of another cell is used, in milliseconds: it is requested three times
/// a second, and transfers from this cell are added at once.
const REPORT_TTL: u64 = 3_000;

/// The last reported load of another cell.
#[derive(Debug, Clone)]
pub(crate) struct CellLoad {
    pub(crate) load: Load,
    /// The queues of short tasks and of fillers, if the owner reports them.
    pub(crate) queues: Option<Queues>,
    at: u64,
}

impl CellLoad {
    /// Whether the report is recent enough to act on.
    pub(crate) fn is_recent(&self, now: u64) -> bool {
        now < self.at + REPORT_TTL && self.load.capacity > 0.0
    }

    /// Whether the report came at `at` or later.
    pub(crate) fn reported_since(&self, at: u64) -> bool {
        self.at >= at
    }
}

impl Cell {
    /// The load of long-running tasks on the cell, and its free room.
    pub fn load(&self, now: u64) -> Load {
        let free = self.free_on(Worker::free, |_, _| true, now);
        let restart_free = self.free_on(Worker::free, Job::resumes, now);
        let soon_free = self.free_on(|worker| worker.free_soon(now), Job::resumes, now);
        Load { free, restart_free, soon_free, ..self.offered_load(now) }
    }

    /// The load of long-running tasks relative to the room that the cell gives them: what it leaves
    /// to short tasks is not offered to other cells.
    fn offered_load(&self, now: u64) -> Load {
        let total = self.total_load();
        let left =
            self.short_share.whole_workers(u32::MAX, total.capacity, self.workers.len(), now);
        Load { capacity: total.capacity - left, ..total }
    }

    /// The load relative to the whole cell, without the free room of single workers.
    pub(crate) fn total_load(&self) -> Load {
        let here = self.jobs.iter().filter(|(_, j)| !j.progress.all_transferred());
        let long_running =
            here.filter(|(_, j)| !j.progress.state.over() && j.submission.spec.has_long_running());
        let stays = |w: &&Worker| {
            w.listed
                && !w.draining()
                && matches!(w.presence, Presence::Answering | Presence::Unreached)
        };
        let size = self.workers.values().filter(stays).map(Worker::offered).sum();
        let claimed = long_running.map(|(id, job)| demand(id, job)).sum();
        Load { claimed, capacity: size, ..Load::default() }
    }

    /// The largest free rooms on workers, as `room` gives them, less the claims of the tasks waiting
    /// here that come `first`: otherwise each report would offer that room again.
    fn free_on(
        &self,
        room: impl Fn(&Worker) -> Room,
        first: impl Fn(&Job, TaskId) -> bool,
        now: u64,
    ) -> Vec<FreeRoom> {
        let open = self.workers.values().filter(|w| w.accepts_work(now));
        let free = open.filter_map(|w| {
            Some(FreeRoom { service: w.listing.as_ref()?.service.clone(), room: room(w) })
        });
        let mut free: Vec<_> = free.filter(|free| free.room.cpu > 0).collect();
        free.sort_unstable_by_key(|free| free.room.cpu);
        for (id, job) in self.open.iter().filter_map(|&id| Some((id, self.jobs.get(&id)?))) {
            let service = &job.submission.policy.service;
            let tasks = waiting(id, job, now).filter(|task| first(job, *task)).take(MAX_CLAIMS);
            for claim in tasks.map(|task| job.step(task.step).claim()) {
                let fits =
                    |free: &&mut FreeRoom| free.service == *service && claim.fits(&free.room);
                if let Some(free) = free.iter_mut().find(fits) {
                    free.room = free.room.minus(&claim);
                }
            }
        }
        free.retain(|free| free.room.cpu > 0);
        largest(free)
    }

    /// Records the load that another cell reported.
    pub fn record_load(&mut self, cell: u32, load: Load, now: u64) {
        self.cell_loads.insert(cell, CellLoad { load, queues: None, at: now });
    }

    /// Records what another cell reported.
    pub fn record_report(&mut self, cell: u32, report: CellReport, now: u64) {
        let CellReport { load, short, fillers } = report;
        let queues = Some(Queues { short, fillers });
        self.cell_loads.insert(cell, CellLoad { load, queues, at: now });
    }

    /// What this cell reports to others.
    pub fn report(&self, now: u64) -> CellReport {
        let Queues { short, fillers } = self.queues.report(now);
        CellReport { load: self.load(now), short, fillers }
    }

    /// Records the home cell of a job.
    pub fn set_home(&mut self, id: JobId, home: u32) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.home = Some(home);
        }
    }

    /// Whether a job need not be placed here now: it is transferred to a cell with clearly more
    /// room, or the loads of other cells are not known yet.
    pub(crate) fn defer_job(&mut self, id: JobId, now: u64) -> bool {
        if self.spread_job(id, now) {
            return true;
        }
        let here = |j: &&Job| !self.only_cell && j.home == Some(self.number);
        let may_move = |j: &&Job| j.submission.spec.has_long_running() && j.untouched();
        let Some(job) = self.jobs.get(&id).filter(here).filter(may_move) else {
            return false;
        };
        let demand = demand(&id, job);
        let Some((share, to)) = self.least_loaded(demand, now) else {
            return now < self.began_at + REPORT_WAIT;
        };
        let load = self.offered_load(now);
        if load.capacity <= 0.0 || load.share(0.0) < share + MIN_DIFFERENCE {
            return false;
        }
        self.transfer(id, to, demand);
        true
    }

    /// The cell with the lowest load once the job is added, and that load.
    fn least_loaded(&self, demand: f64, now: u64) -> Option<(f64, u32)> {
        let reports = self.cell_loads.iter();
        let reports = reports.filter(|(_, t)| t.is_recent(now));
        let shares = reports.map(|(&cell, report)| (report.load.share(demand), cell));
        shares.min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Transfers a job to another cell.
    pub(crate) fn transfer(&mut self, id: JobId, to: u32, demand: f64) {
        info!("event=job-handed-on job={id} to={to}");
        if let Some(report) = self.cell_loads.get_mut(&to) {
            report.load.claimed += demand;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.progress.job_transfer = Some(JobTransfer { to, delivered: false });
        }
        self.open.remove(&id);
        self.dirty.insert(id);
    }

    /// The cell to which a job was transferred.
    pub fn transferred_to(&self, id: JobId) -> Option<u32> {
        self.jobs.get(&id)?.progress.job_transfer.map(|moved| moved.to)
    }

    /// Transferred jobs that may be over and removed in the cells that have them, with these cells.
    pub fn maybe_removed(&self, wall: u64) -> Vec<(JobId, u32)> {
        let old = |j: &Job| wall > j.submission.accepted_at + 2 * self.limits.status_ttl;
        let moved = self.jobs.iter().filter_map(|(&id, j)| Some((id, j, j.progress.job_transfer?)));
        let old = moved.filter(|(_, j, moved)| moved.delivered && old(j));
        old.map(|(id, _, moved)| (id, moved.to)).collect()
    }

    /// Removes a transferred job that the other cell no longer has: it is over.
    pub fn remove_transferred(&mut self, id: JobId) {
        if self.transferred_to(id).is_some() {
            self.order_removal(id);
        }
    }
}

impl Worker {
    /// The processors of a worker that long-running tasks may take: where nothing new may start,
    /// those that they have.
    fn offered(&self) -> f64 {
        if self.evacuated { f64::from(self.used().cpu) } else { self.size() }
    }
}

/// The free rooms with the most processors, and those with the most accelerators, of each service.
fn largest(mut free: Vec<FreeRoom>) -> Vec<FreeRoom> {
    let mut chosen: Vec<FreeRoom> = Vec::new();
    free.sort_unstable_by_key(|free| Reverse((free.room.accel, free.room.cpu)));
    let (has_accel, mut plain): (Vec<_>, Vec<_>) = free.into_iter().partition(|f| f.room.accel > 0);
    plain.sort_unstable_by_key(|free| Reverse(free.room.cpu));
    for free in has_accel.into_iter().chain(plain) {
        let has_accel = free.room.accel > 0;
        let similar =
            chosen.iter().filter(|t| t.service == free.service && (t.room.accel > 0) == has_accel);
        if similar.count() < Load::MAX_WORKERS {
            chosen.push(free);
        }
    }
    chosen
}

/// The processors that the long-running tasks of a job in this cell ask for, in thousandths of a
/// core.
fn demand(&id: &JobId, job: &Job) -> f64 {
    let long_running = job.submission.spec.steps.iter().zip(0u16..).filter(|(s, _)| s.long_running);
    let claims = long_running.map(|(spec, step)| {
        if job.progress.uniform() {
            // Nothing was transferred but perhaps the whole job.
            let first = TaskId { job: id, round: 0, step, index: 0 };
            let here = !job.progress.is_transferred(first);
            return f64::from(if here { spec.count } else { 0 }) * f64::from(spec.claim().cpu);
        }
        let tasks = (0..spec.count).map(|index| TaskId { job: id, round: 0, step, index });
        tasks.filter(|&t| !job.progress.is_transferred(t)).count() as f64
            * f64::from(spec.claim().cpu)
    });
    claims.sum()
}
