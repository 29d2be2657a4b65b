//! Tasks and their runs.

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// One start of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Its number; later runs of the task have higher ones.
    pub number: u32,
    /// The worker that was told to start it.
    pub worker: Incarnation,
}

/// One task: how often it ran and where it may be running.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Whether a run has ended well.
    pub done: bool,
    /// The highest run number given out.
    pub last: u32,
    /// The runs that have failed; a worker may tell of an end to several owners.
    pub failed: Vec<u32>,
    /// Runs that may be going on.
    pub live: Vec<Run>,
    /// The newest checkpoint, empty if there is none.
    pub saved: String,
}

impl Task {
    /// Whether it has to be started.
    pub fn waits(&self) -> bool {
        !self.done && self.live.is_empty()
    }

    /// Counts a run as failed, once; false if it was counted before.
    pub fn fail(&mut self, number: u32) -> bool {
        let first = !self.failed.contains(&number);
        if first {
            self.failed.push(number);
        }
        first
    }

    /// The run of this number, if it may be going on.
    pub fn run(&self, number: u32) -> Option<&Run> {
        self.live.iter().find(|r| r.number == number)
    }

    /// Takes a run off, true if it was there.
    pub fn drop_run(&mut self, number: u32) -> bool {
        let before = self.live.len();
        self.live.retain(|r| r.number != number);
        self.live.len() < before
    }
}

/// The tasks of one step in one repetition.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The tasks by index.
    pub tasks: Vec<Task>,
    /// The runs of the whole step as a gang that have failed.
    pub failed: Vec<u32>,
}

impl Step {
    /// A step none of whose tasks has begun.
    pub fn fresh(count: u16) -> Self {
        Self { tasks: vec![Task::default(); usize::from(count)], failed: Vec::new() }
    }

    /// Whether every task is done.
    pub fn done(&self) -> bool {
        self.tasks.iter().all(|t| t.done)
    }
}
