//! Transfers short jobs of which nothing has started to cells that start them sooner.
//!
//! Load pattern: a data centre of a cell is evacuated, or its workers are lost, and a thousand tasks
//! wait there while other cells have room. The home cell of a job follows from its name, so demand
//! that shifts between cells doesn't follow room by itself.
//!
//! The transfer is that of long-running jobs: the home's owner writes it in the job's progress and
//! only then puts the job into the other cell's log, so exactly one cell starts it. A job goes once,
//! from its home.

use myrtle_job::{JobId, StepSpec, TaskQueue};

use crate::decay::DecayingSum;
use crate::{Cell, Job};

/// The time between two reviews of the queues, in milliseconds.
const REVIEW_EVERY: u64 = 100;

/// The time constant over which started work is averaged, in milliseconds.
const RATE_TIME: f64 = 2_000.0;

/// The time that a transfer takes until the other cell plans the job, in milliseconds.
const TRANSFER_TIME: f64 = 150.0;

/// The share of the wait at home that the wait elsewhere may be at most: reports are up to a second
/// old, and what many cells send to one adds up.
const MAX_WAIT_SHARE: f64 = 0.5;

/// The part of its objective that a job may have to wait at home without going elsewhere. It goes as
/// it arrives: once a few of its tasks have started, it stays.
const WAIT_DIVISOR: f64 = 6.0;

/// The largest number of jobs that go between two reviews of the queues, which bounds the messages.
const MAX_JOBS: u32 = 4;

/// The queues of short tasks and of fillers.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(crate) struct Queues {
    pub(crate) short: TaskQueue,
    pub(crate) fillers: TaskQueue,
}

/// The queues of this cell.
#[derive(Debug, Default, Clone)]
pub(crate) struct OwnQueues {
    short: OwnQueue,
    fillers: OwnQueue,
    /// How many jobs were transferred since the last review.
    transferred: u32,
    reviewed_at: u64,
}

/// A queue of this cell.
#[derive(Debug, Default, Clone, Copy)]
struct OwnQueue {
    waiting: f64,
    /// The processors that such tasks could use now, in thousandths of a core.
    free: f64,
    /// The work that was started.
    started: DecayingSum,
}

impl OwnQueue {
    fn report(&self, now: u64) -> TaskQueue {
        let rate = self.started.value(RATE_TIME, now) / RATE_TIME;
        TaskQueue { waiting: self.waiting, rate: rate.max(self.free) }
    }
}

impl OwnQueues {
    /// The queues as they are reported.
    pub(crate) fn report(&self, now: u64) -> Queues {
        Queues { short: self.short.report(now), fillers: self.fillers.report(now) }
    }

    /// Counts the work of a task that was assigned to a worker.
    pub(crate) fn count_start(&mut self, filler: bool, work: f64, now: u64) {
        let queue = if filler { &mut self.fillers } else { &mut self.short };
        queue.started.add(work, RATE_TIME, now);
        queue.waiting = (queue.waiting - work).max(0.0);
    }
}

impl Queues {
    fn of(&self, filler: bool) -> TaskQueue {
        if filler { self.fillers } else { self.short }
    }
}

impl Cell {
    /// Reviews what waits here and what room there is for it, if that is due.
    pub(crate) fn review_queues(&mut self, now: u64) {
        if now < self.queues.reviewed_at + REVIEW_EVERY {
            return;
        }
        self.queues.reviewed_at = now;
        let (mut short, mut fillers) = (0.0, 0.0);
        for (id, job) in self.open.iter().filter_map(|id| Some((*id, self.jobs.get(id)?))) {
            if job.submission.spec.has_long_running() || !job.may_earn(now) {
                continue;
            }
            let (s, f) = job.waiting_work(id);
            (short, fillers) = (short + s, fillers + f);
        }
        let open = self.workers.values().filter(|w| w.accepts_work(now));
        let (free, spare) = open.fold((0.0, 0.0), |(free, spare), w| {
            let idle = (w.spare() - w.filler_demand()).max(0.0);
            (free + f64::from(w.free().cpu), spare + idle)
        });
        let queues = &mut self.queues;
        // Where tasks wait beside free processors, these are of no use to them.
        (queues.short.waiting, queues.short.free) = (short, if short > 0.0 { 0.0 } else { free });
        (queues.fillers.waiting, queues.fillers.free) =
            (fillers, if fillers > 0.0 { 0.0 } else { spare });
        queues.transferred = 0;
    }

    /// Transfers a short job that waits here to the cell that starts it soonest, if that is far
    /// sooner; returns whether it did.
    pub(crate) fn spread_job(&mut self, id: JobId, now: u64) -> bool {
        if self.only_cell || self.queues.transferred >= MAX_JOBS {
            return false;
        }
        let here = |j: &&Job| j.home == Some(self.number) && j.may_spread();
        let Some(job) = self.jobs.get(&id).filter(here) else {
            return false;
        };
        let filler = job.submission.spec.steps.iter().any(|s| s.filler);
        let patience = job.objective() as f64 / WAIT_DIVISOR;
        let waits = self.queues.report(now).of(filler).delay(0.0);
        if waits < patience || !job.may_earn(now) {
            return false;
        }
        let work = job.work_left();
        let Some((to, delay)) = self.soonest_cell(filler, work, now) else {
            return false;
        };
        if delay + TRANSFER_TIME > MAX_WAIT_SHARE * waits {
            return false;
        }
        if let Some(queues) = self.cell_loads.get_mut(&to).and_then(|r| r.queues.as_mut()) {
            let queue = if filler { &mut queues.fillers } else { &mut queues.short };
            queue.waiting += work;
        }
        self.queues.transferred += 1;
        self.counts.spread += 1;
        self.transfer(id, to, 0.0);
        true
    }

    /// The cell that starts `work` soonest, by its report, and the time until then in milliseconds.
    fn soonest_cell(&self, filler: bool, work: f64, now: u64) -> Option<(u32, f64)> {
        let reports = self.cell_loads.iter().filter(|(_, report)| report.is_recent(now));
        let delays = reports.filter_map(|(&cell, report)| {
            let queue = report.queues?.of(filler);
            Some((cell, queue.delay(work))).filter(|_| queue.rate > 0.0)
        });
        delays.min_by(|a, b| a.1.total_cmp(&b.1))
    }
}

impl Job {
    /// Whether the job can still be done within the time in which it earns something.
    fn may_earn(&self, now: u64) -> bool {
        self.earns_at(now.saturating_add(self.time_left()), self.objective())
    }

    /// Whether another cell may run the whole job: nothing of it has started or is bound to workers
    /// of this cell.
    fn may_spread(&self) -> bool {
        let spec = &self.submission.spec;
        let bound = |s: &StepSpec| s.long_running || s.requires.is_some();
        spec.repeat.is_none() && !spec.steps.iter().any(bound) && self.untouched()
    }

    /// The work of the tasks that are ready and wait, of short tasks and of fillers; `id` is the
    /// job's own.
    fn waiting_work(&self, id: JobId) -> (f64, f64) {
        let (mut short, mut fillers) = (0.0, 0.0);
        for (spec, count) in self.waiting_steps(id) {
            let sum = if spec.filler { &mut fillers } else { &mut short };
            *sum += count as f64 * spec.work();
        }
        (short, fillers)
    }
}
