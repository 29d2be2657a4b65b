//! The host list: who is there and who is leaving, some time ago.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use myrtle_base::Room;

use crate::{Caller, Failure};

/// How long a look at the list may take.
const LIMIT: Duration = Duration::from_secs(2);

/// What a host is.
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

/// One line of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// What it is.
    pub role: Role,
    /// Its data centre.
    pub data_centre: String,
    /// Its rack, for workers.
    #[serde(default)]
    pub rack: String,
    /// Its HTTP address: the control interface of a worker, or the port of a gate or sched.
    pub http: SocketAddr,
    /// Where a gate or sched listens for its peers, or where a worker's upstream serves.
    pub peer: SocketAddr,
    /// The service whose upstream a worker runs.
    #[serde(default)]
    pub service: String,
    /// What a worker has for tasks.
    #[serde(default)]
    pub room: Room,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// What a data centre's hosts need of the list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// A mark of the part's content.
    pub mark: u64,
    /// The data centre's hosts and the gates of the others; nothing if the mark is the known one.
    pub hosts: Option<Vec<Host>>,
}

/// A client of the host list.
#[derive(Debug, Clone)]
pub struct HostList {
    caller: Caller,
    at: SocketAddr,
}

impl HostList {
    /// A client of the list at `at`.
    pub fn new(caller: Caller, at: SocketAddr) -> Self {
        Self { caller, at }
    }

    /// The part of the list that a data centre needs, unless its mark is `known`.
    pub async fn part(&self, centre: &str, known: u64) -> Result<Part, Failure> {
        let path = format!("/hosts?data_centre={centre}&known={known}");
        self.caller.get(self.at, &path, LIMIT).await
    }

    /// The whole list as the platform tells it now.
    pub async fn list(&self) -> Result<Vec<Host>, Failure> {
        self.caller.get(self.at, "/hosts", LIMIT).await
    }

    /// Enters a host, or its new addresses.
    pub async fn enter(&self, host: &Host) -> Result<(), Failure> {
        self.caller.post(self.at, "/hosts", host, LIMIT).await
    }
}
