//! Leases of runs: every lease renewal extends all leases of a worker, and they count as expired
//! only when that is certain.

use log::info;

use myrtle_job::Incarnation;

use crate::workers::crash::Cause;
use crate::{Cell, Presence, Worker};

/// How much slower than the host's a worker's clock may run, as a share; set by the platform.
const CLOCK_DRIFT: f64 = 0.02;

/// The margin added to a wait that must outlast a lease, in milliseconds, since timers fire late.
const MARGIN: u64 = 300;

/// The contents of a lease renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RenewalArgs {
    /// The fencing token.
    pub fence: u64,
    /// The number up to which ends are in the log.
    pub logged_ends: u64,
    /// The end of the lease on the worker's clock, if that clock is known.
    pub until: Option<u64>,
    /// Whether the log has to be written first: it lacks ends that were received, or its record
    /// forbids leases.
    pub log_first: bool,
}

impl Cell {
    /// The contents of the next lease renewal of an incarnation; none if it needs no more.
    pub fn renewal_args(&mut self, incarnation: &Incarnation, now: u64) -> Option<RenewalArgs> {
        let until = self.until(incarnation, now);
        let worker = self.workers.get(incarnation)?;
        if worker.presence == Presence::Gone && !worker.listed {
            return None;
        }
        let withheld = worker.presence == Presence::Answering && worker.wait.forbids_leases();
        let log_first = worker.received_ends > worker.logged_ends || withheld;
        Some(RenewalArgs { fence: self.fence, logged_ends: worker.logged_ends, until, log_first })
    }

    /// The end of a lease that begins now, on the worker's clock; recorded as given out.
    ///
    /// A worker that does not answer gets no lease: each one would delay the moment from which its
    /// runs are certain to have ended. Nor does a worker whose record in the log says that none has
    /// been given out.
    pub fn until(&mut self, incarnation: &Incarnation, now: u64) -> Option<u64> {
        let lease = self.limits.max_lease;
        let worker = self.workers.get_mut(incarnation)?;
        if worker.presence != Presence::Answering || worker.wait.forbids_leases() {
            return None;
        }
        let (clock, at) = worker.clock?;
        let until = clock + now.saturating_sub(at) + lease;
        worker.until = worker.until.max(until);
        Some(until)
    }

    /// Updates a worker's clock from a reply received at `now`.
    pub(crate) fn update_clock(&mut self, incarnation: &Incarnation, clock: u64, now: u64) {
        let lease = self.limits.max_lease;
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        if worker.clock.is_none() {
            // An earlier owner's lease may last as long; it can give out no more after our token.
            worker.until = worker.until.max(clock + lease);
        }
        if worker.clock.is_none_or(|(c, _)| clock >= c) {
            worker.clock = Some((clock, now));
        }
        worker.answered_at = now;
    }

    /// Gives up the runs on workers whose leases have certainly expired.
    pub fn expire(&mut self, now: u64) {
        let expired: Vec<Incarnation> = self
            .workers
            .iter()
            .filter(|(_, w)| matches!(w.presence, Presence::Unreached | Presence::Silent))
            .filter(|(id, _)| self.expired(id, now))
            .map(|(id, _)| id.clone())
            .collect();
        for incarnation in expired {
            self.remove_runs(&incarnation, Cause::Lapsed, now);
        }
        self.update_waits(now);
        let before = self.workers.len();
        self.workers.retain(|incarnation, w| {
            let kept = w.listed || w.presence != Presence::Gone;
            if !kept && w.logged {
                self.obsolete_records.push(incarnation.clone());
            }
            kept
        });
        if self.workers.len() < before {
            info!("event=workers-forgotten count={}", before - self.workers.len());
        }
    }

    fn expired(&self, incarnation: &Incarnation, now: u64) -> bool {
        self.workers.get(incarnation).is_none_or(|worker| now >= self.leases_end(worker))
    }

    /// When all leases of a worker have certainly expired, if none is given out from now on.
    pub(crate) fn leases_end(&self, worker: &Worker) -> u64 {
        let Some((clock, at)) = worker.clock else {
            return worker.wait.expires_at(self.max_lease());
        };
        at + MARGIN + on_slow_clock(worker.until.saturating_sub(clock))
    }

    /// How long a lease that is given out now may last, in milliseconds of the host's clock.
    pub(crate) fn max_lease(&self) -> u64 {
        on_slow_clock(self.limits.max_lease) + MARGIN
    }
}

/// How long the slowest allowed clock of a worker takes for a time.
fn on_slow_clock(time: u64) -> u64 {
    (time as f64 / (1.0 - CLOCK_DRIFT)).ceil() as u64
}
