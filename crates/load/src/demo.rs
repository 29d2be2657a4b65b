//! The demo: load, faults in mid-run, and a report.

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

use crate::callers::{Book, Caller, Mix, Order, drive};
use crate::check::{Report, judge, resumed};

/// Callers at once.
const CALLERS: u64 = 48;

/// How long the load lasts.
const LENGTH: Duration = Duration::from_secs(34);

/// The mean pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(25);

/// How long the hosts may take to get ready.
const READY: Duration = Duration::from_secs(15);

/// How long an answer of a control interface may take.
const LIMIT: Duration = Duration::from_secs(5);

/// Longer than a lease.
const FROZEN: Duration = Duration::from_secs(11);

/// Lines of the time line that are shown.
const SHOWN: usize = 60;

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

/// What the demo needs of the running system.
struct Stage {
    http: Http,
    control: SocketAddr,
    hosts: Vec<Host>,
    notes: Vec<String>,
    ring: Ring,
    began: Instant,
    loud: bool,
}

/// Runs the demo; false if a promise was broken.
pub async fn run(demo: &Demo) -> Result<bool, String> {
    let mut stage = Stage::open(demo).await?;
    let gates: Vec<SocketAddr> = stage.of(Role::Gate).map(|h| h.http).collect();
    let book = Arc::new(Book::default());
    let mix = Arc::new(mix(&demo.scene));
    let longer = if demo.freeze.is_some() { FROZEN } else { Duration::ZERO };
    let end = Instant::now() + LENGTH + longer;
    let callers = (0..CALLERS).map(|n| {
        let caller = Caller::new(book.clone());
        tokio::spawn(drive(caller, gates.clone(), mix.clone(), n, end, PAUSE))
    });
    let callers: Vec<_> = callers.collect();
    let faults = stage.faults(demo, &book, &mix, &gates).await;
    for caller in callers {
        let _ = caller.await;
    }
    let mut broken = faults?;
    let summary = stage.settle().await?;
    let mut report = judge(&book, &summary, demo.in_force_ms);
    report.broken.append(&mut broken);
    let line = stage.time_line().await;
    print(demo, &report, &stage.notes, &line);
    Ok(report.broken.is_empty())
}

impl Stage {
    async fn open(demo: &Demo) -> Result<Self, String> {
        let http = Http::default();
        let list = HostList::new(http.clone(), demo.hosts);
        let end = Instant::now() + READY;
        loop {
            let hosts = list.list().await.unwrap_or_default();
            let gates = hosts.iter().filter(|h| h.role == Role::Gate);
            let mut ready = 0;
            for gate in gates.clone() {
                let call = http.call(hyper::Method::GET, gate.http, "/readyz", vec![], LIMIT);
                ready += usize::from(call.await.is_ok());
            }
            if ready > 0 && ready == gates.count() {
                let began = Instant::now();
                let (control, loud) = (demo.hosts, !demo.json);
                let ring = Ring::new("demo");
                return Ok(Self { http, control, hosts, notes: Vec::new(), ring, began, loud });
            }
            if Instant::now() > end {
                return Err(format!("only {ready} gates are ready after {READY:?}"));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    fn of(&self, role: Role) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(move |h| h.role == role)
    }

    fn note(&mut self, text: impl Into<String>) {
        let word = text.into();
        let text = format!("{:>5} ms  {word}", self.began.elapsed().as_millis());
        if self.loud {
            println!("{text}");
        }
        self.notes.push(text);
        self.ring.add("demo", word);
    }

    /// Lets things fail one after the other; returns promises that were broken on the way.
    async fn faults(
        &mut self,
        demo: &Demo,
        book: &Arc<Book>,
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
        self.twice(book, mix, gates).await;
        tokio::time::sleep(Duration::from_secs(5)).await;
        self.control(json!({"log": "away"})).await?;
        self.note("the log is away");
        tokio::time::sleep(Duration::from_secs(4)).await;
        self.control(json!({"log": "ok"})).await?;
        self.note("the log is back");
        self.freeze_gate(demo).await?;
        tokio::time::sleep(Duration::from_secs(14)).await;
        let runs = self.runs().await?;
        if !resumed(&runs, &evicted) {
            broken.push(format!("the evicted task {evicted} did not resume"));
        }
        let lost: Vec<_> = orphans.iter().filter(|t| !moved(&runs, t, &victim)).collect();
        self.note(format!(
            "{} of {} tasks of {victim} run or ended elsewhere",
            orphans.len() - lost.len(),
            orphans.len()
        ));
        broken.extend(lost.iter().map(|t| format!("task {t} of {victim} did not resume")));
        self.control(json!({"worker": [victim, "ok"]})).await?;
        self.note(format!("worker {victim} is back in a new life"));
        Ok(broken)
    }

    /// Evicts a running task by an operator's word.
    async fn evict_task(&mut self) -> Result<String, String> {
        let runs = self.runs().await?;
        let running = runs.iter().rev().find(|r| r.to.is_none());
        let task = running.map(|r| r.task.clone()).ok_or("nothing runs")?;
        let centre = task.split('/').next().unwrap_or_default().to_string();
        let scheds: Vec<Host> =
            self.of(Role::Sched).filter(|h| h.data_centre == centre).cloned().collect();
        let mut last = String::new();
        for sched in scheds {
            let path = format!("/evict?task={task}");
            match self.http.post::<Value>(sched.http, &path, &(), LIMIT).await {
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

    /// Freezes a gate until its lease has lapsed, and lets it go on.
    async fn freeze_gate(&mut self, demo: &Demo) -> Result<(), String> {
        let Some(pid) = demo.freeze.map(Pid::from_raw) else { return Ok(()) };
        kill(pid, Signal::SIGSTOP).map_err(|e| e.to_string())?;
        self.note(format!("gate process {pid} frozen"));
        tokio::time::sleep(FROZEN).await;
        kill(pid, Signal::SIGCONT).map_err(|e| e.to_string())?;
        self.note(format!("gate process {pid} goes on"));
        Ok(())
    }

    /// Kills the worker with most tasks; returns its name and the tasks.
    async fn kill_worker(&mut self) -> Result<(String, Vec<String>), String> {
        let runs = self.runs().await?;
        let open = |name: &str| runs.iter().filter(|r| r.worker == name && r.to.is_none()).count();
        let names: Vec<String> = self.of(Role::Worker).map(|h| h.name.clone()).collect();
        let victim = names.into_iter().max_by_key(|n| open(n)).ok_or("no workers")?;
        let tasks = runs.iter().filter(|r| r.worker == victim && r.to.is_none());
        let tasks: Vec<String> = tasks.map(|r| r.task.clone()).collect();
        self.control(json!({"worker": [victim, "down"]})).await?;
        self.control(json!({"upstream": [victim, "close"]})).await?;
        self.note(format!("worker {victim} killed with {} tasks", tasks.len()));
        Ok((victim, tasks))
    }

    /// Sends one keyed request to two gates at the same moment.
    async fn twice(&mut self, book: &Arc<Book>, mix: &Mix, gates: &[SocketAddr]) {
        let caller = Caller::new(book.clone());
        let mut run = 0;
        for n in 0..20 {
            let order = Order {
                id: format!("twice-{n}"),
                party: mix.parties[0].clone(),
                class: mix.classes[0].0.clone(),
                safe: false,
                key: Some(Uuid::now_v7()),
                work: 3000,
                body: format!("twice {n}"),
            };
            let (a, b) = (gates[n % gates.len()], gates[(n + 1) % gates.len()]);
            let said = tokio::join!(caller.send(a, &order), caller.send(b, &order));
            run += usize::from(said.0 == said.1);
        }
        self.note(format!("20 keyed requests sent to two gates each, {run} answered at both"));
    }

    /// Waits until the jobs that end have ended, for a while, and reads the record.
    async fn settle(&mut self) -> Result<Summary, String> {
        tokio::time::sleep(Duration::from_secs(2)).await;
        self.http.get(self.control, "/record", LIMIT).await.map_err(|e| e.to_string())
    }

    async fn runs(&self) -> Result<Vec<Run>, String> {
        self.http.get(self.control, "/runs", LIMIT).await.map_err(|e| e.to_string())
    }

    async fn control(&self, order: Value) -> Result<(), String> {
        let done = self.http.post(self.control, "/control", &order, LIMIT).await;
        done.map_err(|e| e.to_string())
    }

    /// The events of all processes, in causal order.
    async fn time_line(&self) -> Vec<Event> {
        let mut events = self.ring.since(Stamp(0));
        for host in self.of(Role::Gate).chain(self.of(Role::Sched)) {
            let told = self.http.get::<Vec<Event>>(host.http, "/events", LIMIT).await;
            events.extend(told.unwrap_or_default());
        }
        events.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
        events
    }
}

/// Whether a task of a dead worker went on or had ended elsewhere.
fn moved(runs: &[Run], task: &str, victim: &str) -> bool {
    runs.iter().any(|r| r.task == task && r.worker != victim)
}

fn mix(scene: &str) -> Mix {
    let names = |list: &[&str]| list.iter().map(|n| n.to_string()).collect();
    match scene {
        "market" => Mix {
            parties: names(&["moebel", "autos", "wohnungen"]),
            classes: vec![("search".into(), 0.7), ("publish".into(), 0.3)],
            unsafe_part: 0.3,
            keyed_part: 0.8,
            work_us: 8000.0,
        },
        _ => Mix {
            parties: names(&["aegean", "epirus", "helios", "kyma", "olympus"]),
            classes: vec![("check".into(), 0.7), ("gate-close".into(), 0.3)],
            unsafe_part: 0.4,
            keyed_part: 0.8,
            work_us: 6000.0,
        },
    }
}

/// Whether an event belongs to what the demo shows, and not to every start and end of a task.
fn telling(event: &Event) -> bool {
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
    let first_life = event.text.contains("entered, life 1 ");
    let again = event.text.contains("entered, life");
    event.part == "demo" || !first_life && (again || WORDS.iter().any(|w| event.text.contains(w)))
}

fn print(demo: &Demo, report: &Report, notes: &[String], line: &[Event]) {
    if demo.json {
        println!("{}", json!(report));
        return;
    }
    println!("\ntime line (part of it; 'myrtlectl timeline' shows all {} events)", line.len());
    for event in line.iter().filter(|e| telling(e)).take(SHOWN) {
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
