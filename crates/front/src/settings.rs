//! The settings file of a front host, in YAML.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use myrtle_config::{Fault, read_file};
use myrtle_owner::TimeLimits;

use crate::capacity::Capacity;
use crate::clients::HostLimits;

/// The number of partitions of a topic if the settings name none.
const DEFAULT_PARTITIONS: usize = 24;

/// The capacity of a host whose settings name none, in workers: that of 0.12 cores and a link of 10 megabits a second.
const DEFAULT_WORKERS: usize = 110;

/// The settings that a front host needs before it can reach the store.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The host's name.
    pub name: String,
    /// The host's data centre.
    pub data_centre: String,
    /// Every data centre of the deployment.
    pub data_centres: Vec<String>,
    /// The address for clients.
    pub clients: SocketAddr,
    /// The address for readiness checks.
    pub checks: SocketAddr,
    /// The host's address.
    pub ip: IpAddr,
    /// The first of the ports that are free for traffic between hosts.
    pub peer_port: u16,
    /// The address for readers of metrics, if there is one.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The shortest time to live of a group membership that the store allows, in milliseconds.
    pub member_ttl: u64,
    /// The address of the ticket service, if there is one.
    #[serde(default)]
    pub tickets: Option<SocketAddr>,
    /// The address of the machine service, if there is one.
    #[serde(default)]
    pub machines: Option<SocketAddr>,
    /// How workers are divided into cells.
    #[serde(default)]
    pub cells: Cells,
    /// The number of partitions that a topic of the store may have; each cell uses its own.
    #[serde(default = "default_partitions")]
    pub parts: usize,
    /// The host's processors and link, if they are given.
    #[serde(default)]
    pub capacity: Option<Capacity>,
    /// How much the process may hold.
    #[serde(default)]
    pub limits: HostLimits,
    /// The deployment's time limits.
    pub bounds: Figures,
}

/// How workers are divided into cells.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cells {
    /// As few cells as the hosts at the first start can own.
    #[default]
    Auto,
    /// One cell for all workers.
    One,
    /// One or more cells for each data centre.
    DataCentre,
}

/// The deployment's time limits, in the units that the platform uses.
#[derive(Debug, Clone, Deserialize)]
pub struct Figures {
    /// The longest lease of a worker, in milliseconds.
    pub hold: u64,
    /// The longest stop of a run, in milliseconds.
    pub stop: u64,
    /// The longest time that a serving task may exceed its latency target, in milliseconds.
    pub harm: u64,
    /// How long a job's state is kept, in seconds.
    pub status: f64,
    /// The time between the signal to stop and the kill, in seconds.
    pub grace: f64,
    /// The time without a good answer of the store after which a host counts as out of contact, in milliseconds.
    pub contact: u64,
}

fn default_partitions() -> usize {
    DEFAULT_PARTITIONS
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed, or if a setting is invalid.
    pub fn load(path: &Path) -> Result<Self, Fault> {
        let (settings, text): (Settings, String) = read_file(path)?;
        let file = path.display().to_string();
        if !settings.data_centres.contains(&settings.data_centre) {
            let what = format!("'{}' is not one of data_centres", settings.data_centre);
            let hint = "name the host's data centre as the list does";
            return Err(Fault::at(&file, &text, &["data_centre"], what, hint));
        }
        if settings.parts == 0 {
            let hint = "give the store's number of partitions a topic";
            return Err(Fault::at(&file, &text, &["parts"], "there is no partition".into(), hint));
        }
        if settings.capacity.is_some_and(|c| c.share <= 0.0 || c.cores <= 0.0 || c.link <= 0.0) {
            let hint = "give figures above 0, or leave capacity out";
            return Err(Fault::at(&file, &text, &["capacity"], "a figure is 0".into(), hint));
        }
        if let Some((name, what, hint)) = settings.limits.fault() {
            return Err(Fault::at(&file, &text, &["limits", name], what, hint));
        }
        if settings.bounds.hold == 0 || settings.member_ttl == 0 {
            let hint = "give a time above 0";
            return Err(Fault::at(&file, &text, &["bounds"], "a time is 0".into(), hint));
        }
        Ok(settings)
    }

    /// The host's capacity, in workers.
    pub fn max_workers(&self) -> usize {
        self.capacity.map_or(DEFAULT_WORKERS, |c| c.workers())
    }

    /// The address for peers.
    pub fn peer(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }

    /// The time limits of an owner.
    pub fn owner_bounds(&self) -> TimeLimits {
        let figures = &self.bounds;
        TimeLimits {
            max_lease: figures.hold,
            max_stop: figures.stop,
            throttle_after: figures.harm,
            status_ttl: (figures.status * 1000.0) as u64,
        }
    }

    /// The time between the signal to stop and the kill.
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.bounds.grace).unwrap_or_default()
    }
}
