//! Starts that were placed before their worker's room shrank, or before it began to leave.

use log::info;

use myrtle_job::{Incarnation, TaskId};

use crate::{Cell, Worker};

impl Cell {
    /// Takes a start back whose worker has less room by now than it was given work for; true if it was.
    ///
    /// A record that took seconds to be written let all 24 of 24 starts out over rooms that had shrunk.
    pub(crate) fn crowded_out(
        &mut self,
        life: &Incarnation,
        task: TaskId,
        run: u32,
        now: u64,
    ) -> bool {
        if !self.workers.get(life).is_some_and(Worker::crowded) {
            return false;
        }
        self.withdraw(life, task, run, "its room has shrunk", now);
        true
    }

    /// Takes a start back whose worker may begin nothing any more; true if it was.
    pub(crate) fn shut_out(
        &mut self,
        life: &Incarnation,
        task: TaskId,
        run: u32,
        now: u64,
    ) -> bool {
        self.crowded_out(life, task, run, now)
            || self.emptied_out(life, task, run, now)
            || self.drained_out(life, task, run, now)
    }

    /// Takes a start back whose worker has begun to leave; true if it was.
    ///
    /// It may have waited for seconds until the worker answered again.
    fn drained_out(&mut self, life: &Incarnation, task: TaskId, run: u32, now: u64) -> bool {
        if !self.workers.get(life).is_some_and(Worker::draining) {
            return false;
        }
        self.withdraw(life, task, run, "the worker leaves", now);
        true
    }

    /// Takes a start back; of a gang, all of it.
    pub(crate) fn withdraw(
        &mut self,
        life: &Incarnation,
        task: TaskId,
        run: u32,
        why: &str,
        now: u64,
    ) {
        info!("event=start-withdrawn task={task} run={run} worker={life} reason=\"{why}\"");
        self.retract(life, task, run, now);
        let job = self.jobs.get(&task.job);
        if job.is_some_and(|job| job.step(task.step).gang) {
            self.regroup(task, now);
        }
    }
}

impl Worker {
    /// Whether it carries more than it says that it has.
    fn crowded(&self) -> bool {
        self.listing.is_some() && !self.used().fits(&self.room())
    }
}
