//! Ends of runs that were heard and that the log does not hold yet.
//!
//! A worker that leaves takes with it what it had to tell. An owner that has heard of the ends there and loses the cell
//! before the log takes them tells its successor; else that would wait for the leases of a worker that is gone.

use log::info;

use myrtle_job::{Ended, RunEnd};

use crate::{Cell, Life};

impl Cell {
    /// The ends that were heard and that the log does not hold yet.
    pub fn unlogged(&self) -> &[RunEnd] {
        &self.unlogged
    }

    /// Takes in what an earlier owner has heard; of a worker that answers, its own word counts.
    pub fn hear_end(&mut self, end: &RunEnd, now: u64, wall: u64) {
        let RunEnd { life, ended } = end;
        let Ended { task, run, how, .. } = *ended;
        let met = self.workers.get(life).is_some_and(|w| w.life == Life::Well);
        if met || !self.holds(life, task, run) {
            return;
        }
        info!("event=end-passed-on task={task} run={run} worker={life} how={how}");
        if let Some(worker) = self.workers.get_mut(life) {
            worker.drop_flight(task, run, now);
        }
        self.unlogged.push(end.clone());
        self.take_end(life, ended.clone(), now, wall);
    }
}
