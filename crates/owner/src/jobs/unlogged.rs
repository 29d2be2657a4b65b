//! Ends of runs that were received and are not in the log yet.
//!
//! Fault: a worker that leaves no longer repeats its ends. An owner that has received ends and
//! loses the cell before the log holds them passes them to its successor, which would otherwise
//! wait for the leases of a worker that is gone.

use log::info;

use myrtle_job::{EndedRun, RunEnd};

use crate::{Cell, Presence};

impl Cell {
    /// The received ends that are not in the log yet.
    pub fn unlogged(&self) -> &[RunEnd] {
        &self.unlogged
    }

    /// Records an end that an earlier owner received; for a worker that answers, its own report
    /// counts.
    pub fn restore_end(&mut self, end: &RunEnd, now: u64, wall: u64) {
        let RunEnd { incarnation, ended } = end;
        let EndedRun { task, run, reason, .. } = *ended;
        let answers =
            self.workers.get(incarnation).is_some_and(|w| w.presence == Presence::Answering);
        if answers || !self.has_run(incarnation, task, run) {
            return;
        }
        info!("event=end-passed-on task={task} run={run} worker={incarnation} how={reason}");
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.remove_run(task, run, now);
        }
        self.unlogged.push(end.clone());
        self.apply_end(incarnation, ended.clone(), now, wall);
    }
}
