//! A summary of a cell in one line, for logs and metrics.

use derive_more::Display;

use crate::{Cell, Life};

/// A summary of a cell.
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
    /// Jobs with tasks that may have to be placed.
    pub open: usize,
    /// Tasks that are ready and run nowhere.
    pub waiting: usize,
    /// Workers that answer.
    pub workers: usize,
    /// Listed workers that don't answer.
    pub silent: usize,
    /// Serving runs.
    pub serving: usize,
    /// Runs of fillers.
    pub fillers: usize,
    /// Throttled runs.
    pub slowed: usize,
    /// Other runs.
    pub others: usize,
    /// Serving runs that exceed their target latency.
    pub over: usize,
    /// Cores of the workers that answer.
    pub cores: f64,
    /// Idle cores that fillers could use.
    pub spare: f64,
    /// Cores that fillers ask for.
    pub filled: f64,
    /// The share of the cell that long-running tasks ask for, whether they run or wait.
    pub claimed: f64,
    /// Jobs that this owner has given up because a task of theirs crashed its workers.
    pub given_up: u64,
    /// Workers in evacuated data centres.
    pub emptied: usize,
}

impl Cell {
    /// Summarizes the cell.
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
            for active in worker.flights.values() {
                match (active.target, active.filler) {
                    (Some(_), _) => gist.serving += 1,
                    (None, true) => gist.fillers += 1,
                    (None, false) => gist.others += 1,
                }
                gist.slowed += usize::from(active.pace < 100);
                gist.over += usize::from(active.over.is_some());
            }
        }
        gist.claimed = self.total_load().share(0.0);
        gist
    }
}
