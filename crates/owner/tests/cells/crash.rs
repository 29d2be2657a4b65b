//! Workers that crash because of a task, and do not come back.

use myrtle_job::TaskId;

use super::fixtures::name;
use super::{Cells, STEP, WORKERS};

/// The time until another incarnation answers at the address of a crashed worker, in milliseconds.
const DOWNTIME: u64 = 3_000;

impl Cells {
    /// Runs for a while in which each worker crashes one step after it starts `task`, and returns the number of
    /// crashes in each cell; with `owners` a new owner follows each crash.
    pub fn run_with_culprit(&mut self, task: TaskId, owners: bool, millis: u64) -> Vec<usize> {
        let mut crashes = vec![0; self.owners.len()];
        for _ in 0..millis / STEP {
            self.run(STEP);
            let Some((cell, worker)) = self.place_of(task) else {
                continue;
            };
            self.run(STEP);
            crashes[cell] += 1;
            let id = name(cell, worker);
            self.workers.entry(id.clone()).or_default().runs.clear();
            self.crashed.insert(id, self.now + DOWNTIME);
            if owners {
                self.take_over(cell);
            }
        }
        crashes
    }

    /// The cell and the worker that run a task.
    fn place_of(&self, task: TaskId) -> Option<(usize, u16)> {
        let cells = 0..self.owners.len();
        let mut places = cells.flat_map(|cell| (0..WORKERS).map(move |worker| (cell, worker)));
        places.find(|&(cell, worker)| {
            let worker = self.workers.get(&name(cell, worker));
            worker.is_some_and(|w| w.runs.contains_key(&task))
        })
    }
}
