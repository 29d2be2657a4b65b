//! The client of the host list, which lists hosts and whether they are leaving, with some delay.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use myrtle_base::Room;

use crate::{Caller, Failure};

/// The timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The role of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A gate on an entry host.
    Gate,
    /// A sched on an entry host.
    Sched,
    /// A worker with its upstream.
    Worker,
}

/// An entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the host.
    pub name: String,
    /// The role of the host.
    pub role: Role,
    /// The data centre of the host.
    pub data_centre: String,
    /// The rack, for workers.
    #[serde(default)]
    pub rack: String,
    /// The HTTP address: the control interface of a worker, or the port of a gate or sched.
    pub http: SocketAddr,
    /// The address where a gate or sched listens for peers, or where a worker's upstream serves.
    pub peer: SocketAddr,
    /// The service whose upstream a worker runs.
    #[serde(default)]
    pub service: String,
    /// The room of a worker for tasks.
    #[serde(default)]
    pub room: Room,
    /// Whether the host is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The entries of the list that the hosts of one data centre need.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSubset {
    /// A hash of these entries.
    pub mark: u64,
    /// The data centre's hosts and the gates of the others; `None` if `mark` equals the caller's.
    pub hosts: Option<Vec<Host>>,
}

/// A client of the host list.
#[derive(Debug, Clone)]
pub struct HostList {
    caller: Caller,
    at: SocketAddr,
}

impl HostList {
    /// Creates a client of the list at `at`.
    pub fn new(caller: Caller, at: SocketAddr) -> Self {
        Self { caller, at }
    }

    /// Fetches the entries that a data centre needs, without hosts if their hash is `known`.
    pub async fn subset(&self, centre: &str, known: u64) -> Result<HostSubset, Failure> {
        let path = format!("/hosts?data_centre={centre}&known={known}");
        self.caller.get(self.at, &path, TIMEOUT).await
    }

    /// Fetches the whole list.
    pub async fn list(&self) -> Result<Vec<Host>, Failure> {
        self.caller.get(self.at, "/hosts", TIMEOUT).await
    }

    /// Adds a host or updates its entry.
    pub async fn update(&self, host: &Host) -> Result<(), Failure> {
        self.caller.post(self.at, "/hosts", host, TIMEOUT).await
    }
}
