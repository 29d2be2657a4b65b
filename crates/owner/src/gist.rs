//! A cell in one line, for logs and metrics.

use derive_more::Display;

use crate::{Cell, Life};

/// Where a cell stands.
#[derive(Debug, Default, Clone, PartialEq, Display)]
#[display(
    "jobs={jobs} open={open} waiting={waiting} workers={workers} silent={silent} serving={serving} \
     fillers={fillers} slowed={slowed} others={others} over={over} cores={cores:.0} \
     spare={spare:.0} filled={filled:.0} claimed={claimed:.2} \
     given_up={given_up} emptied={emptied}"
)]
pub struct Gist {
    /// Jobs that are not over.
    pub jobs: usize,
    /// Jobs of which something has to be placed.
    pub open: usize,
    /// Tasks whose turn has come and that run nowhere.
    pub waiting: usize,
    /// Workers that answer.
    pub workers: usize,
    /// Workers that do not.
    pub silent: usize,
    /// Runs that serve.
    pub serving: usize,
    /// Runs that take what others leave.
    pub fillers: usize,
    /// Fillers that were slowed.
    pub slowed: usize,
    /// Other runs.
    pub others: usize,
    /// Serving runs that are over their targets.
    pub over: usize,
    /// Cores of the workers that answer.
    pub cores: f64,
    /// Cores that fillers could use.
    pub spare: f64,
    /// Cores that fillers ask for.
    pub filled: f64,
    /// The share of the cell that lasting tasks ask for, whether they run or wait.
    pub claimed: f64,
    /// Jobs that this owner has given up since a task of theirs crashed its workers.
    pub given_up: u64,
    /// Workers in data centres that are being emptied.
    pub emptied: usize,
}

impl Cell {
    /// Where the cell stands.
    pub fn gist(&self) -> Gist {
        let given_up = self.counts.crashers;
        let mut gist = Gist { open: self.open.len(), given_up, ..Gist::default() };
        gist.jobs = self.jobs.values().filter(|j| !j.progress.state.over()).count();
        for id in &self.open {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            gist.waiting += job.waiting(*id);
        }
        for worker in self.workers.values() {
            gist.emptied += usize::from(worker.emptied);
            if worker.life != Life::Well {
                gist.silent += usize::from(worker.listed);
                continue;
            }
            gist.workers += 1;
            gist.cores += f64::from(worker.room().cpu) / 1000.0;
            gist.spare += worker.spare() / 1000.0;
            gist.filled += worker.filled() / 1000.0;
            for flight in worker.flights.values() {
                match (flight.target, flight.filler) {
                    (Some(_), _) => gist.serving += 1,
                    (None, true) => gist.fillers += 1,
                    (None, false) => gist.others += 1,
                }
                gist.slowed += usize::from(flight.pace < 100);
                gist.over += usize::from(flight.over.is_some());
            }
        }
        gist.claimed = self.taken().share(0.0);
        gist
    }
}
