//! The stand-in for a platform worker, which runs tasks under fencing tokens and leases and reports their ends.

mod book;
mod calls;
mod plan;
mod process;
mod runs;
mod share;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime};

use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::TicketService;
use calls::StartRequest;
use process::Process;

pub use book::{RunLog, RunRecord};
pub use plan::{Plans, StepPlan, TaskKind};

/// The longest lease, in milliseconds.
const MAX_LEASE_MS: u64 = 10_000;

/// How long a task runs before it crashes its worker.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// How long a crashed worker stays down.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1_500);

/// The time between two checks for runs that ended.
const TICK: Duration = Duration::from_millis(5);

/// The processors of a worker, in thousandths of a core.
const CAPACITY_CPU: u32 = 32_000;

/// The memory of a worker, in megabytes.
const CAPACITY_MEM_MB: u32 = 128_000;

/// The time since 1970.
fn since_1970() -> Duration {
    SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default()
}

#[derive(Debug)]
struct Run {
    number: u32,
    from: Instant,
    /// What it needs and does, if its job has a plan.
    plan: Option<StepPlan>,
    /// The speed limit, in percent.
    percent_limit: u8,
    /// The processors in use, in thousandths of a core.
    used_cpu: f64,
    /// The work done, as time at full speed.
    worked: Duration,
    /// The work that the newest checkpoint holds.
    saved: Duration,
}

#[derive(Debug, Default)]
struct State {
    fence: u64,
    until: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<(u64, String, u32, &'static str, String)>,
    /// The newest run of each task that ended or was stopped; starts up to it are refused.
    closed: BTreeMap<String, u32>,
    end_count: u64,
}

/// The stand-in for a platform worker.
#[derive(Debug)]
pub struct WorkerStandin {
    /// The name of the worker and of its first incarnation.
    pub name: String,
    /// The address on which it receives orders.
    pub address: SocketAddr,
    /// The run time of each task.
    work: Duration,
    process: Mutex<Process>,
    /// Whether its process is down: no connection is served, and open ones break.
    down: watch::Sender<bool>,
    /// Held during a restart, so that restarts don't overlap.
    restart_lock: tokio::sync::Mutex<()>,
    state: Mutex<State>,
    ended: Notify,
    mute: AtomicBool,
    /// Whether starts get no reply and are kept.
    delays_starts: AtomicBool,
    /// The starts that were kept.
    delayed: Mutex<Vec<StartRequest>>,
    /// The number of crashes; after each it returns as a new incarnation.
    crashes: AtomicU32,
    /// The number of calls received.
    calls: AtomicU32,
    /// The number of calls that were meant for an earlier process, judged by their end numbers and leases.
    strayed: AtomicU32,
    /// The task that crashes the worker soon after its start.
    crash_task: Mutex<Option<String>>,
    /// The service whose tickets it requires, if there is one.
    tickets: OnceLock<Arc<TicketService>>,
    /// What other programs on its machine add to the load of its serving tasks, in percent.
    burden: AtomicU32,
    /// What tasks need and do, if it differs by job.
    plans: OnceLock<Arc<Plans>>,
    book: Arc<RunLog>,
}

impl WorkerStandin {
    /// Starts a worker on a free port of loopback.
    pub async fn start(
        name: &str,
        work: Duration,
        book: Arc<RunLog>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let runner = Arc::new(Self {
            name: name.into(),
            address: listener.local_addr()?,
            work,
            process: Mutex::new(Process::start()),
            down: watch::Sender::new(false),
            restart_lock: tokio::sync::Mutex::default(),
            state: Mutex::default(),
            ended: Notify::new(),
            mute: AtomicBool::new(false),
            delays_starts: AtomicBool::new(false),
            delayed: Mutex::default(),
            crashes: AtomicU32::new(0),
            calls: AtomicU32::new(0),
            strayed: AtomicU32::new(0),
            crash_task: Mutex::default(),
            tickets: OnceLock::new(),
            burden: AtomicU32::new(0),
            plans: OnceLock::new(),
            book,
        });
        tokio::spawn(process::listen(runner.clone(), listener));
        let this = runner.clone();
        tokio::spawn(async move { this.tick().await });
        Ok(runner)
    }

    /// Makes the worker crash soon after each start of a task.
    pub fn crash_on(&self, task: &str) {
        *self.crash_task.lock().expect("no holder panics") = Some(task.into());
    }

    /// Makes the worker require tickets of a service for all starts.
    pub fn require_tickets(&self, service: &Arc<TicketService>) {
        let _ = self.tickets.set(service.clone());
    }

    /// Makes the worker run tasks by the plans of their jobs.
    pub fn follow(&self, plans: &Arc<Plans>) {
        let _ = self.plans.set(plans.clone());
    }

    /// Adds to the load of its serving tasks, in percent, as other programs on its machine do.
    pub fn burden(&self, percent: u32) {
        self.burden.store(percent, Ordering::Relaxed);
    }

    /// The share of its processors or of its memory that is in use, whichever is larger.
    pub fn in_use(&self) -> f64 {
        let (cpu, mem) = share::in_use(&self.state.lock().expect("no holder panics").runs);
        let of = |used: u32, all: u32| f64::from(used) / f64::from(all);
        of(cpu, CAPACITY_CPU).max(of(mem, CAPACITY_MEM_MB))
    }

    /// The number of calls received.
    pub fn calls(&self) -> u32 {
        self.calls.load(Ordering::Relaxed)
    }

    /// The highest fencing token that it has seen.
    pub fn fence(&self) -> u64 {
        self.state.lock().expect("no holder panics").fence
    }

    /// The name of its current incarnation.
    pub fn incarnation(&self) -> String {
        match self.crashes.load(Ordering::Relaxed) {
            0 => self.name.clone(),
            crashes => format!("{}-{crashes}", self.name),
        }
    }

    /// Stops answering calls, or resumes.
    pub fn mute(&self, mute: bool) {
        self.mute.store(mute, Ordering::Relaxed);
    }

    /// Keeps the starts that arrive from now on, without replies, or no longer does.
    pub fn delay_starts(&self, delay: bool) {
        self.delays_starts.store(delay, Ordering::Relaxed);
    }

    /// Whether a stop has arrived, at this process, for each start that was kept.
    pub fn bars_delayed_starts(&self) -> bool {
        let state = self.state.lock().expect("no holder panics");
        let delayed = self.delayed.lock().expect("no holder panics");
        delayed.iter().all(|s| state.closed.get(&s.task).is_some_and(|&closed| s.run <= closed))
    }

    /// Executes the starts that were kept, on this process; returns how many began a run and how many it refused.
    pub fn execute_delayed_starts(&self) -> (usize, usize) {
        let delayed = std::mem::take(&mut *self.delayed.lock().expect("no holder panics"));
        let replies = delayed.into_iter().map(|start| self.execute_start(start));
        let (begun, refused): (Vec<_>, Vec<_>) = replies.partition(|r| r.status().is_success());
        (begun.len(), refused.len())
    }

    /// Starts the first run of a task, as an order that arrives late does.
    pub fn start_late(&self, task: &str) {
        let mut state = self.state.lock().expect("no holder panics");
        state.until = state.until.max(self.clock() + MAX_LEASE_MS);
        self.begin(&mut state, task.into(), Run::new(1, None));
    }

    /// Its listing in the store.
    pub fn listing(&self) -> String {
        self.listing_as("d", "ready")
    }

    /// Its listing in a data centre with a state, `ready` or `draining`.
    pub fn listing_as(&self, data_centre: &str, state: &str) -> String {
        json!({
            "service": "s", "address": self.address.to_string(), "zone": data_centre, "version": "v1",
            "slots": 8, "state": state, "cold_left_ms": 0, "call_seq": 1, "born": self.started_ms(),
            "capacity": { "cpu": CAPACITY_CPU, "mem_mb": CAPACITY_MEM_MB, "gpu": 0 }, "labels": ["a", "r1"],
        })
        .to_string()
    }

    /// Whether the task that crashes it has run for [`CRASH_DELAY`].
    fn is_crashing(&self) -> bool {
        let crash_task = self.crash_task.lock().expect("no holder panics");
        let state = self.state.lock().expect("no holder panics");
        let run = crash_task.as_ref().and_then(|task| state.runs.get(task));
        run.is_some_and(|run| run.from.elapsed() >= CRASH_DELAY)
    }

    /// Loses its state, doesn't answer for [`CRASH_DOWNTIME`] and returns as a new incarnation.
    async fn crash(&self) {
        self.mute(true);
        self.drop_state();
        sleep(CRASH_DOWNTIME).await;
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.mute(false);
    }

    /// Ends its process and starts another one under a new incarnation after `away`; connections break and runs are
    /// lost.
    pub async fn replace(&self, away: Duration) {
        self.crashes.fetch_add(1, Ordering::Relaxed);
        // They name the incarnation that ended, and the next one refuses them.
        self.delayed.lock().expect("no holder panics").clear();
        self.restart(away).await;
    }
}
