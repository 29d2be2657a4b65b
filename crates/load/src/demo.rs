//! The demo: load, injected faults, and a report.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use uuid::Uuid;

use myrtle_base::{Event, Ring, Stamp};
use myrtle_platform::{Caller as Http, Host, HostList, Role};
use myrtle_standin::{Run, Summary};

use crate::callers::{Call, Caller, Log, Mix, drive};
use crate::check::{Report, judge, resumed};

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

/// How long a gate is frozen, longer than its lease.
const FREEZE_TIME: Duration = Duration::from_secs(11);

/// Most events of the timeline that are printed.
const MAX_EVENTS: usize = 60;

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

    /// Evicts a running task as an operator would.
    async fn evict_task(&mut self) -> Result<String, String> {
        let runs = self.runs().await?;
        let running = runs.iter().rev().find(|r| r.to.is_none());
        let task = running.map(|r| r.task.clone()).ok_or("no task is running")?;
        let centre = task.split('/').next().unwrap_or_default().to_string();
        let scheds: Vec<Host> =
            self.hosts_of(Role::Sched).filter(|h| h.data_centre == centre).cloned().collect();
        let mut last = String::new();
        for sched in scheds {
            let path = format!("/evict?task={task}");
            match self.http.post::<Value>(sched.http, &path, &(), CALL_TIMEOUT).await {
                Ok(_) => {
                    self.note(format!("task {task} evicted by an operator"));
                    return Ok(task);
                }
                Err(e) => last = e.to_string(),
            }
        }
        Err(format!("cannot evict {task}: {last}"))
    }

    fn kill_sched(&mut self, demo: &Demo) -> Result<(), String> {
        let Some(pid) = demo.kill else { return Ok(()) };
        kill(Pid::from_raw(pid), Signal::SIGKILL).map_err(|e| e.to_string())?;
        self.note(format!("sched process {pid} killed"));
        Ok(())
    }

    /// Freezes a gate until its lease has expired, then resumes it.
    async fn freeze_gate(&mut self, demo: &Demo) -> Result<(), String> {
        let Some(pid) = demo.freeze.map(Pid::from_raw) else { return Ok(()) };
        kill(pid, Signal::SIGSTOP).map_err(|e| e.to_string())?;
        self.note(format!("gate process {pid} frozen"));
        tokio::time::sleep(FREEZE_TIME).await;
        kill(pid, Signal::SIGCONT).map_err(|e| e.to_string())?;
        self.note(format!("gate process {pid} resumed"));
        Ok(())
    }

    /// Kills the worker with the most tasks; returns its name and the tasks.
    async fn kill_worker(&mut self) -> Result<(String, Vec<String>), String> {
        let runs = self.runs().await?;
        let open = |name: &str| runs.iter().filter(|r| r.worker == name && r.to.is_none()).count();
        let names: Vec<String> = self.hosts_of(Role::Worker).map(|h| h.name.clone()).collect();
        let victim = names.into_iter().max_by_key(|n| open(n)).ok_or("no worker is listed")?;
        let tasks = runs.iter().filter(|r| r.worker == victim && r.to.is_none());
        let tasks: Vec<String> = tasks.map(|r| r.task.clone()).collect();
        self.control(json!({"worker": [victim, "down"]})).await?;
        self.control(json!({"upstream": [victim, "close"]})).await?;
        self.note(format!("worker {victim} killed with {} tasks", tasks.len()));
        Ok((victim, tasks))
    }

    /// Sends each of 20 keyed requests to two gates concurrently.
    async fn send_twice(&mut self, log: &Arc<Log>, mix: &Mix, gates: &[SocketAddr]) {
        let caller = Caller::new(log.clone());
        let mut same = 0;
        for n in 0..20 {
            let call = Call {
                id: format!("twice-{n}"),
                customer: mix.customers[0].clone(),
                class: mix.classes[0].0.clone(),
                safe: false,
                key: Some(Uuid::now_v7()),
                work: 3000,
                body: format!("twice {n}"),
            };
            let (a, b) = (gates[n % gates.len()], gates[(n + 1) % gates.len()]);
            let outcomes = tokio::join!(caller.send(a, &call), caller.send(b, &call));
            same += usize::from(outcomes.0 == outcomes.1);
        }
        self.note(format!(
            "20 keyed requests sent to two gates each, {same} with the same outcome at both"
        ));
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

/// Returns whether the demo prints an event; starts and ends of tasks are left out.
fn is_shown(event: &Event) -> bool {
    const WORDS: [&str; 8] = [
        "evicted",
        "suspected",
        "given up",
        "contact",
        "Stopped",
        "to stop",
        "rejected",
        "in force",
    ];
    let first_start = event.text.contains("entered, life 1 ");
    let again = event.text.contains("entered, life");
    event.part == "demo" || !first_start && (again || WORDS.iter().any(|w| event.text.contains(w)))
}

fn print(demo: &Demo, report: &Report, notes: &[String], events: &[Event]) {
    if demo.json {
        println!("{}", json!(report));
        return;
    }
    println!("\ntimeline (excerpt; 'myrtlectl timeline' shows all {} events)", events.len());
    for event in events.iter().filter(|e| is_shown(e)).take(MAX_EVENTS) {
        let ms = event.stamp.millis() % 1_000_000;
        println!("  {ms:>6} {:14} {:7} {}", event.host, event.part, event.text);
    }
    println!("\nreport");
    println!("  answered     {}", report.answered);
    println!("  refused      {:?}", report.refused);
    println!("  unanswered   {}", report.unanswered);
    println!("  started      {}", report.started);
    println!("  evicted      {}", report.evicted);
    println!("  resumed      {}", report.resumed);
    println!("  lost         {}", report.lost);
    println!("  doubled      {}", report.doubled);
    println!("  in force     {} ms", report.in_force_ms);
    println!("  most slots   {} of 8, connections {} of 64", report.most_busy, report.most_open);
    println!("  appends      {}", report.appends);
    for (class, p) in &report.latency_us {
        println!("  {class:12} p50 {} us, p99 {} us, p99.9 {} us", p.p50, p.p99, p.p999);
    }
    println!("  {} steps, {} promises broken", notes.len(), report.broken.len());
    report.broken.iter().for_each(|text| println!("  BROKEN: {text}"));
}
