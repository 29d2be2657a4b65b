//! Runs of which nothing is heard: each should be on its way for moments only.

use derive_more::Display;

use crate::{Cell, Stage};

/// How long a run may be on its way to a worker, or off it, in milliseconds; many times what it takes.
const UNHEARD: u64 = 3_000;

/// How many runs are in no known state.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Display)]
#[display("unheard={unheard} adrift={adrift}")]
pub struct Limbo {
    /// Runs that have been on their way to a worker, or off it, for long.
    pub unheard: usize,
    /// Runs that jobs hold for live though no worker has them.
    pub adrift: usize,
}

impl Cell {
    /// How many runs are in no known state now.
    pub fn limbo(&self, now: u64) -> Limbo {
        let flights = self.workers.values().flat_map(|w| w.flights.values());
        let unheard = flights.filter(|f| f.stage != Stage::Up && now > f.since + UNHEARD).count();
        let runs = self.jobs.iter().flat_map(|(&id, job)| job.runs(id));
        let adrift = runs.filter(|(task, run)| {
            let flight = self.workers.get(&run.worker).and_then(|w| w.flights.get(task));
            flight.is_none_or(|f| f.run != run.number)
        });
        Limbo { unheard, adrift: adrift.count() }
    }
}
