//! The demo: load, injected faults, and a report.

mod faults;
mod print;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use serde_json::{Value, json};

use myrtle_base::{Event, Ring, Stamp};
use myrtle_platform::{Caller as Http, Host, HostList, Role};
use myrtle_standin::{Run, Summary};

use crate::callers::{Caller, Log, Mix, drive};
use crate::check::{judge, resumed};

use faults::FREEZE_TIME;
use print::print;

/// Concurrent callers.
const CALLERS: u64 = 48;

/// How long the load lasts.
const DURATION: Duration = Duration::from_secs(34);

/// The mean pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(25);

/// How long gates may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout of calls to hosts and to the stand-in.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// run the demo against started stand-ins and hosts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// the host list and control interface of the stand-in
    #[argh(option)]
    hosts: SocketAddr,
    /// gas or market
    #[argh(option, default = "String::from(\"gas\")")]
    scene: String,
    /// the process id of a sched to kill in mid-run
    #[argh(option)]
    kill: Option<i32>,
    /// the process id of a gate to freeze for longer than its lease
    #[argh(option)]
    freeze: Option<i32>,
    /// how long the configuration took to be in force
    #[argh(option, default = "0")]
    in_force_ms: u64,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

/// State of a demo run against the running system.
struct Session {
    http: Http,
    control: SocketAddr,
    hosts: Vec<Host>,
    notes: Vec<String>,
    ring: Ring,
    start: Instant,
    verbose: bool,
}

/// Runs the demo; returns false if a guarantee was violated.
pub async fn run(demo: &Demo) -> Result<bool, String> {
    let mut session = Session::open(demo).await?;
    let gates: Vec<SocketAddr> = session.hosts_of(Role::Gate).map(|h| h.http).collect();
    let log = Arc::new(Log::default());
    let mix = Arc::new(mix(&demo.scene));
    let longer = if demo.freeze.is_some() { FREEZE_TIME } else { Duration::ZERO };
    let end = Instant::now() + DURATION + longer;
    let callers = (0..CALLERS).map(|n| {
        let caller = Caller::new(log.clone());
        tokio::spawn(drive(caller, gates.clone(), mix.clone(), n, end, PAUSE))
    });
    let callers: Vec<_> = callers.collect();
    let faults = session.faults(demo, &log, &mix, &gates).await;
    for caller in callers {
        let _ = caller.await;
    }
    let mut broken = faults?;
    let summary = session.settle().await?;
    let mut report = judge(&log, &summary, demo.in_force_ms);
    report.broken.append(&mut broken);
    let events = session.timeline().await;
    print(demo, &report, &session.notes, &events);
    Ok(report.broken.is_empty())
}

impl Session {
    async fn open(demo: &Demo) -> Result<Self, String> {
        let http = Http::default();
        let list = HostList::new(http.clone(), demo.hosts);
        let end = Instant::now() + READY_TIMEOUT;
        loop {
            let hosts = list.list().await.unwrap_or_default();
            let gates = hosts.iter().filter(|h| h.role == Role::Gate);
            let mut ready = 0;
            for gate in gates.clone() {
                let call =
                    http.call(hyper::Method::GET, gate.http, "/readyz", vec![], CALL_TIMEOUT);
                ready += usize::from(call.await.is_ok());
            }
            if ready > 0 && ready == gates.count() {
                let start = Instant::now();
                let (control, verbose) = (demo.hosts, !demo.json);
                let ring = Ring::new("demo");
                return Ok(Self { http, control, hosts, notes: Vec::new(), ring, start, verbose });
            }
            if Instant::now() > end {
                return Err(format!("only {ready} gates are ready after {READY_TIMEOUT:?}"));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    fn hosts_of(&self, role: Role) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(move |h| h.role == role)
    }

    fn note(&mut self, text: impl Into<String>) {
        let message = text.into();
        let text = format!("{:>5} ms  {message}", self.start.elapsed().as_millis());
        if self.verbose {
            println!("{text}");
        }
        self.notes.push(text);
        self.ring.add("demo", message);
    }

    /// Injects the faults in sequence and returns the guarantees violated on the way.
    async fn faults(
        &mut self,
        demo: &Demo,
        log: &Arc<Log>,
        mix: &Mix,
        gates: &[SocketAddr],
    ) -> Result<Vec<String>, String> {
        let mut broken = Vec::new();
        self.note(format!("load from {CALLERS} callers through {} gates", gates.len()));
        tokio::time::sleep(Duration::from_secs(4)).await;
        let evicted = self.evict_task().await?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        self.kill_sched(demo)?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (victim, orphans) = self.kill_worker().await?;
        self.send_twice(log, mix, gates).await;
        tokio::time::sleep(Duration::from_secs(5)).await;
        self.control(json!({"log": "away"})).await?;
        self.note("the log is unavailable");
        tokio::time::sleep(Duration::from_secs(4)).await;
        self.control(json!({"log": "ok"})).await?;
        self.note("the log is available");
        self.freeze_gate(demo).await?;
        tokio::time::sleep(Duration::from_secs(14)).await;
        let runs = self.runs().await?;
        if !resumed(&runs, &evicted) {
            broken.push(format!("the evicted task {evicted} did not resume"));
        }
        let lost: Vec<_> = orphans.iter().filter(|t| !ran_elsewhere(&runs, t, &victim)).collect();
        self.note(format!(
            "{} of {} tasks of {victim} ran on other workers",
            orphans.len() - lost.len(),
            orphans.len()
        ));
        broken.extend(lost.iter().map(|t| format!("task {t} of {victim} did not resume")));
        self.control(json!({"worker": [victim, "ok"]})).await?;
        self.note(format!("worker {victim} is back as a new incarnation"));
        Ok(broken)
    }

    /// Waits 2 s for jobs to end and reads the stand-in's record.
    async fn settle(&mut self) -> Result<Summary, String> {
        tokio::time::sleep(Duration::from_secs(2)).await;
        self.http.get(self.control, "/record", CALL_TIMEOUT).await.map_err(|e| e.to_string())
    }

    async fn runs(&self) -> Result<Vec<Run>, String> {
        self.http.get(self.control, "/runs", CALL_TIMEOUT).await.map_err(|e| e.to_string())
    }

    async fn control(&self, control: Value) -> Result<(), String> {
        let done = self.http.post(self.control, "/control", &control, CALL_TIMEOUT).await;
        done.map_err(|e| e.to_string())
    }

    /// The events of all processes, in causal sequence.
    async fn timeline(&self) -> Vec<Event> {
        let mut events = self.ring.since(Stamp(0));
        for host in self.hosts_of(Role::Gate).chain(self.hosts_of(Role::Sched)) {
            let reply = self.http.get::<Vec<Event>>(host.http, "/events", CALL_TIMEOUT).await;
            events.extend(reply.unwrap_or_default());
        }
        events.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
        events
    }
}

/// Returns whether a task of a killed worker ran on another worker.
fn ran_elsewhere(runs: &[Run], task: &str, victim: &str) -> bool {
    runs.iter().any(|r| r.task == task && r.worker != victim)
}

fn mix(scene: &str) -> Mix {
    let names = |list: &[&str]| list.iter().map(|n| n.to_string()).collect();
    match scene {
        "market" => Mix {
            customers: names(&["moebel", "autos", "wohnungen"]),
            classes: vec![("search".into(), 0.7), ("publish".into(), 0.3)],
            unsafe_share: 0.3,
            keyed_share: 0.8,
            work_us: 8000.0,
        },
        _ => Mix {
            customers: names(&["aegean", "epirus", "helios", "kyma", "olympus"]),
            classes: vec![("check".into(), 0.7), ("gate-close".into(), 0.3)],
            unsafe_share: 0.4,
            keyed_share: 0.8,
            work_us: 6000.0,
        },
    }
}
