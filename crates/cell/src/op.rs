//! The commands of a cell's stream.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use myrtle_base::{Millis, Room};

use crate::Spec;

/// A task: the number of its job and its index in the job.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{job}.{index}")]
pub struct TaskId {
    /// The job's number in the cell.
    pub job: u32,
    /// The index from 0.
    pub index: u32,
}

impl TaskId {
    /// The task `index` of job `job`.
    pub fn new(job: u32, index: u32) -> Self {
        Self { job, index }
    }
}

/// What holds a lease.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub enum Subject {
    /// A worker, by its number.
    #[display("worker {_0}")]
    Worker(u32),
    /// A gate, by its name.
    #[display("gate {_0}")]
    Gate(String),
}

/// What exactly one gate of the data centre keeps at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
pub enum Unit {
    /// The slots and connections of an upstream.
    #[display("upstream {_0}")]
    Upstream(String),
    /// The rate of a party in this data centre.
    #[display("party {_0}")]
    Party(String),
    /// One bucket of idempotency keys.
    #[display("keys {_0}")]
    Keys(u16),
}

/// Why a task is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Why {
    /// Its job was cancelled.
    #[display("cancelled")]
    Cancel,
    /// It disturbs a service beyond its target.
    #[display("disturbs a service")]
    Interference,
    /// Its worker is running out of room.
    #[display("worker runs out of room")]
    Pressure,
    /// Dearer work needs its room.
    #[display("room for dearer work")]
    Dearer,
    /// An operator asked for it.
    #[display("operator")]
    Operator,
}

/// How an attempt ended on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// It did all its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, or its lease lapsed, after this checkpoint.
    Stopped(u32),
}

/// One command; the fold accepts it or turns it down.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Op {
    /// Names the hosts whose majority may give up a subject; only the first one counts.
    Genesis {
        /// The hosts' names.
        hosts: Vec<String>,
    },
    /// Enters a worker, or its next life.
    Worker {
        /// Its name.
        name: String,
        /// Its rack.
        rack: String,
        /// What it has.
        room: Room,
        /// Its life, larger after each restart.
        boot: u64,
    },
    /// Says whether a worker is leaving; a leaving one gets nothing new.
    Drain {
        /// The worker's number.
        worker: u32,
        /// Whether it is leaving.
        on: bool,
    },
    /// Enters a job, or a new version of it.
    Job {
        /// Its name.
        name: String,
        /// The version of the configuration that it comes from.
        version: u64,
        /// What it asks for.
        spec: Spec,
    },
    /// Ends a job that the configuration no longer holds.
    Remove {
        /// Its name.
        name: String,
        /// The version of the configuration that no longer holds it.
        version: u64,
    },
    /// Ends jobs: pending tasks at once, others when their worker confirms the stop.
    Cancel {
        /// The jobs' numbers.
        jobs: Vec<u32>,
    },
    /// Gives a pending task to a worker.
    Claim {
        /// The task.
        task: TaskId,
        /// The attempt, one above the last.
        attempt: u16,
        /// The worker's number.
        worker: u32,
    },
    /// The worker runs the attempt.
    Started {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: u16,
    },
    /// The worker confirmed a checkpoint.
    Mark {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: u16,
        /// The checkpoint's number.
        checkpoint: u32,
    },
    /// Decides that an attempt is to stop.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: u16,
        /// The reason.
        why: Why,
    },
    /// The worker confirmed that an attempt is over.
    End {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: u16,
        /// How it ended.
        end: End,
    },
    /// Corrects the room of a job's later attempts upwards to what was measured.
    Resize {
        /// The job's number.
        job: u32,
        /// The measured room.
        room: Room,
    },
    /// An operator's word that a task whose worker lapsed runs nowhere.
    Release {
        /// The task.
        task: TaskId,
    },
    /// Enters a gate, or its next life.
    Gate {
        /// Its name.
        name: String,
        /// Its life, larger after each restart.
        boot: u64,
    },
    /// A gate stops as planned and keeps nothing any more.
    Leave {
        /// The gate.
        gate: String,
        /// The life that leaves.
        boot: u64,
    },
    /// Makes a gate the keeper of a free unit.
    Keep {
        /// The unit.
        unit: Unit,
        /// The gate.
        gate: String,
    },
    /// A keeper hands a unit on, together with what it knows of it.
    Hand {
        /// The unit.
        unit: Unit,
        /// The keeper.
        from: String,
        /// The next keeper.
        to: String,
    },
    /// A host no longer reaches a subject.
    Suspect {
        /// The subject.
        subject: Subject,
    },
    /// A host reaches the subject after all.
    Clear {
        /// The subject.
        subject: Subject,
    },
    /// Every lease of a suspected subject has lapsed.
    Lapse {
        /// The subject.
        subject: Subject,
        /// The offset at which it was suspected.
        suspected: u64,
        /// The hosts that promised not to renew it.
        consents: Vec<String>,
    },
    /// What a gate has served since its start, by party and class.
    Used {
        /// The gate.
        gate: String,
        /// Its life.
        boot: u64,
        /// The party.
        party: String,
        /// The class.
        class: String,
        /// Requests answered by an upstream, since the start of this life.
        requests: u64,
        /// Time in slots, since the start of this life.
        busy: Millis,
    },
}
