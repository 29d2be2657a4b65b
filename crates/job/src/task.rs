//! Tasks and their runs.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Tasks};

/// One start of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The run's number, higher than those of the task's earlier runs.
    pub number: u32,
    /// The worker that was ordered to start it.
    pub worker: Incarnation,
}

/// The runs of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Whether a run has succeeded.
    pub done: bool,
    /// The highest assigned run number.
    pub last_run: u32,
    /// The numbers of failed runs, as a worker may report one end to several owners.
    pub failed_runs: Vec<u32>,
    /// The active runs.
    pub active: Vec<Run>,
    /// The newest checkpoint, empty if there is none.
    pub checkpoint: String,
}

impl Task {
    /// Whether the task waits to be started.
    pub fn is_waiting(&self) -> bool {
        !self.done && self.active.is_empty()
    }

    /// Adds a failed run; false if it was already counted.
    pub fn add_failure(&mut self, number: u32) -> bool {
        let first = !self.failed_runs.contains(&number);
        if first {
            self.failed_runs.push(number);
        }
        first
    }

    /// The active run with this number.
    pub fn active_run(&self, number: u32) -> Option<&Run> {
        self.active.iter().find(|r| r.number == number)
    }

    /// Removes an active run; false if there is none with this number.
    pub fn remove_run(&mut self, number: u32) -> bool {
        let before = self.active.len();
        self.active.retain(|r| r.number != number);
        self.active.len() < before
    }
}

/// The tasks of one step in one repetition.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The tasks by index.
    pub tasks: Tasks,
    /// The numbers of failed runs of the step as a gang.
    pub failed_runs: Vec<u32>,
}

impl Step {
    /// A step none of whose tasks has started.
    pub fn fresh(count: u16) -> Self {
        Self { tasks: Tasks::fresh(count), failed_runs: Vec::new() }
    }

    /// Whether every task is done.
    pub fn done(&self) -> bool {
        self.tasks.groups().all(|(_, t)| t.done)
    }
}
