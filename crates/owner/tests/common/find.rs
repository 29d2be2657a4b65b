//! Where a task is assigned, and where it runs.

use std::sync::Arc;

use myrtle_job::{JobId, TaskId};
use myrtle_owner::Stage;

use super::{STEP, World};

/// The first task of a job.
pub fn first_task(job: JobId) -> TaskId {
    TaskId { job, round: 0, step: 0, index: 0 }
}

impl World {
    /// The worker to which the newest owner has assigned a task, and the stage of the run.
    pub fn assigned(&self, task: TaskId) -> Option<(Arc<str>, Stage)> {
        let cell = &self.owners.last().unwrap().cell;
        cell.workers.iter().find_map(|(incarnation, worker)| {
            let active = worker.active_runs.get(&task)?;
            Some((incarnation.id().clone(), active.stage))
        })
    }

    /// The worker on which a task runs, if the owner can reach it.
    pub fn running_on(&self, task: TaskId) -> Option<Arc<str>> {
        let mut up = self.workers.iter().filter(|(_, w)| w.reachable && w.runs(task));
        up.next().map(|(id, _)| id.clone())
    }

    /// Runs until `found` returns something, for `limit` ms at most.
    pub fn run_until<T>(
        &mut self,
        limit: u64,
        mut found: impl FnMut(&mut Self) -> Option<T>,
    ) -> Option<T> {
        for _ in 0..limit / STEP {
            if let Some(found) = found(self) {
                return Some(found);
            }
            self.run(STEP);
        }
        found(self)
    }
}
