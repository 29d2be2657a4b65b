//! A machine of a maintenance wave crashes while it is drained, and its next life is a worker with a new id.
//!
//! Exits with 1 if an upkeep began while `upper_limit` machines of the wave were down for their own.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::sleep;

use myrtle_platform::{HttpRequest, Reply, json as json_reply, reply, serve, text};
use myrtle_standin::{RunLog, Store, WorkerStandin};
use review_lab_2::{Bounds, Lab, Record, no_hook, not_run, trouble};

/// The number of the wave.
const WAVE: u64 = 5;

/// The most machines of the wave that may be down at once.
const LIMIT: usize = 1;

/// The workers, of which one crashes: 0.125 of them.
const WORKERS: usize = 8;

/// `heartbeat_ms` of the site.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// `upkeep_s` of the site.
const UPKEEP: Duration = Duration::from_secs(2);

/// How long the crashed worker is away; `srv_crash` in the site has 4.5 s.
const CRASH_AWAY: Duration = Duration::from_millis(3_000);

/// How long the only task takes.
const WORK: Duration = Duration::from_secs(25);

/// A life of a machine.
#[derive(Clone)]
struct Life {
    id: String,
    worker: Arc<WorkerStandin>,
    silent_since: Option<Instant>,
}

#[derive(Default)]
struct State {
    /// The lives by machine; the last one is the present one.
    lives: BTreeMap<String, Vec<Life>>,
    fences: BTreeMap<String, u64>,
    begun: BTreeSet<String>,
    down: BTreeSet<String>,
    broken: Vec<String>,
}

/// The machines with their workers, and the service that takes them down for upkeep.
struct Machines {
    state: Mutex<State>,
    store: Arc<Store>,
    record: Arc<Record>,
    book: Arc<RunLog>,
}

impl Machines {
    /// Starts a life of a machine, with an address and an id of its own.
    async fn live(&self, machine: &str) {
        let count = self.state.lock().unwrap().lives.get(machine).map_or(0, Vec::len);
        let id = format!("i-{machine}-{count}");
        let worker = WorkerStandin::start(&id, WORK, self.book.clone()).await.unwrap();
        self.record.note(format!("worker: {id} begins on machine {machine}"));
        let life = Life { id, worker, silent_since: None };
        self.list(machine, &life);
        let mut state = self.state.lock().unwrap();
        state.lives.entry(machine.into()).or_default().push(life);
    }

    /// Writes a worker's entry.
    fn list(&self, machine: &str, life: &Life) {
        let mut entry: Value = serde_json::from_str(&life.worker.listing()).unwrap();
        entry["machine"] = json!(machine);
        entry["labels"] = json!([if machine == "m-0" { "big" } else { "a" }, "r1"]);
        self.store.put("keyed.servers", &life.id, entry.to_string().as_bytes());
    }

    /// Ends the present life of a machine, which says nothing.
    fn die(&self, machine: &str, why: &str) {
        let mut state = self.state.lock().unwrap();
        let life = state.lives.get_mut(machine).and_then(|lives| lives.last_mut()).unwrap();
        life.silent_since = Some(Instant::now());
        life.worker.mute(true);
        // A machine without power breaks no connection; with `UPKEEP=reset` it does, for trials.
        if std::env::var("UPKEEP").as_deref() == Ok("reset") {
            let worker = life.worker.clone();
            tokio::spawn(async move { worker.restart(Duration::from_secs(3_600)).await });
        }
        self.record.note(format!("worker: {} dies, {why}", life.id));
    }

    /// Workers that live write their entries; those of others go after three reports of silence.
    async fn heartbeats(self: Arc<Self>) {
        loop {
            let lives: Vec<(String, Life)> = {
                let state = self.state.lock().unwrap();
                let all = state.lives.iter();
                all.flat_map(|(m, lives)| lives.iter().map(move |l| (m.clone(), l.clone())))
                    .collect()
            };
            for (machine, life) in lives {
                match life.silent_since {
                    None => self.list(&machine, &life),
                    Some(at) if at.elapsed() >= 3 * HEARTBEAT && at.elapsed() < 4 * HEARTBEAT => {
                        self.store.put("keyed.servers", &life.id, b"");
                    }
                    Some(_) => {}
                }
            }
            sleep(HEARTBEAT).await;
        }
    }

    async fn handle(self: Arc<Self>, ask: HttpRequest) -> Reply {
        let order: Value = serde_json::from_slice(&ask.body).unwrap_or_default();
        let (Some(machine), "/api/machine-upkeep") = (order["machine"].as_str(), ask.path.as_str())
        else {
            return text(400, "unknown call");
        };
        let header = |name: &str| {
            ask.headers.get(name).and_then(|h| h.to_str().ok()).unwrap_or("").to_string()
        };
        let (holder, fence) = (header("duty-holder"), header("fencing-token").parse().unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        let asked =
            format!("cloud: upkeep of {machine} wave {} by {holder} fence {fence}", order["wave"]);
        let refuse = |reason: &str| {
            self.record.note(format!("{asked} -> 409 {reason}"));
            reply(409, "application/json", json!({ "reason": reason }).to_string().into_bytes())
        };
        if !state.lives.contains_key(machine) {
            self.record.note(format!("{asked} -> 400"));
            return text(400, "no such machine");
        }
        let seen = state.fences.entry(machine.into()).or_default();
        if fence < *seen {
            return refuse("fence");
        }
        *seen = fence;
        if order["wave"] != json!(WAVE) {
            return refuse("wave");
        }
        if state.begun.contains(machine) {
            self.record.note(format!("{asked} -> 200, it was done before"));
            return json_reply(&json!({}));
        }
        if state.lives[machine].last().is_some_and(|life| life.silent_since.is_some()) {
            return refuse("busy");
        }
        if state.down.len() >= LIMIT {
            let broken =
                format!("upkeep of {machine} begins while {:?} are down for theirs", state.down);
            self.record.note(format!("BROKEN: {broken}"));
            state.broken.push(broken);
        }
        state.begun.insert(machine.into());
        state.down.insert(machine.into());
        drop(state);
        self.record.note(format!("{asked} -> 200, it begins"));
        self.die(machine, "its machine is down for upkeep");
        let (this, machine) = (self.clone(), machine.to_string());
        tokio::spawn(async move {
            sleep(UPKEEP).await;
            this.state.lock().unwrap().down.remove(&machine);
            this.record.note(format!("cloud: upkeep of {machine} is over"));
            this.live(&machine).await;
        });
        json_reply(&json!({}))
    }
}

#[tokio::main]
async fn main() {
    let mut lab = Lab::start(Bounds::default(), no_hook()).await;
    let book = Arc::new(RunLog::default());
    let machines = Arc::new(Machines {
        state: Mutex::default(),
        store: lab.store.clone(),
        record: lab.record.clone(),
        book: book.clone(),
    });
    for n in 0..WORKERS {
        machines.live(&format!("m-{n}")).await;
    }
    tokio::spawn(machines.clone().heartbeats());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    lab.bounds.more = format!("machines: \"{}\"\n", listener.local_addr().unwrap());
    let service = machines.clone();
    tokio::spawn(serve(listener, move |ask| service.clone().handle(ask)));
    lab.configure(1, |_| {});
    lab.front("front-1").await;
    lab.front("front-2").await;
    lab.wait_owner().await;
    sleep(Duration::from_secs(2)).await;

    // One task that only the worker of m-0 may run, so that its machine is drained for a while.
    let job = "5c0e7a21d94b36f8";
    let step =
        json!({ "count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 25000, "requires": "big" });
    let body = json!({ "spec": "t", "steps": [step] }).to_string();
    if lab.consumer("front-1", "POST", &format!("/p/{job}"), &body).await.0 != 200 {
        not_run(&lab.record, "the job was not accepted");
    }
    let end = Instant::now() + Duration::from_secs(10);
    while book.runs().is_empty() {
        if Instant::now() > end {
            not_run(&lab.record, "the task did not start");
        }
        sleep(Duration::from_millis(20)).await;
    }
    lab.record.note(format!("worker: the task runs on {}", book.runs()[0].worker));

    let order =
        json!({ "wave": WAVE, "machines": ["m-0", "m-1"], "duration_s": 60, "upper_limit": LIMIT });
    lab.store.put("keyed.op", &format!("wave/{WAVE}"), order.to_string().as_bytes());
    lab.record.note(format!("operator: wave {order}"));
    sleep(Duration::from_millis(1_500)).await;
    if trouble() {
        machines.die("m-0", "a crash");
        sleep(CRASH_AWAY).await;
        machines.live("m-0").await;
    }
    let key = format!("wave/{WAVE}");
    let end = Instant::now() + Duration::from_secs(70);
    let completed = loop {
        let status = lab.store.value("keyed.status", &key).unwrap_or_default();
        if String::from_utf8_lossy(&status).contains("completed") {
            break true;
        }
        if Instant::now() > end {
            break false;
        }
        sleep(Duration::from_millis(100)).await;
    };
    lab.record.note(format!("operator: status/wave/{WAVE} shows completed: {completed}"));
    for run in book.runs() {
        lab.record.note(format!(
            "run: {} {} on {} ended {:?}",
            run.task,
            run.run,
            run.worker,
            run.ended.map(|e| e.1)
        ));
    }
    let broken = machines.state.lock().unwrap().broken.clone();
    let verdict = if broken.is_empty() { 0 } else { 1 };
    lab.record.note(format!("verdict: {verdict}"));
    lab.end();
    std::process::exit(verdict);
}
