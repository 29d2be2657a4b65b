//! The state of a cell.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use myrtle_base::{Millis, Room};

use crate::{JobState, Resource, Spec, State, TaskId};

/// Whether the leases of a worker or gate may be renewed.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Its leases may be renewed.
    #[default]
    Up,
    /// A host can't reach it; a host whose fold holds this renews no lease of it.
    Suspect {
        /// The offset of the suspicion.
        offset: u64,
        /// The log time of the suspicion.
        since: Millis,
    },
    /// Its leases have lapsed; its tasks or resources are free.
    Lapsed,
}

/// A worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Its rack.
    pub rack: String,
    /// Its total room.
    pub room: Room,
    /// The room of its attempts.
    pub used: Room,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether its leases may be renewed.
    pub health: Health,
    /// Whether it is draining and gets no new tasks.
    pub draining: bool,
    /// The jobs of its latest consecutive failures.
    pub failures: Vec<u32>,
    /// The end of its backoff in log time, after which one probe task runs.
    pub backoff_until: Option<Millis>,
    /// The tasks assigned to it.
    pub tasks: BTreeSet<TaskId>,
}

/// A job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Job {
    /// Its name.
    pub name: String,
    /// The version of the configuration that defined it.
    pub version: u64,
    /// Its specification.
    pub spec: Spec,
    /// The room of its next attempts, at least that of the specification.
    pub room: Room,
    /// Its state.
    pub state: JobState,
    /// The number of tasks that are not over.
    pub open: u32,
    /// The number of tasks that succeeded.
    pub done: u32,
    /// The first workers, at most two, on which one of its tasks failed.
    pub failed_workers: Vec<u32>,
    /// The log time of the end of its last task.
    pub closed_at: Option<Millis>,
}

impl Job {
    /// The only worker on which its tasks failed, if there is exactly one.
    ///
    /// Either the worker or the job is at fault; the next attempt on another worker shows which.
    pub fn sole_failure(&self) -> Option<u32> {
        match self.failed_workers[..] {
            [only] => Some(only),
            _ => None,
        }
    }
}

/// A task.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Task {
    /// Its state.
    pub state: State,
    /// The number of the newest attempt, 0 before the first.
    pub attempt: u16,
    /// The number of failed attempts.
    pub failures: u16,
    /// The number of evicted attempts.
    pub evictions: u16,
    /// The newest confirmed checkpoint.
    pub checkpoint: u32,
    /// The log time before which it can't be claimed.
    pub not_before: Millis,
    /// The worker of its last failed attempt.
    pub failed_worker: Option<u32>,
    /// The log time of its last change of state.
    pub since: Millis,
    /// The room of its current attempt.
    pub reserved: Room,
}

/// A gate.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Gate {
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether its leases may be renewed.
    pub health: Health,
    /// The usage of this incarnation that is already added to the totals, by customer and class.
    pub counted: BTreeMap<(String, String), Usage>,
}

/// The coordinator of a resource.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Coordinator {
    /// The gate.
    pub gate: String,
    /// The log time after which no earlier coordinator used the resource; 0 if there was none.
    pub since: Millis,
    /// Increases with each change of the coordinator.
    pub term: u64,
    /// Whether an earlier coordinator passed it on, whose allocations may still be in use.
    pub reassigned: bool,
}

/// Billed usage.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Usage {
    /// The number of requests that an upstream answered.
    pub requests: u64,
    /// The time in slots of upstreams or on workers.
    pub busy: Millis,
}

/// The state of a cell after a prefix of its stream.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// The offset of the next record to fold.
    pub next: u64,
    /// The log time of the last record.
    pub now: Millis,
    /// The hosts a majority of which may declare a worker or gate lapsed.
    pub voters: BTreeSet<String>,
    /// The workers, indexed by number.
    pub workers: Vec<Worker>,
    /// The jobs by number.
    pub jobs: BTreeMap<u32, Job>,
    /// The tasks of these jobs.
    pub tasks: BTreeMap<TaskId, Task>,
    /// The pending tasks, ordered by falling price.
    pub pending: BTreeSet<(u32, TaskId)>,
    /// The gates by name.
    pub gates: BTreeMap<String, Gate>,
    /// The coordinators of resources.
    pub resources: BTreeMap<Resource, Coordinator>,
    /// The log time after which the last coordinator of a free resource no longer used it.
    pub freed_at: BTreeMap<Resource, Millis>,
    /// The usage by customer and class.
    pub usage: BTreeMap<(String, String), Usage>,
    pub(crate) next_job: u32,
    pub(crate) next_term: u64,
    pub(crate) writers: BTreeMap<u64, (u64, Millis)>,
    /// How often a worker restarted soon after it had started a task.
    pub(crate) crashes: BTreeMap<TaskId, u16>,
}
