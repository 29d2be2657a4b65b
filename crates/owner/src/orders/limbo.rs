//! Counts runs whose state the owner can't confirm: a run should be in transit to or from a worker
//! only briefly.

use derive_more::Display;

use crate::{Cell, Stage};

/// How long a run may be in transit to a worker, or from it, in milliseconds; many times the usual
/// time.
const TRANSIT_LIMIT: u64 = 3_000;

/// Numbers of runs whose state is not confirmed.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Display)]
#[display("unheard={in_transit} adrift={missing}")]
pub struct Limbo {
    /// Runs that have been in transit for longer than the bound.
    pub in_transit: usize,
    /// Runs that jobs list as live though no worker has them.
    pub missing: usize,
}

impl Cell {
    /// Counts the runs whose state is not confirmed now.
    pub fn limbo(&self, now: u64) -> Limbo {
        let flights = self.workers.values().flat_map(|w| w.flights.values());
        let in_transit =
            flights.filter(|f| f.stage != Stage::Up && now > f.since + TRANSIT_LIMIT).count();
        let runs = self.jobs.iter().flat_map(|(&id, job)| job.runs(id));
        let missing = runs.filter(|(task, run)| {
            let active = self.workers.get(&run.worker).and_then(|w| w.flights.get(task));
            active.is_none_or(|f| f.run != run.number)
        });
        Limbo { in_transit, missing: missing.count() }
    }
}
