//! Copies of late runs, where the client allows them.

use myrtle_job::{Task, TaskId};

use crate::{ActiveRun, Cell, Presence, Stage, Worker};

/// How long a worker may be silent before its runs are copied, in milliseconds: one lease renewal
/// and its retry.
const SILENT_LIMIT: u64 = 600;

/// The multiple of its estimate after which a run is copied; estimates are rough.
const OVERDUE_FACTOR: f64 = 2.5;

/// Added to that multiple, in milliseconds.
const OVERDUE_GRACE: u64 = 500;

impl Cell {
    /// Marks the jobs of runs that want a copy as open.
    pub fn find_late_runs(&mut self, now: u64) {
        let late: Vec<TaskId> = self
            .workers
            .values()
            .flat_map(|w| w.active_runs.iter().filter(|(_, f)| f.copies && is_late(w, f, now)))
            .map(|(&task, _)| task)
            .collect();
        self.open.extend(late.into_iter().map(|task| task.job));
    }

    /// Whether a running task wants a copy beside its only run.
    pub(crate) fn wants_copy(&self, id: TaskId, task: &Task, now: u64) -> bool {
        let [run] = task.active.as_slice() else {
            return false;
        };
        let worker = self.workers.get(&run.worker);
        let active = worker.and_then(|w| Some((w, w.active_runs.get(&id)?)));
        let allowed = self.may_copy(id);
        !task.done && allowed && active.is_some_and(|(w, f)| f.copies && is_late(w, f, now))
    }
}

fn is_late(worker: &Worker, active: &ActiveRun, now: u64) -> bool {
    if worker.presence != Presence::Answering {
        return now.saturating_sub(worker.answered_at) > SILENT_LIMIT;
    }
    let limit = (OVERDUE_FACTOR * active.estimate as f64) as u64 + OVERDUE_GRACE;
    active.stage == Stage::Running
        && !active.long_running
        && now.saturating_sub(active.since) > limit
}
