//! What workers say of themselves and of the runs on them.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use myrtle_base::Room;

use crate::{Incarnation, TaskId};

/// A worker's own description.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The pool that it belongs to.
    pub service: String,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is about to leave.
    pub draining: bool,
    /// The least time until it leaves, in milliseconds, if it is about to.
    pub remaining: Option<u64>,
    /// What it has.
    pub room: Room,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// The machine that it runs on.
    pub machine: Option<String>,
    /// Where the list holds it; of two lives at one address the later one has the higher offset.
    pub written: u64,
    /// How much longer it is slow from its start, in milliseconds, when this was written; not kept in the log.
    #[serde(skip)]
    pub cold: u64,
    /// When the worker started, in milliseconds since 1970 by its own host; 0 if it does not say; not kept in
    /// the log.
    #[serde(skip)]
    pub start: u64,
}

/// What a worker told of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Told {
    /// It was done, also when it had been done before.
    #[display("done")]
    Done,
    /// A higher fencing token was seen.
    #[display("refused: a later owner gave orders")]
    Fenced,
    /// This run or a later one has been there.
    #[display("refused: the run is old")]
    Old,
    /// The lease had ended on arrival.
    #[display("refused: the lease had ended")]
    Late,
    /// There is no room.
    #[display("refused: no room")]
    Full,
    /// The ticket does not hold.
    #[display("refused: the ticket does not hold")]
    Ticket,
    /// The order made no sense to the worker.
    #[display("refused: not understood")]
    Bad,
}

/// A run that is going on.
#[derive(Debug, Clone, PartialEq)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u32,
    /// The newest checkpoint.
    pub saved: String,
    /// How much of the work is done; 100 for a lasting task that is at work.
    pub percent: f64,
    /// The tail latency in milliseconds of a task that serves, else thousandths of a core in use.
    pub figure: Option<f64>,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Rises within a life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u32,
    /// How it ended.
    pub how: How,
    /// The newest checkpoint.
    pub saved: String,
}

/// The end of a run, and where it was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The worker.
    pub life: Incarnation,
    /// What it said of the end.
    pub ended: Ended,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum How {
    /// Its work is done.
    #[display("done")]
    Done,
    /// Through its own fault or the worker's.
    #[display("failed")]
    Failed,
    /// It was told to.
    #[display("stopped")]
    Stopped,
    /// Its lease ended.
    #[display("lapsed")]
    Lapsed,
    /// Another task of its gang ended.
    #[display("broken")]
    Broken,
    /// The other tasks of its gang did not come.
    #[display("alone")]
    Alone,
}

/// Everything that a worker holds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Held {
    /// When the worker started, in milliseconds since 1970 by its own host; 0 if it does not say.
    pub start: u64,
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// What is going on.
    pub running: Vec<Running>,
    /// What ended and was not noted yet.
    pub ended: Vec<Ended>,
}
