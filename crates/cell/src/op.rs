//! The commands of a cell's stream.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use myrtle_base::{Millis, Room};

use crate::Spec;

/// The id of a task.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{job}.{index}")]
pub struct TaskId {
    /// The job's number in the cell.
    pub job: u32,
    /// The task's index in the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// The task `index` of job `job`.
    pub fn new(job: u32, index: u32) -> Self {
        Self { job, index }
    }
}

/// The holder of a lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub enum LeaseHolder {
    /// A worker, by its number.
    #[display("worker {_0}")]
    Worker(u32),
    /// A gate, by its name.
    #[display("gate {_0}")]
    Gate(String),
}

/// A resource that exactly one gate of the data centre coordinates at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub enum Resource {
    /// The slots and connections of an upstream.
    #[display("upstream {_0}")]
    Upstream(String),
    /// The rate limit of a customer in this data centre.
    #[display("party {_0}")]
    Customer(String),
    /// A bucket of idempotency keys.
    #[display("keys {_0}")]
    Keys(u16),
}

/// The reason for stopping an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum StopReason {
    /// Its job was cancelled.
    #[display("cancelled")]
    Cancel,
    /// It slows a service beyond its target latency.
    #[display("disturbs a service")]
    Interference,
    /// Its worker is running out of room.
    #[display("worker runs out of room")]
    Pressure,
    /// A task with a higher price needs its room.
    #[display("room for dearer work")]
    HigherPrice,
    /// An operator asked for it.
    #[display("operator")]
    Operator,
}

/// How an attempt ended on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// It succeeded.
    Done,
    /// It failed.
    Failed,
    /// It was stopped or its lease lapsed; holds its last checkpoint.
    Stopped(u32),
}

/// A command, which the fold accepts or rejects.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// Sets the voters, a majority of which may declare a worker or gate lapsed; only the first one counts.
    Genesis {
        /// The hosts' names.
        hosts: Vec<String>,
    },
    /// Adds a worker or its next incarnation.
    Worker {
        /// Its name.
        name: String,
        /// Its rack.
        rack: String,
        /// Its total room.
        room: Room,
        /// Its incarnation, larger after each restart.
        incarnation: u64,
    },
    /// Sets whether a worker is draining and gets no new tasks.
    Drain {
        /// The worker's number.
        worker: u32,
        /// Whether it is draining.
        on: bool,
    },
    /// Adds a job or a new version of it.
    Job {
        /// Its name.
        name: String,
        /// The version of the configuration that defined it.
        version: u64,
        /// Its specification.
        spec: Spec,
    },
    /// Ends a job that was removed from the configuration.
    Remove {
        /// Its name.
        name: String,
        /// The version of the configuration that removed it.
        version: u64,
    },
    /// Cancels jobs: pending tasks at once, the others when their stop is confirmed.
    Cancel {
        /// The jobs' numbers.
        jobs: Vec<u32>,
    },
    /// Assigns a pending task to a worker.
    Claim {
        /// The task.
        task: TaskId,
        /// The attempt's number, one above the previous.
        attempt: u16,
        /// The worker's number.
        worker: u32,
    },
    /// Confirms that the worker runs the attempt.
    Started {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: u16,
    },
    /// Records a confirmed checkpoint.
    Checkpoint {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: u16,
        /// The checkpoint's number.
        checkpoint: u32,
    },
    /// Requests the stop of an attempt.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: u16,
        /// The reason.
        reason: StopReason,
    },
    /// Confirms the end of an attempt.
    End {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: u16,
        /// How it ended.
        end: End,
    },
    /// Raises the room of a job's later attempts to its actual use.
    Resize {
        /// The job's number.
        job: u32,
        /// The used room.
        room: Room,
    },
    /// Frees a task of a lapsed worker, as an operator confirmed that it runs nowhere.
    Release {
        /// The task.
        task: TaskId,
    },
    /// Adds a gate or its next incarnation.
    Gate {
        /// Its name.
        name: String,
        /// Its incarnation, larger after each restart.
        incarnation: u64,
    },
    /// Marks a gate as stopped; it coordinates nothing any more.
    Leave {
        /// The gate.
        gate: String,
        /// The incarnation that stops.
        incarnation: u64,
    },
    /// Makes a gate the coordinator of a free resource.
    Assign {
        /// The resource.
        resource: Resource,
        /// The gate.
        gate: String,
    },
    /// Moves a resource with its state from its coordinator to another gate.
    Reassign {
        /// The resource.
        resource: Resource,
        /// The current coordinator.
        from: String,
        /// The next coordinator.
        to: String,
    },
    /// Suspects a worker or gate that a host can't reach.
    Suspect {
        /// The worker or gate.
        holder: LeaseHolder,
    },
    /// Clears a suspicion, as a host reaches the worker or gate again.
    Clear {
        /// The worker or gate.
        holder: LeaseHolder,
    },
    /// Declares a suspected worker or gate lapsed.
    Lapse {
        /// The worker or gate.
        holder: LeaseHolder,
        /// The offset of the suspicion.
        suspected: u64,
        /// The hosts that promised to renew no lease of it.
        consents: Vec<String>,
    },
    /// Reports a gate's usage by a customer in a class, counted since the start of the gate's incarnation.
    Used {
        /// The gate.
        gate: String,
        /// Its incarnation.
        incarnation: u64,
        /// The customer.
        customer: String,
        /// The class.
        class: String,
        /// The number of requests answered by an upstream.
        requests: u64,
        /// The time in slots of upstreams.
        busy: Millis,
    },
}
