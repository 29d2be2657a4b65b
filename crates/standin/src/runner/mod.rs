//! A worker that runs tasks of jobs as the platform's workers do: fences, leases, ends.

mod book;
mod calls;
mod process;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use process::Process;

pub use book::{Book, Seen};

/// The longest lease, in milliseconds.
const HOLD: u64 = 10_000;

/// How long a task works before it crashes its worker.
const CRASHES_AFTER: Duration = Duration::from_millis(10);

/// How long a crashed worker is away.
const AWAY: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
struct Run {
    number: u32,
    from: Instant,
}

#[derive(Debug, Default)]
struct State {
    fence: u64,
    until: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<(u64, String, u32, &'static str)>,
    barred: BTreeMap<String, u32>,
    count: u64,
}

/// A running worker.
#[derive(Debug)]
pub struct Runner {
    /// Its name, which is the name of this life.
    pub name: String,
    /// Where it takes orders.
    pub at: SocketAddr,
    /// How long it works on each task.
    work: Duration,
    process: Mutex<Process>,
    /// Whether its process is down: nobody is served, and open connections break.
    down: watch::Sender<bool>,
    /// Held by who restarts it.
    turn: tokio::sync::Mutex<()>,
    state: Mutex<State>,
    ended: Notify,
    mute: AtomicBool,
    /// How often it has crashed; each time it comes back as another life.
    crashes: AtomicU32,
    /// How many calls have reached it.
    calls: AtomicU32,
    /// How many calls were meant for a process before this one, by the numbers and the lease that they carried.
    strayed: AtomicU32,
    /// A task that crashes it soon after the start.
    culprit: Mutex<Option<String>>,
    book: Arc<Book>,
}

impl Runner {
    /// Starts a worker on a free port of loopback.
    pub async fn start(name: &str, work: Duration, book: Arc<Book>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let runner = Arc::new(Self {
            name: name.into(),
            at: listener.local_addr()?,
            work,
            process: Mutex::new(Process::start()),
            down: watch::Sender::new(false),
            turn: tokio::sync::Mutex::default(),
            state: Mutex::default(),
            ended: Notify::new(),
            mute: AtomicBool::new(false),
            crashes: AtomicU32::new(0),
            calls: AtomicU32::new(0),
            strayed: AtomicU32::new(0),
            culprit: Mutex::default(),
            book,
        });
        tokio::spawn(process::listen(runner.clone(), listener));
        let me = runner.clone();
        tokio::spawn(async move { me.tick().await });
        Ok(runner)
    }

    /// Crashes soon after each start of a task from now on.
    pub fn crash_by(&self, task: &str) {
        *self.culprit.lock().expect("no holder panics") = Some(task.into());
    }

    /// How many calls have reached it.
    pub fn calls(&self) -> u32 {
        self.calls.load(Ordering::Relaxed)
    }

    /// The highest fencing token that it has seen.
    pub fn fence(&self) -> u64 {
        self.state.lock().expect("no holder panics").fence
    }

    /// The name of its life now.
    pub fn life(&self) -> String {
        match self.crashes.load(Ordering::Relaxed) {
            0 => self.name.clone(),
            crashes => format!("{}-{crashes}", self.name),
        }
    }

    /// Answers nobody from now on, or answers again.
    pub fn mute(&self, mute: bool) {
        self.mute.store(mute, Ordering::Relaxed);
    }

    /// Begins the first run of a task, as an order does that was long under way.
    pub fn carry_out_late(&self, task: &str) {
        let mut state = self.state.lock().expect("no holder panics");
        state.until = state.until.max(self.clock() + HOLD);
        self.begin(&mut state, task.into(), 1);
    }

    /// What it writes of itself.
    pub fn listing(&self) -> String {
        self.listing_as("d", "ready")
    }

    /// What it writes of itself in a data centre and a state, `ready` or `draining`.
    pub fn listing_as(&self, data_centre: &str, state: &str) -> String {
        json!({
            "service": "s", "address": self.at.to_string(), "zone": data_centre, "version": "v1",
            "slots": 8, "state": state, "cold_left_ms": 0, "call_seq": 1, "born": self.born(),
            "capacity": { "cpu": 32000, "mem_mb": 128_000, "gpu": 0 }, "labels": ["a", "r1"],
        })
        .to_string()
    }

    async fn tick(&self) {
        loop {
            sleep(Duration::from_millis(5)).await;
            if self.is_crashing() {
                self.crash().await;
            }
            let mut state = self.state.lock().expect("no holder panics");
            let lapsed = self.clock() > state.until;
            let over: Vec<String> = state
                .runs
                .iter()
                .filter(|(_, r)| lapsed || r.from.elapsed() >= self.work)
                .map(|(task, _)| task.clone())
                .collect();
            for task in over {
                self.end(&mut state, &task, if lapsed { "lapsed" } else { "done" });
            }
        }
    }

    /// Whether the task that crashes it has worked for a moment.
    fn is_crashing(&self) -> bool {
        let culprit = self.culprit.lock().expect("no holder panics");
        let state = self.state.lock().expect("no holder panics");
        let run = culprit.as_ref().and_then(|task| state.runs.get(task));
        run.is_some_and(|run| run.from.elapsed() >= CRASHES_AFTER)
    }

    /// Loses all that it knows, answers nobody for a while and comes back as another life.
    async fn crash(&self) {
        self.mute(true);
        self.lose();
        sleep(AWAY).await;
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.mute(false);
    }

    /// Forgets all that it knows; what runs is lost.
    fn lose(&self) {
        let lost = std::mem::take(&mut *self.state.lock().expect("no holder panics")).runs;
        for (task, run) in lost {
            self.book.close(&self.name, &task, run.number, "lost");
        }
    }

    fn begin(&self, state: &mut State, task: String, run: u32) {
        let from = Instant::now();
        state.runs.insert(task.clone(), Run { number: run, from });
        self.book.open(Seen { task, run, worker: self.name.clone(), from, over: None });
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.count += 1;
        state.ends.push((state.count, task.into(), run.number, how));
        let barred = state.barred.entry(task.into()).or_default();
        *barred = (*barred).max(run.number);
        self.book.close(&self.name, task, run.number, how);
        self.ended.notify_waiters();
    }
}
