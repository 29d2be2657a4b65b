//! The desired state of one scope, as in a configuration file.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use myrtle_base::Room;

use crate::{Megabytes, Span};

/// The complete desired state of a scope: `platform` or the name of a customer.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Desired {
    /// The scope.
    pub scope: String,
    /// Data centres with their own hosts and upstreams; platform scope only.
    #[serde(default)]
    pub data_centres: BTreeMap<String, DataCentre>,
    /// Services that clients call; platform scope only.
    #[serde(default)]
    pub services: BTreeMap<String, Service>,
    /// Priority classes with their prices; platform scope only.
    #[serde(default)]
    pub classes: BTreeMap<String, Class>,
    /// Customers with their limits; platform scope only.
    #[serde(default, rename = "parties")]
    pub customers: BTreeMap<String, Customer>,
    /// Batch jobs and watchers (long-running jobs).
    #[serde(default)]
    pub jobs: BTreeMap<String, Job>,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The region of the data centre.
    pub region: String,
    /// The hosts a majority of which may declare a silent worker or gate lapsed.
    pub hosts: Vec<String>,
}

/// A latency-critical service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The most concurrent requests of one upstream.
    pub slots: u32,
    /// The most concurrent connections to one upstream.
    pub connections: u32,
    /// The target of its 99th percentile latency, which batch work must not make it miss.
    pub target: Span,
    /// The largest request body, in bytes; 1 MiB by default.
    #[serde(default = "default_body")]
    pub max_body: u64,
}

/// A priority class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The price of a second of use; work with a higher price goes first.
    pub price: i64,
    /// The default deadline of a request.
    pub deadline: Span,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The hexadecimal SHA-256 of its token.
    pub token_sha256: String,
    /// The most requests per second in each data centre.
    pub rate: u32,
    /// The priority classes that it may use.
    pub classes: Vec<String>,
}

/// What happens to a task whose worker is unreachable.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OnUnreachable {
    /// The task stops when its lease lapses, and another worker starts it.
    #[default]
    Yield,
    /// The task continues on its worker until an operator releases it.
    Continue,
}

/// A batch job or a watcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The customer that pays.
    #[serde(rename = "party")]
    pub customer: String,
    /// The priority class.
    pub class: String,
    /// The kind of its work; interference is learned for each kind.
    pub kind: String,
    /// The data centre in which it runs.
    pub data_centre: String,
    /// The number of tasks, 1 by default.
    #[serde(default = "default_tasks")]
    pub tasks: u32,
    /// The processor cores of a task.
    pub cores: f64,
    /// The memory of a task.
    pub memory: Megabytes,
    /// The accelerators of a task.
    #[serde(default)]
    pub accelerators: u32,
    /// The expected run time of a task; none for a watcher.
    #[serde(default)]
    pub run_time: Option<Span>,
    /// Whether it is a watcher, which runs until it is cancelled.
    #[serde(default)]
    pub watcher: bool,
    /// What happens to a task whose worker is unreachable.
    #[serde(default, rename = "when_cut")]
    pub on_unreachable: OnUnreachable,
    /// The number of failed attempts at which a task fails, 5 by default.
    #[serde(default = "default_failures")]
    pub failures: u16,
}

impl Job {
    /// The room that one task needs.
    pub fn room(&self) -> Room {
        Room::new(self.cores, self.memory.0, self.accelerators)
    }
}

fn default_tasks() -> u32 {
    1
}

fn default_failures() -> u16 {
    5
}

fn default_body() -> u64 {
    1 << 20
}
