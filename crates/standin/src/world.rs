//! A complete stand-in platform on loopback, with a control interface that injects faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use tokio::net::TcpListener;

use myrtle_base::Room;
use myrtle_platform::{Host, HttpRequest, Reply, Role, json, serve, text};

use crate::{Hosts, Log, LogMode, Record, Upstream, UpstreamMode, Worker, WorkerMode};

/// The configuration of a stand-in platform.
#[derive(Debug, Clone)]
pub struct WorldConfig {
    /// The data centres.
    pub centres: Vec<String>,
    /// The number of workers in each data centre.
    pub workers: usize,
    /// The service of every worker's upstream.
    pub service: String,
    /// The room of each worker for tasks.
    pub room: Room,
    /// The ratio of the room that tasks use to the room allocated to them.
    pub scale: f64,
    /// The delay of changes in the host list.
    pub lag: Duration,
    /// The number of records that the log retains of each stream.
    pub retained: usize,
}

impl Default for WorldConfig {
    fn default() -> Self {
        Self {
            centres: vec!["attiki-a".into()],
            workers: 4,
            service: "nomgate".into(),
            room: Room::new(32.0, 125_000, 2),
            scale: 0.7,
            lag: Duration::from_millis(300),
            retained: 100_000,
        }
    }
}

/// The number of workers in a rack.
const RACK_SIZE: usize = 8;

/// An injected fault or recovery.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Control {
    /// Changes the mode of the log.
    Log(LogMode),
    /// Changes the mode of a worker.
    Worker(String, WorkerMode),
    /// Changes the mode of an upstream, named by its worker.
    Upstream(String, UpstreamMode),
    /// Marks a host as leaving in the host list.
    Leave(String),
    /// Removes a host from the host list.
    Remove(String),
}

/// A running stand-in platform.
#[derive(Debug)]
pub struct World {
    /// The address of the log.
    pub log_at: SocketAddr,
    /// The address of the host list and the control interface.
    pub hosts_at: SocketAddr,
    /// The record of all stand-ins.
    pub record: Arc<Record>,
    /// The log.
    pub log: Arc<Log>,
    /// The host list.
    pub hosts: Arc<Hosts>,
    workers: BTreeMap<String, Arc<Worker>>,
    upstreams: BTreeMap<String, Arc<Upstream>>,
}

impl World {
    /// Starts all stand-ins on ports chosen by the system.
    pub async fn start(plan: &WorldConfig) -> std::io::Result<Arc<Self>> {
        let record = Arc::new(Record::default());
        let log = Arc::new(Log::new(plan.retained));
        let hosts = Arc::new(Hosts::new(plan.lag));
        let (log_port, hosts_port) = (bind().await?, bind().await?);
        let mut world = Self {
            log_at: log_port.local_addr()?,
            hosts_at: hosts_port.local_addr()?,
            record,
            log,
            hosts,
            workers: BTreeMap::new(),
            upstreams: BTreeMap::new(),
        };
        for centre in &plan.centres {
            for n in 0..plan.workers {
                world.add_worker(plan, centre, n).await?;
            }
        }
        let world = Arc::new(world);
        let log = world.log.clone();
        let on_log = move |ask| {
            let log = log.clone();
            async move { log.handle(ask).await }
        };
        tokio::spawn(serve(log_port, on_log));
        let shared = world.clone();
        let on_hosts = move |ask| {
            let world = shared.clone();
            async move { world.handle(ask).await }
        };
        tokio::spawn(serve(hosts_port, on_hosts));
        Ok(world)
    }

    /// Injects a fault or a recovery.
    pub fn control(&self, control: Control) -> Result<(), String> {
        match control {
            Control::Log(mode) => self.log.set(mode),
            Control::Worker(name, mode) => {
                self.workers.get(&name).ok_or(format!("unknown worker {name}"))?.set(mode);
            }
            Control::Upstream(name, mode) => {
                self.upstreams.get(&name).ok_or(format!("unknown upstream {name}"))?.set(mode);
            }
            Control::Leave(name) => self.hosts.leave(&name),
            Control::Remove(name) => self.hosts.remove(&name),
        }
        Ok(())
    }

    async fn handle(&self, ask: HttpRequest) -> Reply {
        match ask.path.as_str() {
            "/hosts" => self.hosts.handle(ask).await,
            "/record" => {
                let mut summary = self.record.summary();
                (summary.appends, summary.append_bytes) = self.log.appends();
                json(&summary)
            }
            "/runs" => json(&self.record.runs()),
            "/control" => match serde_json::from_slice(&ask.body) {
                Ok(control) => match self.control(control) {
                    Ok(()) => json(&()),
                    Err(e) => text(404, e),
                },
                Err(e) => text(400, e.to_string()),
            },
            _ => text(404, "unknown path; /hosts, /record, /runs and /control exist"),
        }
    }

    async fn add_worker(
        &mut self,
        plan: &WorldConfig,
        centre: &str,
        n: usize,
    ) -> std::io::Result<()> {
        let name = format!("{centre}-w{n:02}");
        let (control_port, upstream_port) = (bind().await?, bind().await?);
        let host = Host {
            name: name.clone(),
            role: Role::Worker,
            data_centre: centre.into(),
            rack: format!("{centre}-r{}", n / RACK_SIZE),
            http: control_port.local_addr()?,
            peer: upstream_port.local_addr()?,
            service: plan.service.clone(),
            room: plan.room,
            leaving: false,
        };
        let upstream = Arc::new(Upstream::new(&name, self.record.clone()));
        let (record, local_upstream) = (self.record.clone(), upstream.clone());
        let worker = Arc::new(Worker::new(&name, plan.room, plan.scale, record, local_upstream));
        tokio::spawn(worker.clone().run());
        tokio::spawn(upstream.clone().run(upstream_port));
        let shared = worker.clone();
        let on_sync = move |ask| {
            let worker = shared.clone();
            async move { worker.handle(ask).await }
        };
        tokio::spawn(serve(control_port, on_sync));
        self.hosts.update(host);
        self.workers.insert(name.clone(), worker);
        self.upstreams.insert(name, upstream);
        Ok(())
    }
}

async fn bind() -> std::io::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").await
}
