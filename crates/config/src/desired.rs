//! The desired state of one scope, as a file holds it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use myrtle_base::Room;

use crate::{Megabytes, Span};

/// The whole desired state of a scope: `platform`, or the name of a party.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Desired {
    /// The scope that this file describes as a whole.
    pub scope: String,
    /// Places with their own hosts and upstreams; platform scope only.
    #[serde(default)]
    pub data_centres: BTreeMap<String, Centre>,
    /// Services that callers reach; platform scope only.
    #[serde(default)]
    pub services: BTreeMap<String, Service>,
    /// Priority classes with their prices; platform scope only.
    #[serde(default)]
    pub classes: BTreeMap<String, Class>,
    /// Parties with their limits; platform scope only.
    #[serde(default)]
    pub parties: BTreeMap<String, Party>,
    /// Batch jobs and watchers.
    #[serde(default)]
    pub jobs: BTreeMap<String, Job>,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Centre {
    /// The region it lies in.
    pub region: String,
    /// The hosts whose majority may give up a silent worker or gate.
    pub hosts: Vec<String>,
}

/// A latency-critical service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Requests that one upstream may run at once.
    pub slots: u32,
    /// Connections that one upstream may hold at once.
    pub connections: u32,
    /// The 99th percentile of latency that batch work must leave it.
    pub target: Span,
    /// The largest request body, in bytes.
    #[serde(default = "default_body")]
    pub max_body: u64,
}

/// A priority class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// What a party pays per second of use; dearer work goes first.
    pub price: i64,
    /// The deadline of a request that names none.
    pub deadline: Span,
}

/// A paying party.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Party {
    /// The SHA-256 of its token, in hexadecimal.
    pub token_sha256: String,
    /// Requests a second it may send in each data centre.
    pub rate: u32,
    /// The classes it may use.
    pub classes: Vec<String>,
}

/// What happens to a task whose worker cannot be reached.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WhenCut {
    /// It stops when its lease lapses and is started elsewhere.
    #[default]
    Yield,
    /// It goes on where it is and is never moved without an operator's word.
    Continue,
}

/// A batch job or a standing watcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The party that pays.
    pub party: String,
    /// The priority class.
    pub class: String,
    /// What it does, the key under which its interference is learned.
    pub kind: String,
    /// The data centre it runs in.
    pub data_centre: String,
    /// The number of tasks.
    #[serde(default = "one")]
    pub tasks: u32,
    /// Processor cores of a task.
    pub cores: f64,
    /// Memory of a task.
    pub memory: Megabytes,
    /// Accelerators of a task.
    #[serde(default)]
    pub accelerators: u32,
    /// The run time its owner expects; a watcher has none.
    #[serde(default)]
    pub run_time: Option<Span>,
    /// Runs until it is cancelled.
    #[serde(default)]
    pub watcher: bool,
    /// What happens in a cut.
    #[serde(default)]
    pub when_cut: WhenCut,
    /// Failures of a task before it stops for good.
    #[serde(default = "default_failures")]
    pub failures: u16,
}

impl Job {
    /// The room that one task takes.
    pub fn room(&self) -> Room {
        Room::new(self.cores, self.memory.0, self.accelerators)
    }
}

fn one() -> u32 {
    1
}

fn default_failures() -> u16 {
    5
}

fn default_body() -> u64 {
    1 << 20
}
