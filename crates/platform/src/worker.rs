//! The client of a worker's control interface, where one exchange starts, stops and reports attempts.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use myrtle_base::{Millis, Room};

use crate::{Caller, Failure};

/// The timeout of an exchange.
const TIMEOUT: Duration = Duration::from_millis(1500);

/// A host's request to a worker; it is idempotent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The incarnation of the worker that this is for; other incarnations ignore it.
    pub boot: u64,
    /// When the lease of the worker's tasks expires, on the worker's clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<Millis>,
    /// Attempts to start, except those started or stopped before.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub start: Vec<Start>,
    /// Attempts to stop after a checkpoint; the worker refuses to start them later.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<Stop>,
    /// Attempts to throttle.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub throttle: Vec<Throttle>,
    /// Ended attempts that are recorded and need not be reported again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub noted: Vec<Stop>,
    /// The number of the newest report that the host has seen.
    pub seen: u64,
}

/// An attempt to start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The task's name, unique in the data centre.
    pub task: String,
    /// The number of the attempt.
    pub attempt: u16,
    /// The room allocated to it.
    pub room: Room,
    /// The kind of work.
    pub kind: String,
    /// The expected run time; `None` for a watcher.
    pub run_time: Option<Millis>,
    /// The checkpoint to resume from; 0 is the beginning.
    pub checkpoint: u32,
    /// Whether it stops when the lease expires.
    pub leased: bool,
}

/// An attempt to stop, or one whose end is recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The task's name.
    pub task: String,
    /// The number of the attempt.
    pub attempt: u16,
}

/// An attempt to throttle.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Throttle {
    /// The task's name.
    pub task: String,
    /// The number of the attempt.
    pub attempt: u16,
    /// The share of its processors that it may use, in percent.
    pub percent: u8,
}

/// The worker's reply to an exchange.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// The worker's incarnation.
    pub boot: u64,
    /// The worker's clock.
    pub clock: Millis,
    /// The number of the newest report.
    pub seen: u64,
    /// The reports after the number that the host had seen.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<Report>,
    /// The delayed resource usage, present in some replies only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageReport>,
}

/// The status of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The task's name.
    pub task: String,
    /// The number of the attempt.
    pub attempt: u16,
    /// The state of the attempt.
    pub state: RunState,
    /// The newest checkpoint.
    pub checkpoint: u32,
}

/// The state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// The attempt is running.
    Running,
    /// The attempt completed its work.
    Done,
    /// The attempt failed.
    Failed,
    /// The attempt was stopped, or its lease expired.
    Stopped,
}

/// The resource usage of a worker.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The time of the measurement, on the worker's clock.
    pub at: Millis,
    /// The 99th percentile of its service's latency in microseconds, 0 if it had no request.
    pub p99_us: u64,
    /// The usage by task.
    pub tasks: Vec<TaskUse>,
}

/// The resource usage of one task.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskUse {
    /// The task's name.
    pub task: String,
    /// The room that it used.
    pub room: Room,
}

/// A client of one worker's control interface.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    caller: Caller,
    at: SocketAddr,
}

impl WorkerClient {
    /// Creates a client of the worker at `at`.
    pub fn new(caller: Caller, at: SocketAddr) -> Self {
        Self { caller, at }
    }

    /// Makes one exchange.
    pub async fn sync(&self, request: &SyncRequest) -> Result<SyncReply, Failure> {
        self.caller.post(self.at, "/sync", request, TIMEOUT).await
    }
}
