//! A summary of a cell in one line, for logs and metrics.

use derive_more::Display;

use crate::{Cell, Presence};

/// A summary of a cell.
#[derive(Debug, Default, Clone, PartialEq, Display)]
#[display(
    "jobs={jobs} open={open} waiting={waiting} workers={workers} silent={silent} serving={serving} \
     fillers={fillers} slowed={throttled} others={others} over={over_target} cores={cores:.0} \
     spare={spare:.0} filled={filled:.0} claimed={claimed:.2} \
     given_up={given_up} emptied={evacuated} spread={spread}"
)]
pub struct CellSummary {
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
    pub throttled: usize,
    /// Other runs.
    pub others: usize,
    /// Serving runs that exceed their target latency.
    pub over_target: usize,
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
    pub evacuated: usize,
    /// Short jobs that this owner has transferred to other cells.
    pub spread: u64,
}

impl Cell {
    /// Summarizes the cell.
    pub fn summary(&self) -> CellSummary {
        let mut summary = CellSummary {
            open: self.open.len(),
            given_up: self.counts.given_up,
            spread: self.counts.spread,
            ..CellSummary::default()
        };
        summary.jobs = self.jobs.values().filter(|j| !j.progress.state.over()).count();
        for id in &self.open {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            summary.waiting += job.waiting(*id);
        }
        for worker in self.workers.values() {
            summary.evacuated += usize::from(worker.evacuated);
            if worker.presence != Presence::Answering {
                summary.silent += usize::from(worker.listed);
                continue;
            }
            summary.workers += 1;
            summary.cores += f64::from(worker.room().cpu) / 1000.0;
            summary.spare += worker.spare() / 1000.0;
            summary.filled += worker.filler_demand() / 1000.0;
            for active in worker.active_runs.values() {
                match (active.target, active.filler) {
                    (Some(_), _) => summary.serving += 1,
                    (None, true) => summary.fillers += 1,
                    (None, false) => summary.others += 1,
                }
                summary.throttled += usize::from(active.speed_limit < 100);
                summary.over_target += usize::from(active.over_since.is_some());
            }
        }
        summary.claimed = self.total_load().share(0.0);
        summary
    }
}
