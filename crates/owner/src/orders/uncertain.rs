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
pub struct UncertainRuns {
    /// Runs that have been in transit for longer than the bound.
    pub in_transit: usize,
    /// Runs that jobs list as live though no worker has them.
    pub missing: usize,
}

impl Cell {
    /// Counts the runs whose state is not confirmed now.
    pub fn uncertain(&self, now: u64) -> UncertainRuns {
        let active_runs = self.workers.values().flat_map(|w| w.active_runs.values());
        let in_transit = active_runs
            .filter(|f| f.stage != Stage::Running && now > f.since + TRANSIT_LIMIT)
            .count();
        let runs = self.jobs.iter().flat_map(|(&id, job)| job.runs(id));
        let missing = runs.filter(|(task, run)| {
            let active = self.workers.get(&run.worker).and_then(|w| w.active_runs.get(task));
            active.is_none_or(|f| f.run != run.number)
        });
        UncertainRuns { in_transit, missing: missing.count() }
    }
}
