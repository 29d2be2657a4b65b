//! Orders to workers, and their outcomes.

use std::sync::Arc;

use myrtle_job::{Incarnation, OrderReply, Replacement, TaskId};

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Starts a run.
    Start {
        /// The worker.
        worker: Incarnation,
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u32,
        /// The body of the job.
        body: Arc<str>,
        /// The checkpoint to resume from, empty for a start from the beginning.
        saved: String,
        /// The ticket, on queues that need one.
        ticket: Option<Arc<str>>,
    },
    /// Stops a run, or bars it if it has not started yet.
    Stop {
        /// The worker.
        worker: Incarnation,
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u32,
    },
    /// Sets a run's speed limit.
    Throttle {
        /// The worker.
        worker: Incarnation,
        /// The task.
        task: TaskId,
        /// The run's number.
        run: u32,
        /// The share of full speed, in percent.
        percent: u32,
    },
}

impl Order {
    /// The worker that receives the order.
    pub fn worker(&self) -> &Incarnation {
        match self {
            Self::Start { worker, .. }
            | Self::Stop { worker, .. }
            | Self::Throttle { worker, .. } => worker,
        }
    }
}

/// The outcome of an order.
#[derive(derive_more::Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The worker replied.
    #[debug("Told({_0:?})")]
    Replied(OrderReply),
    /// Another incarnation, or another worker, replied; the intended one is gone.
    Replaced(Replacement),
    /// The worker is unhealthy and did nothing.
    #[debug("Unwell")]
    Unhealthy,
    /// The order was not sent.
    Unsent,
    /// The order may have been carried out, or may be later.
    Unknown,
}

impl Outcome {
    /// Whether a start may have been carried out by the worker that it was meant for.
    pub(crate) fn may_be_carried_out(self) -> bool {
        match self {
            Self::Replied(reply) => matches!(reply, OrderReply::Done | OrderReply::OutdatedRun),
            Self::Unknown => true,
            Self::Replaced(_) | Self::Unhealthy | Self::Unsent => false,
        }
    }
}
