//! Worker descriptions, replies and run reports.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use myrtle_base::Room;

use crate::{Incarnation, TaskId};

/// A worker's entry in the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The pool that it belongs to.
    pub service: String,
    /// The address for orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is about to leave.
    pub draining: bool,
    /// The minimum time until it leaves, in milliseconds, if it is about to.
    pub remaining_ms: Option<u64>,
    /// The room of the worker.
    pub room: Room,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// The machine that it runs on.
    pub machine: Option<String>,
    /// The version of its software, empty if unknown; not stored in the log.
    #[serde(skip)]
    pub version: String,
    /// The offset of the list entry; of two incarnations at one address the later one has the higher offset.
    pub offset: u64,
    /// The remaining warm-up time in milliseconds at the time of the entry; not stored in the log.
    #[serde(skip)]
    pub warmup_ms: u64,
    /// The start time in milliseconds since 1970 by the worker's host clock, 0 if unknown; not stored in the log.
    #[serde(skip)]
    pub started_at: u64,
}

/// A worker's reply to an order.
#[derive(derive_more::Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OrderReply {
    /// The order is carried out, now or before.
    #[display("done")]
    Done,
    /// The worker has seen a higher fencing token.
    #[display("refused: a later owner gave orders")]
    Fenced,
    /// The worker already had this run or a later one of the task.
    #[display("refused: the run is old")]
    #[debug("Old")]
    OutdatedRun,
    /// The lease ended before the order arrived.
    #[display("refused: the lease had ended")]
    #[debug("Late")]
    LeaseEnded,
    /// The worker has too little free room.
    #[display("refused: no room")]
    #[debug("Full")]
    NoRoom,
    /// The ticket is invalid or has expired.
    #[display("refused: the ticket does not hold")]
    #[debug("Ticket")]
    InvalidTicket,
    /// The worker refused the order as malformed.
    #[display("refused: not understood")]
    #[debug("Bad")]
    Malformed,
}

/// A run in progress.
#[derive(Debug, Clone, PartialEq)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u32,
    /// The newest checkpoint.
    pub checkpoint: String,
    /// The progress in percent; 100 for a long-running task that is at work.
    pub percent: f64,
    /// The tail latency of a serving task in milliseconds, otherwise the used thousandths of a core.
    pub metric: Option<f64>,
}

/// The end of a run, as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Increases with each end within a worker's incarnation.
    pub seq: u64,
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u32,
    /// How it ended.
    pub reason: EndReason,
    /// The newest checkpoint.
    pub checkpoint: String,
}

/// The end of a run with its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The worker's incarnation.
    pub incarnation: Incarnation,
    /// The worker's report.
    pub ended: EndedRun,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum EndReason {
    /// It succeeded.
    #[display("done")]
    Done,
    /// It failed, through the task's or the worker's fault.
    #[display("failed")]
    Failed,
    /// It was ordered to stop.
    #[display("stopped")]
    Stopped,
    /// Its lease ended.
    #[display("lapsed")]
    Lapsed,
    /// Another run of its gang ended.
    #[display("broken")]
    GangEnded,
    /// Not all runs of its gang started in time.
    #[display("alone")]
    GangIncomplete,
}

/// The runs on a worker and the ends not yet acknowledged.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerRuns {
    /// The start time in milliseconds since 1970 by the worker's host clock; 0 if unknown.
    pub started_at: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The runs in progress.
    pub running: Vec<Running>,
    /// The ends that are not acknowledged yet.
    pub ended: Vec<EndedRun>,
}
