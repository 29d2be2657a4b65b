//! The control interface of a worker: one exchange starts, stops and reports.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use myrtle_base::{Millis, Room};

use crate::{Caller, Failure};

/// How long an exchange may take.
const LIMIT: Duration = Duration::from_millis(1500);

/// What a host tells a worker; repeating it does no harm.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The life of the worker that this is meant for; another life takes in nothing.
    pub boot: u64,
    /// The worker's clock at which the lease of its tasks ends.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<Millis>,
    /// Attempts to start, unless they were started or stopped before.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub start: Vec<Start>,
    /// Attempts to stop after a checkpoint; later starts of them are refused.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stop: Vec<Stop>,
    /// Attempts to slow down.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub throttle: Vec<Throttle>,
    /// Ends that are recorded and need not be reported again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub noted: Vec<Stop>,
    /// Reports up to this number were seen.
    pub seen: u64,
}

/// An attempt to start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The task's name, unique in the data centre.
    pub task: String,
    /// The attempt.
    pub attempt: u16,
    /// What it is given.
    pub room: Room,
    /// What it does.
    pub kind: String,
    /// How long it is expected to run; none for a watcher.
    pub run_time: Option<Millis>,
    /// The checkpoint it resumes from, 0 for the beginning.
    pub checkpoint: u32,
    /// Whether it stops when the lease ends.
    pub leased: bool,
}

/// An attempt to stop, or whose end is recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The task's name.
    pub task: String,
    /// The attempt.
    pub attempt: u16,
}

/// An attempt to slow down.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Throttle {
    /// The task's name.
    pub task: String,
    /// The attempt.
    pub attempt: u16,
    /// The share of its processors that it keeps, in percent.
    pub percent: u8,
}

/// What a worker answers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Its life.
    pub boot: u64,
    /// Its clock.
    pub clock: Millis,
    /// The number of the newest report.
    pub seen: u64,
    /// What changed after the number that the host had seen.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<Report>,
    /// Measured use, some time old, now and then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageReport>,
}

/// Where an attempt stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The task's name.
    pub task: String,
    /// The attempt.
    pub attempt: u16,
    /// Where it stands.
    pub state: RunState,
    /// Its newest checkpoint.
    pub checkpoint: u32,
}

/// What an attempt does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// It runs.
    Running,
    /// It did all its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped or its lease ended.
    Stopped,
}

/// Measured use of a worker.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The worker's clock at the measurement.
    pub at: Millis,
    /// The 99th percentile of its service's latency in microseconds, 0 if it had no request.
    pub p99_us: u64,
    /// Use by task.
    pub tasks: Vec<TaskUse>,
}

/// Measured use of one task.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskUse {
    /// The task's name.
    pub task: String,
    /// What it used.
    pub room: Room,
}

/// A client of one worker's control interface.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    caller: Caller,
    at: SocketAddr,
}

impl WorkerClient {
    /// A client of the worker at `at`.
    pub fn new(caller: Caller, at: SocketAddr) -> Self {
        Self { caller, at }
    }

    /// One exchange.
    pub async fn sync(&self, request: &SyncRequest) -> Result<SyncReply, Failure> {
        self.caller.post(self.at, "/sync", request, LIMIT).await
    }
}
