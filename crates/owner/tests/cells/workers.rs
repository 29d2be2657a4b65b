//! What happens to the workers of the cells.

use myrtle_job::{EndReason, EndedRun, Incarnation, Listing, TaskId};

use super::fixtures::name;
use super::{Cells, Worker, listing};

impl Cells {
    /// A worker announces that it leaves.
    pub fn leave(&mut self, cell: usize, worker: u16) {
        let now = self.now;
        let entry = self.entry(cell, worker, true);
        self.owners[cell].apply_listing(name(cell, worker).id(), entry, now);
        self.leaving.push(name(cell, worker));
    }

    /// Restarts a worker under its id without runs, with ends numbered from 1; until its entry is read, only its
    /// replies show it.
    pub fn restart(&mut self, cell: usize, worker: u16) {
        let id = name(cell, worker);
        self.workers.insert(id.clone(), Worker::default());
        self.started.insert(id, self.now);
    }

    /// Passes a worker's entry to the owner.
    pub fn read_entry(&mut self, cell: usize, worker: u16) {
        let leaves = self.leaving.contains(&name(cell, worker));
        let (now, entry) = (self.now, self.entry(cell, worker, leaves));
        self.owners[cell].apply_listing(name(cell, worker).id(), entry, now);
    }

    /// The current incarnation of a worker.
    pub(super) fn incarnation(&self, first: &Incarnation) -> Incarnation {
        self.started.get(first).map_or_else(|| first.clone(), |start| first.with_start(*start))
    }

    /// Removes a worker and its runs for good, without notice.
    pub fn silence(&mut self, cell: usize, worker: u16) {
        let id = name(cell, worker);
        self.workers.entry(id.clone()).or_default().runs.clear();
        self.crashed.insert(id, u64::MAX);
    }

    /// The current entry of a worker.
    pub(super) fn entry(&self, cell: usize, worker: u16, draining: bool) -> Listing {
        let start = self.incarnation(&name(cell, worker)).start();
        Listing { started_at: start, ..listing(cell, worker, draining) }
    }

    /// Completes the run of a task.
    pub fn finish(&mut self, task: TaskId) {
        for worker in self.workers.values_mut() {
            if let Some((run, saved)) = worker.runs.remove(&task) {
                worker.count += 1;
                worker.ended.push(EndedRun {
                    seq: worker.count,
                    task,
                    run,
                    reason: EndReason::Done,
                    checkpoint: saved,
                });
            }
        }
    }

    /// Withdraws the announcement that a worker leaves.
    pub fn stay(&mut self, cell: usize, worker: u16) {
        let now = self.now;
        let entry = self.entry(cell, worker, false);
        self.owners[cell].apply_listing(name(cell, worker).id(), entry, now);
        self.leaving.retain(|id| *id != name(cell, worker));
    }
}
