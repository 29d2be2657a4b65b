//! The settings of a front host, in YAML.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use myrtle_config::{Fault, read_file};
use myrtle_owner::Bounds;

use crate::capacity::Capacity;

/// The partitions of a topic where the settings name none.
const USUAL_PARTS: usize = 24;

/// The largest cell of a host that does not tell what it has, in workers: one of 0.12 cores and a
/// link of 10 megabits a second carries as many.
const USUAL_CELL: usize = 110;

/// What a front host needs to know before it can ask anybody.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The host's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Every data centre of the deployment.
    pub data_centres: Vec<String>,
    /// Where clients connect.
    pub clients: SocketAddr,
    /// Where readiness is asked for.
    pub checks: SocketAddr,
    /// The host's address.
    pub ip: IpAddr,
    /// The first of the ports that are free for traffic between hosts.
    pub peer_port: u16,
    /// Where metrics are told, if anywhere.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The shortest time after which the store gives a silent member up, in milliseconds.
    pub member_ttl: u64,
    /// The service that gives out tickets, if there is one.
    #[serde(default)]
    pub tickets: Option<SocketAddr>,
    /// The service that keeps up machines, if there is one.
    #[serde(default)]
    pub machines: Option<SocketAddr>,
    /// How workers form cells.
    #[serde(default)]
    pub cells: Cells,
    /// How many partitions a topic of the store may have; each cell has one of its own.
    #[serde(default = "usual_parts")]
    pub parts: usize,
    /// What the host has, if that is told.
    #[serde(default)]
    pub capacity: Option<Capacity>,
    /// The deployment's figures.
    pub bounds: Figures,
}

/// How workers form cells, each with an owner of its own.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cells {
    /// As many as the workers listed at the first start call for.
    #[default]
    Auto,
    /// One of all workers.
    One,
    /// One or more of each data centre.
    DataCentre,
}

/// The deployment's figures, in the units that the platform tells them in.
#[derive(Debug, Clone, Deserialize)]
pub struct Figures {
    /// The longest lease of a worker, in milliseconds.
    pub hold: u64,
    /// The longest stop of a run, in milliseconds.
    pub stop: u64,
    /// How long a serving task may be over its target, in milliseconds.
    pub harm: u64,
    /// How long a job's state is kept, in seconds.
    pub status: f64,
    /// The time between the order to stop and the end by force, in seconds.
    pub grace: f64,
    /// The time after which a host that lost the store counts as out of touch, in milliseconds.
    pub contact: u64,
}

fn usual_parts() -> usize {
    USUAL_PARTS
}

impl Settings {
    /// Reads and checks a settings file.
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
        if settings.bounds.hold == 0 || settings.member_ttl == 0 {
            let hint = "give a time above 0";
            return Err(Fault::at(&file, &text, &["bounds"], "a time is 0".into(), hint));
        }
        Ok(settings)
    }

    /// The largest cell that this host can own, in workers.
    pub fn carries(&self) -> usize {
        self.capacity.map_or(USUAL_CELL, |c| c.workers())
    }

    /// Where peers connect.
    pub fn peer(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }

    /// What binds an owner.
    pub fn owner_bounds(&self) -> Bounds {
        let f = &self.bounds;
        Bounds { hold: f.hold, stop: f.stop, harm: f.harm, status: (f.status * 1000.0) as u64 }
    }

    /// The time between the order to stop and the end by force.
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.bounds.grace).unwrap_or_default()
    }
}
