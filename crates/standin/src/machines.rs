//! The stand-in for the machine service, which takes machines down for maintenance and counts them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::HeaderMap;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use myrtle_platform::{HttpRequest, Reply, json, reply, serve, text};

use crate::{Store, WorkerStandin};

/// The time between two writes of a worker's entry.
const HEARTBEAT: Duration = Duration::from_millis(700);

/// An order to maintain a machine.
#[derive(Deserialize)]
struct Order {
    machine: String,
    wave: u64,
}

/// What the service does with orders.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum MachineMode {
    /// It carries them out and answers.
    Ok,
    /// It carries them out and its answers are lost.
    Mute,
    /// It carries them out and answers after a delay.
    Late(Duration),
    /// It refuses them.
    Refusing,
}

#[derive(Debug, Default)]
struct State {
    /// The highest fencing token for each machine.
    fences: BTreeMap<String, u64>,
    /// How many machines of each wave may be down at once.
    limits: BTreeMap<u64, usize>,
    begun: BTreeSet<(u64, String)>,
    /// The machines that are down, and for which wave.
    down: BTreeMap<String, u64>,
    /// The holders that had a machine taken down, in order.
    holders: Vec<String>,
    /// Machines that went down beyond the limit, with those that were down.
    beyond: Vec<(String, Vec<String>)>,
    orders: u32,
    /// Whether machines that go down say nothing and keep their entries, as without power.
    silent: bool,
}

/// The stand-in for the machine service; each worker is on the machine of its number.
#[derive(Debug)]
pub struct MachineService {
    /// The address of its interface.
    pub address: SocketAddr,
    /// How long maintenance takes.
    span: Duration,
    workers: Vec<Arc<WorkerStandin>>,
    store: Arc<Store>,
    mode: watch::Sender<MachineMode>,
    state: Mutex<State>,
}

impl MachineService {
    /// Starts the service of the workers' machines on a free port of loopback, for one wave of which `limit` machines
    /// may be down at once.
    pub async fn start(
        workers: Vec<Arc<WorkerStandin>>,
        store: Arc<Store>,
        wave: u64,
        limit: usize,
        span: Duration,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, state) = (watch::Sender::new(MachineMode::Ok), Mutex::default());
        let service = Arc::new(Self { address, span, workers, store, mode, state });
        service.add_wave(wave, limit);
        tokio::spawn(service.clone().list_all());
        let handler = service.clone();
        tokio::spawn(serve(listener, move |ask| {
            let service = handler.clone();
            async move { service.handle(ask).await }
        }));
        Ok(service)
    }

    /// Adds a wave of which `limit` machines may be down at once.
    pub fn add_wave(&self, wave: u64, limit: usize) {
        self.state.lock().expect("no holder panics").limits.insert(wave, limit);
    }

    /// Lets machines that go down from now on say nothing and keep their entries, as without power.
    pub fn cut_power(&self) {
        self.state.lock().expect("no holder panics").silent = true;
    }

    /// Sets what the service does with orders.
    pub fn set(&self, mode: MachineMode) {
        self.mode.send_replace(mode);
    }

    /// The names of its machines.
    pub fn names(&self) -> Vec<String> {
        self.workers.iter().map(|worker| machine(worker)).collect()
    }

    /// The holders that had a machine taken down, in order.
    pub fn holders(&self) -> Vec<String> {
        self.state.lock().expect("no holder panics").holders.clone()
    }

    /// Machines that went down beyond the limit, with those that were down.
    pub fn beyond(&self) -> Vec<(String, Vec<String>)> {
        self.state.lock().expect("no holder panics").beyond.clone()
    }

    /// The number of orders received.
    pub fn orders(&self) -> u32 {
        self.state.lock().expect("no holder panics").orders
    }

    /// Writes the entries of all workers that are up, again and again.
    async fn list_all(self: Arc<Self>) {
        loop {
            let down = self.state.lock().expect("no holder panics").down.clone();
            let up = self.workers.iter().filter(|worker| !down.contains_key(&machine(worker)));
            up.for_each(|worker| self.list(worker));
            sleep(HEARTBEAT).await;
        }
    }

    /// Writes a worker's entry, with its machine, into the list.
    fn list(&self, worker: &WorkerStandin) {
        let mut entry: serde_json::Value =
            serde_json::from_str(&worker.listing()).expect("entries are JSON");
        entry["machine"] = json!(machine(worker));
        self.store.put("keyed.servers", &worker.incarnation(), entry.to_string().as_bytes());
    }

    async fn handle(self: Arc<Self>, ask: HttpRequest) -> Reply {
        let mode = *self.mode.borrow();
        let order = serde_json::from_slice::<Order>(&ask.body);
        let (Ok(order), "/api/machine-upkeep") = (order, ask.path.as_str()) else {
            return text(404, "unknown path");
        };
        self.state.lock().expect("no holder panics").orders += 1;
        if mode == MachineMode::Refusing {
            return text(429, "too many orders");
        }
        let answer = self.clone().maintain(&order, &ask.headers);
        match mode {
            MachineMode::Mute => std::future::pending().await,
            MachineMode::Late(delay) => sleep(delay).await,
            _ => {}
        }
        answer
    }

    /// Takes a machine down, unless that was done before.
    fn maintain(self: Arc<Self>, order: &Order, headers: &HeaderMap) -> Reply {
        let header = |name: &str| headers.get(name).and_then(|h| h.to_str().ok()).unwrap_or("");
        let (holder, fence) = (header("duty-holder"), header("fencing-token").parse().unwrap_or(0));
        let Some(worker) = self.workers.iter().find(|w| machine(w) == order.machine).cloned()
        else {
            return text(400, "no such machine");
        };
        let mut state = self.state.lock().expect("no holder panics");
        let highest = state.fences.entry(order.machine.clone()).or_default();
        if fence < *highest {
            return refuse("fence");
        }
        *highest = fence;
        let Some(&limit) = state.limits.get(&order.wave) else {
            return refuse("wave");
        };
        if state.begun.contains(&(order.wave, order.machine.clone())) {
            return json(&json!({}));
        }
        if state.down.contains_key(&order.machine) {
            return refuse("busy");
        }
        let down: Vec<_> = state.down.iter().filter(|(_, wave)| **wave == order.wave).collect();
        if down.len() >= limit {
            let down = down.into_iter().map(|(machine, _)| machine.clone()).collect();
            state.beyond.push((order.machine.clone(), down));
        }
        state.holders.push(holder.into());
        state.begun.insert((order.wave, order.machine.clone()));
        state.down.insert(order.machine.clone(), order.wave);
        let silent = state.silent;
        drop(state);
        tokio::spawn(async move {
            let before = worker.incarnation();
            let mut span = self.span;
            if silent {
                worker.mute(true);
                sleep(span).await;
                span = Duration::ZERO;
            }
            self.store.put("keyed.servers", &before, b"");
            worker.replace(span).await;
            worker.mute(false);
            self.state.lock().expect("no holder panics").down.remove(&machine(&worker));
            self.list(&worker);
        });
        json(&json!({}))
    }
}

/// The machine of a worker.
fn machine(worker: &WorkerStandin) -> String {
    format!("m-{}", worker.name)
}

fn refuse(reason: &str) -> Reply {
    reply(409, "application/json", json!({ "reason": reason }).to_string().into_bytes())
}
