//! Leases of runs: renewed in whole by every hold, and known to be over only when they surely are.

use log::info;

use myrtle_job::Incarnation;

use crate::workers::crash::Cause;
use crate::{Cell, Life, Worker};

/// How much slower than the host's a worker's clock may run, as a share; the platform's figure.
const DRIFT: f64 = 0.02;

/// What is added to a wait that must outlast a lease, in milliseconds: timers fire late.
const MARGIN: u64 = 300;

/// What a hold has to say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldArgs {
    /// The fencing token.
    pub fence: u64,
    /// Ends up to this number are in the log.
    pub seen: u64,
    /// The end of the lease on the worker's clock, if that clock is known.
    pub until: Option<u64>,
    /// Whether the log has to be written first: ends were taken in that it does not hold yet, or it bars leases.
    pub behind: bool,
}

impl Cell {
    /// What the next hold of a incarnation has to say; nothing if it needs no hold any more.
    pub fn hold_args(&mut self, incarnation: &Incarnation, now: u64) -> Option<HoldArgs> {
        let until = self.until(incarnation, now);
        let worker = self.workers.get(incarnation)?;
        if worker.life == Life::Gone && !worker.listed {
            return None;
        }
        let barred = worker.life == Life::Well && worker.wait.bars();
        let behind = worker.taken > worker.noted || barred;
        Some(HoldArgs { fence: self.fence, seen: worker.noted, until, behind })
    }

    /// The end of a lease that begins now, on the worker's clock; remembered as given out.
    ///
    /// A worker that does not answer gets none: each one would put off the moment from which on
    /// its runs are surely over. Nor does one of which the log says that none has been given out.
    pub fn until(&mut self, incarnation: &Incarnation, now: u64) -> Option<u64> {
        let hold = self.bounds.hold;
        let worker = self.workers.get_mut(incarnation)?;
        if worker.life != Life::Well || worker.wait.bars() {
            return None;
        }
        let (clock, at) = worker.clock?;
        let until = clock + now.saturating_sub(at) + hold;
        worker.until = worker.until.max(until);
        Some(until)
    }

    /// Notes a worker's clock from an answer that came at `now`.
    pub(crate) fn tick_of(&mut self, incarnation: &Incarnation, clock: u64, now: u64) {
        let hold = self.bounds.hold;
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        if worker.clock.is_none() {
            // An earlier owner's lease may run as long; it can give no more after our token.
            worker.until = worker.until.max(clock + hold);
        }
        if worker.clock.is_none_or(|(c, _)| clock >= c) {
            worker.clock = Some((clock, now));
        }
        worker.heard = now;
    }

    /// Gives up what ran on workers whose leases are surely over.
    pub fn lapse(&mut self, now: u64) {
        let over: Vec<Incarnation> = self
            .workers
            .iter()
            .filter(|(_, w)| matches!(w.life, Life::Unmet | Life::Silent))
            .filter(|(id, _)| self.lapsed(id, now))
            .map(|(id, _)| id.clone())
            .collect();
        for incarnation in over {
            self.lose(&incarnation, Cause::Lapsed, now);
        }
        self.note_waits(now);
        let before = self.workers.len();
        self.workers.retain(|incarnation, w| {
            let kept = w.listed || w.life != Life::Gone;
            if !kept && w.logged {
                self.untraced.push(incarnation.clone());
            }
            kept
        });
        if self.workers.len() < before {
            info!("event=workers-forgotten count={}", before - self.workers.len());
        }
    }

    fn lapsed(&self, incarnation: &Incarnation, now: u64) -> bool {
        self.workers.get(incarnation).is_none_or(|worker| now >= self.over_at(worker))
    }

    /// When every lease of a worker is surely over, if none is given out from now on.
    pub(crate) fn over_at(&self, worker: &Worker) -> u64 {
        let Some((clock, at)) = worker.clock else {
            return worker.wait.over(self.longest());
        };
        at + MARGIN + slowed(worker.until.saturating_sub(clock))
    }

    /// For how long a lease may last that is given out now, in milliseconds of the host's clock.
    pub(crate) fn longest(&self) -> u64 {
        slowed(self.bounds.hold) + MARGIN
    }
}

/// How long a worker's clock may take for a time.
fn slowed(time: u64) -> u64 {
    (time as f64 / (1.0 - DRIFT)).ceil() as u64
}
