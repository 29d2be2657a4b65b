//! What is to be told to workers, and what came of it.

use std::sync::Arc;

use myrtle_job::{Incarnation, Successor, TaskId, Told};

/// Something to tell a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// To start a run.
    Start {
        /// The worker.
        worker: Incarnation,
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u32,
        /// The text of the job.
        body: Arc<str>,
        /// Where to go on from, empty for the beginning.
        saved: String,
        /// The ticket, on queues that need one.
        ticket: Option<Arc<str>>,
    },
    /// To stop a run, or to bar it if it is not there yet.
    Stop {
        /// The worker.
        worker: Incarnation,
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u32,
    },
    /// To let a run work at a share of its speed.
    Pace {
        /// The worker.
        worker: Incarnation,
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u32,
        /// The share in percent.
        percent: u32,
    },
}

impl Order {
    /// Whom it is for.
    pub fn worker(&self) -> &Incarnation {
        match self {
            Self::Start { worker, .. } | Self::Stop { worker, .. } | Self::Pace { worker, .. } => {
                worker
            }
        }
    }
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The worker's word.
    Told(Told),
    /// Another incarnation, or another worker, answered; the intended one is gone.
    Replaced(Successor),
    /// The worker is unwell and did nothing.
    Unwell,
    /// It was not sent.
    Unsent,
    /// It may have been carried out, or may be later.
    Unknown,
}
