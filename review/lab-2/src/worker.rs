//! A worker that takes up to `stop_ms` to stop a run and starts whatever it is told, as one with `rejects_overload` false.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use myrtle_platform::{HttpRequest, Reply, json as json_reply, reply, serve, text};

use crate::Record;

/// The processors of a worker, in thousandths of a core.
pub const CAPACITY: u64 = 32_000;

/// `hold_max_ms` of the site.
const HOLD: u64 = 10_000;

/// How long a stop takes; `stop_ms` of the site is 900.
const STOP: Duration = Duration::from_millis(850);

struct Run {
    number: u64,
    cpu: u64,
    began: Instant,
    work: Duration,
    stopping: Option<Instant>,
}

#[derive(Default)]
struct State {
    fence: u64,
    until: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<(u64, String, u64, &'static str)>,
    count: u64,
    closed: BTreeMap<String, u64>,
}

/// A worker.
pub struct Worker {
    /// Its id.
    pub id: String,
    /// Where it receives orders.
    pub address: SocketAddr,
    /// Wakes when a worker receives a stop of a run that it has.
    pub stopped: Arc<Notify>,
    began: Instant,
    state: Mutex<State>,
    ended: Notify,
    record: Arc<Record>,
    over: Arc<Mutex<Vec<String>>>,
}

impl Worker {
    /// Starts a worker; starts that take it over its capacity are added to `over`.
    pub async fn start(
        id: &str,
        record: Arc<Record>,
        over: Arc<Mutex<Vec<String>>>,
        stopped: Arc<Notify>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let worker = Arc::new(Self {
            id: id.into(),
            address: listener.local_addr().unwrap(),
            stopped,
            began: Instant::now(),
            state: Mutex::default(),
            ended: Notify::new(),
            record,
            over,
        });
        let this = worker.clone();
        tokio::spawn(serve(listener, move |ask| {
            let this = this.clone();
            async move { this.handle(ask).await }
        }));
        let this = worker.clone();
        tokio::spawn(async move { this.tick().await });
        worker
    }

    /// Its entry in the store.
    pub fn entry(&self) -> String {
        json!({
            "service": "s", "address": self.address.to_string(), "zone": "d", "version": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "call_seq": self.clock(),
            "capacity": { "cpu": CAPACITY, "mem_mb": 128_000, "gpu": 0 }, "labels": ["a", "r1"],
        })
        .to_string()
    }

    /// The processors that its runs claim, those that are being stopped included.
    pub fn used(&self) -> u64 {
        self.state().runs.values().map(|run| run.cpu).sum()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn clock(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1
    }

    async fn tick(&self) {
        loop {
            sleep(Duration::from_millis(5)).await;
            let mut state = self.state();
            let lapsed = self.clock() > state.until;
            let over: Vec<(String, &str)> = state
                .runs
                .iter()
                .filter_map(|(task, run)| {
                    let how = match run.stopping {
                        _ if lapsed => "lapsed",
                        Some(since) if since.elapsed() >= STOP => "stopped",
                        None if run.began.elapsed() >= run.work => "done",
                        _ => return None,
                    };
                    Some((task.clone(), how))
                })
                .collect();
            for (task, how) in over {
                let run = state.runs.remove(&task).unwrap();
                state.count += 1;
                let number = state.count;
                state.ends.push((number, task.clone(), run.number, how));
                let closed = state.closed.entry(task.clone()).or_default();
                *closed = (*closed).max(run.number);
                self.record
                    .note(format!("worker: {} {task} run {} ends {how}", self.id, run.number));
                self.ended.notify_waiters();
            }
        }
    }

    async fn handle(&self, ask: HttpRequest) -> Reply {
        if ask.headers.get("expect-instance").is_some_and(|h| h.as_bytes() != self.id.as_bytes()) {
            return text(421, "another life");
        }
        let Ok(body) = serde_json::from_slice::<Value>(&ask.body) else {
            return text(400, "no JSON");
        };
        let fence = body["fence"].as_u64().unwrap_or(0);
        {
            let mut state = self.state();
            if fence < state.fence {
                return self.refuse("fence");
            }
            state.fence = fence;
        }
        match ask.path.as_str() {
            "/api/run-start" => self.run_start(&body),
            "/api/run-stop" => self.run_stop(&body),
            "/api/pace" => json_reply(&json!({ "clock_ms": self.clock() })),
            "/api/hold" => self.hold(&body).await,
            _ => text(404, "unknown path"),
        }
    }

    fn run_start(&self, body: &Value) -> Reply {
        let mut state = self.state();
        let (task, number) =
            (body["task"].as_str().unwrap_or("").to_string(), body["run"].as_u64().unwrap_or(0));
        let until = body["until_ms"].as_u64().unwrap_or(0);
        if until <= self.clock() {
            return self.refuse("late");
        }
        state.until = state.until.max(until.min(self.clock() + HOLD));
        if state.runs.get(&task).is_some_and(|run| run.number == number) {
            return json_reply(&json!({ "clock_ms": self.clock() }));
        }
        let closed = state.closed.get(&task).copied().unwrap_or(0);
        if state.runs.contains_key(&task) || number <= closed {
            return self.refuse("old");
        }
        // The spec is "CPU WORK_MS".
        let mut words =
            body["spec"].as_str().unwrap_or("").split(' ').map(|w| w.parse().unwrap_or(0));
        let (cpu, work): (u64, u64) = (words.next().unwrap_or(0), words.next().unwrap_or(0));
        let used: u64 = state.runs.values().map(|run| run.cpu).sum();
        self.record.note(format!(
            "worker: {} starts {task} run {number}, {used} + {cpu} of {CAPACITY} in use",
            self.id
        ));
        if used + cpu > CAPACITY {
            let stopping: Vec<_> =
                state.runs.iter().map(|(t, r)| (t, r.number, r.stopping.is_some())).collect();
            let broken = format!(
                "{} takes {task} run {number} over its capacity, {used} + {cpu} of {CAPACITY}, beside (task, run, being stopped) {stopping:?}",
                self.id
            );
            self.record.note(format!("BROKEN: {broken}"));
            self.over.lock().unwrap().push(broken);
        }
        let work = Duration::from_millis(work);
        state.runs.insert(task, Run { number, cpu, began: Instant::now(), work, stopping: None });
        json_reply(&json!({ "clock_ms": self.clock() }))
    }

    fn run_stop(&self, body: &Value) -> Reply {
        let mut state = self.state();
        let (task, number) =
            (body["task"].as_str().unwrap_or("").to_string(), body["run"].as_u64().unwrap_or(0));
        if let Some(run) = state.runs.get_mut(&task).filter(|run| run.number == number) {
            if run.stopping.is_none() {
                run.stopping = Some(Instant::now());
                self.record
                    .note(format!("worker: {} is told to stop {task} run {number}", self.id));
                self.stopped.notify_one();
            }
        } else {
            let closed = state.closed.entry(task).or_default();
            *closed = (*closed).max(number);
        }
        json_reply(&json!({ "clock_ms": self.clock() }))
    }

    async fn hold(&self, body: &Value) -> Reply {
        let ended = self.ended.notified();
        let idle = {
            let mut state = self.state();
            if let Some(until) = body["until_ms"].as_u64() {
                state.until = state.until.max(until.min(self.clock() + HOLD));
            }
            let seen = body["last_seen"].as_u64().unwrap_or(0);
            state.ends.retain(|(number, ..)| *number > seen);
            state.ends.is_empty()
        };
        if idle {
            let wait = body["wait_ms"].as_u64().unwrap_or(0).min(2_000);
            let _ = timeout(Duration::from_millis(wait), ended).await;
        }
        let state = self.state();
        let running: Vec<_> = state
            .runs
            .iter()
            .map(|(task, run)| {
                let share = run.began.elapsed().as_secs_f64() / run.work.as_secs_f64().max(0.001);
                json!([task, run.number, "", (100.0 * share.min(1.0)) as u64, run.cpu])
            })
            .collect();
        let ends: Vec<_> =
            state.ends.iter().map(|(n, task, run, how)| json!([n, task, run, how, ""])).collect();
        json_reply(&json!({ "clock_ms": self.clock(), "running": running, "ended": ends }))
    }

    fn refuse(&self, reason: &str) -> Reply {
        let body = json!({ "clock_ms": self.clock(), "reason": reason }).to_string();
        reply(409, "application/json", body.into_bytes())
    }
}
