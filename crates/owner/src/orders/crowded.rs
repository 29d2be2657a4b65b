//! Starts that were placed before their worker's room shrank, its data centre came to be emptied, or it began to leave.

use log::info;

use myrtle_job::{Incarnation, TaskId};

use crate::{Cell, Worker};

impl Cell {
    /// Takes a start back whose worker may begin nothing any more; true if it was.
    ///
    /// It may have waited for seconds: for its record, at its host, or until the worker answered again.
    pub(crate) fn shut_out(
        &mut self,
        life: &Incarnation,
        task: TaskId,
        run: u32,
        now: u64,
    ) -> bool {
        let Some(why) = self.workers.get(life).and_then(Worker::shut) else {
            return false;
        };
        self.withdraw(life, task, run, why, now);
        true
    }

    /// Takes a start back; of a gang, all of it.
    fn withdraw(&mut self, life: &Incarnation, task: TaskId, run: u32, why: &str, now: u64) {
        info!("event=start-withdrawn task={task} run={run} worker={life} reason=\"{why}\"");
        self.retract(life, task, run, now);
        let job = self.jobs.get(&task.job);
        if job.is_some_and(|job| job.step(task.step).gang) {
            self.regroup(task, now);
        }
    }
}

impl Worker {
    /// Why it may begin nothing that it was not told yet, if it may not.
    fn shut(&self) -> Option<&'static str> {
        let reasons = [
            (self.crowded(), "its room has shrunk"),
            (self.emptied, "its data centre is being emptied"),
            (self.draining(), "the worker leaves"),
        ];
        reasons.into_iter().find_map(|(holds, why)| holds.then_some(why))
    }

    /// Whether it carries more than it says that it has.
    fn crowded(&self) -> bool {
        self.listing.is_some() && !self.used().fits(&self.room())
    }
}
