//! Copies of runs that are late, where the client allows them.

use myrtle_job::{Task, TaskId};

use crate::{Cell, Flight, Life, Stage, Worker};

/// How long a worker is silent before its runs are copied, in milliseconds: a hold and its repeat.
const SILENT: u64 = 600;

/// How often a run takes its estimate before it is copied; estimates are rough.
const OVERDUE: f64 = 2.5;

/// What is added to that, in milliseconds.
const GRACE: u64 = 500;

impl Cell {
    /// Looks for runs that want a copy; their jobs are planned again.
    pub fn look_for_copies(&mut self, now: u64) {
        let late: Vec<TaskId> = self
            .workers
            .values()
            .flat_map(|w| w.flights.iter().filter(|(_, f)| f.copies && late(w, f, now)))
            .map(|(&task, _)| task)
            .collect();
        self.open.extend(late.into_iter().map(|task| task.job));
    }

    /// Whether a task that runs wants a copy beside its only run.
    pub(crate) fn wants_copy(&self, id: TaskId, task: &Task, now: u64) -> bool {
        let [run] = task.live.as_slice() else {
            return false;
        };
        let worker = self.workers.get(&run.worker);
        let flight = worker.and_then(|w| Some((w, w.flights.get(&id)?)));
        let bearable = self.bears_copy(id);
        !task.done && bearable && flight.is_some_and(|(w, f)| f.copies && late(w, f, now))
    }
}

fn late(worker: &Worker, flight: &Flight, now: u64) -> bool {
    if worker.life != Life::Well {
        return now.saturating_sub(worker.heard) > SILENT;
    }
    let usual = (OVERDUE * flight.estimate as f64) as u64 + GRACE;
    flight.stage == Stage::Up && !flight.lasting && now.saturating_sub(flight.since) > usual
}
