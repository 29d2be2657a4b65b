//! A small model of hosts, workers and messages with the real fold, leases and promises.
//!
//! Host 0 reaches worker 0 only, host 1 reaches worker 1 only, host 2 makes promises only. Hosts read the log at any
//! time and propose commands on the state that they last read. Messages to workers arrive late, repeatedly or
//! never, and lapses reach the log late or never.

mod action;
mod fold;
mod propose;
mod search;

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use myrtle_base::{LEASE, Millis};
use myrtle_cell::{Cell, Health, Lease, LeaseHolder, LogRead, Op, Promise, State, TaskId};

use crate::common::{job, worker};
use action::ACTIONS;
use fold::{fold, folded};

pub use action::Action;
pub use search::{explore, walk};

/// The number of records in the initial log.
const INITIAL_RECORDS: u64 = 6;

/// The time of one [`Action::Pass`].
const STEP: Millis = Millis(4_000);

/// The check that is removed, to show that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Without {
    /// All checks are in place.
    Nothing,
    /// The fold accepts any attempt number.
    AttemptCheck,
    /// The fold doesn't check a worker's room.
    RoomCheck,
    /// A lapse doesn't wait for the end of the leases.
    LapseWait,
    /// A lapse needs no promises of hosts.
    Consents,
    /// A host makes both promises within one lease.
    OnePromise,
    /// The age of a read isn't subtracted from a lease.
    ReadAge,
    /// A worker doesn't remember which attempts are over.
    Tombstones,
}

/// The bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The number of tasks, each of which needs more than half of a worker.
    pub tasks: u32,
    /// Whether host 0 can't append.
    pub cut: bool,
    /// The most messages in transit to a worker.
    pub messages: usize,
    /// The most time steps.
    pub steps: u64,
    /// The most records in the log after the initial ones.
    pub records: usize,
    /// The number of states after which the search ends.
    pub states: usize,
}

/// The result of a search.
#[derive(Debug)]
pub struct Found {
    /// The number of states seen.
    pub states: usize,
    /// Whether these are all reachable states.
    pub complete: bool,
    /// The steps to a violation.
    pub violation: Option<Vec<String>>,
}

#[derive(Debug, Clone)]
struct Host {
    /// The fold of a log prefix, shared by all worlds with that prefix.
    cell: Rc<Cell>,
    read_at: Millis,
    promise: Promise,
}

impl Hash for Host {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        // The log and the offset determine the cell.
        (self.cell.next, self.read_at, &self.promise).hash(hasher);
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Worker {
    lease: Millis,
    running: BTreeMap<TaskId, u16>,
    stopped: BTreeMap<TaskId, u16>,
    over: BTreeMap<TaskId, u16>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Message {
    lease: Lease,
    starts: Vec<(TaskId, u16)>,
    stops: Vec<(TaskId, u16)>,
}

#[derive(Debug, Clone, Hash)]
struct World {
    now: Millis,
    /// The records after the initial ones.
    log: Vec<(Millis, Op)>,
    /// A lapse in transit to the log.
    in_transit: Option<Op>,
    /// The messages in transit to each worker, the newest first.
    messages: [Vec<Message>; 2],
    hosts: Vec<Host>,
    workers: Vec<Worker>,
}

impl World {
    /// The initial world, in which task 0 runs on worker 0 under a new lease and all hosts have read the log.
    fn new(tasks: u32) -> Self {
        let now = Millis(100_000);
        let mut world = Self {
            now,
            log: Vec::new(),
            in_transit: None,
            messages: [Vec::new(), Vec::new()],
            hosts: Vec::new(),
            workers: vec![Worker::default(), Worker::default()],
        };
        let first = TaskId::new(0, 0);
        let names = ["s0", "s1", "s2"].map(String::from).to_vec();
        let start = [
            Op::Genesis { hosts: names },
            worker(0, 1),
            worker(1, 1),
            job("j", tasks, 20.0),
            Op::Claim { task: first, attempt: 1, worker: 0 },
            Op::Started { task: first, attempt: 1 },
        ];
        let mut cell = Cell::default();
        for (offset, op) in start.iter().enumerate() {
            fold(&mut cell, offset as u64, now, op, Without::Nothing);
        }
        let cell = Rc::new(cell);
        let promise = Promise::new(Millis(0));
        world.hosts = vec![Host { cell, read_at: now, promise }; 3];
        world.workers[0].lease = now + LEASE;
        world.workers[0].running.insert(first, 1);
        world
    }

    /// Whether a task runs twice or a worker is overcommitted.
    fn violated(&self) -> bool {
        let twice = self.workers[0].running.keys().any(|t| self.workers[1].running.contains_key(t));
        twice || self.workers.iter().any(|w| w.running.len() > 1)
    }

    /// Takes a step; false if it is impossible or has no effect.
    fn step(&mut self, action: Action, without: Without, bounds: Bounds) -> bool {
        let last = Millis(100_000 + STEP.0 * bounds.steps);
        match action {
            Action::Pass => self.now < last && self.pass(),
            Action::Read(host) => self.read(host, without),
            Action::Renew(host) => self.renew(host, without, bounds),
            Action::RenewOffline(peer) => self.renew_offline(0, peer, without, bounds),
            Action::Arrive(to, n) => self.arrive(to, n, without),
            Action::Append(host, n) => {
                let op = self.proposals(host, without, bounds).into_iter().nth(n);
                op.is_some_and(|op| self.log.len() < bounds.records && self.append(op))
            }
            Action::Land => self.land(),
        }
    }

    fn pass(&mut self) -> bool {
        self.now += STEP;
        let now = self.now;
        for worker in &mut self.workers {
            if now >= worker.lease {
                let running = std::mem::take(&mut worker.running);
                worker.over.extend(running.clone());
                worker.stopped.extend(running);
            }
        }
        true
    }

    fn read(&mut self, host: usize, without: Without) -> bool {
        let now = self.now;
        let host = &mut self.hosts[host];
        let up_to_date =
            host.read_at == now && host.cell.next == INITIAL_RECORDS + self.log.len() as u64;
        host.cell = folded(&host.cell, &self.log, without);
        host.read_at = now;
        !up_to_date
    }

    fn renew(&mut self, host: usize, without: Without, bounds: Bounds) -> bool {
        let (stamp, known) = (self.now, &self.hosts[host]);
        if known.cell.health(&LeaseHolder::Worker(host as u32)) != Some(Health::Up) {
            return false;
        }
        let lease = match without {
            Without::ReadAge => Some(Lease { until: stamp + LEASE }),
            _ => LogRead { sent_at: known.read_at }.grant(stamp, stamp),
        };
        lease.is_some_and(|lease| self.post(host, lease, bounds))
    }

    fn renew_offline(
        &mut self,
        host: usize,
        peer: usize,
        without: Without,
        bounds: Bounds,
    ) -> bool {
        let (now, holder) = (self.now, LeaseHolder::Worker(host as u32));
        for voter in [host, peer] {
            let voter = &mut self.hosts[voter];
            let known = voter.cell.health(&holder);
            let allows = match without {
                // The host doesn't record its promise.
                Without::OnePromise => known == Some(Health::Up),
                _ => voter.promise.allow_renewal(&voter.cell, &holder, now),
            };
            if !allows {
                return false;
            }
        }
        self.post(host, Lease { until: now + LEASE }, bounds)
    }

    fn post(&mut self, host: usize, lease: Lease, bounds: Bounds) -> bool {
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        for (id, task, _) in self.hosts[host].cell.worker_tasks(host as u32) {
            match task.state {
                State::Claimed(_) => starts.push((id, task.attempt)),
                State::Stopping(..) => stops.push((id, task.attempt)),
                _ => {}
            }
        }
        let message = Message { lease, starts, stops };
        let is_new = self.messages[host].first() != Some(&message);
        if is_new {
            // Messages beyond the bound are lost, the oldest first.
            self.messages[host].insert(0, message);
            self.messages[host].truncate(bounds.messages);
        }
        is_new
    }

    fn arrive(&mut self, to: usize, n: usize, without: Without) -> bool {
        // The message stays in transit, as it may arrive again.
        let Some(message) = self.messages[to].get(n).cloned() else { return false };
        let (now, previous) = (self.now, self.workers[to].clone());
        let worker = &mut self.workers[to];
        worker.lease = worker.lease.max(message.lease.until);
        for (task, attempt) in message.stops {
            if worker.running.get(&task) == Some(&attempt) {
                worker.running.remove(&task);
            }
            worker.over.insert(task, attempt);
            worker.stopped.insert(task, attempt);
        }
        for (task, attempt) in message.starts {
            let over = worker.over.get(&task).is_some_and(|a| *a >= attempt);
            let over = over && without != Without::Tombstones;
            if !over && now < worker.lease {
                worker.running.insert(task, attempt);
            }
        }
        previous != self.workers[to]
    }

    /// Appends a command, a lapse with a delay in which its promises may get outdated.
    fn append(&mut self, op: Op) -> bool {
        match op {
            Op::Lapse { .. } if self.in_transit.is_some() => return false,
            Op::Lapse { .. } => self.in_transit = Some(op),
            op => self.log.push((self.now, op)),
        }
        true
    }

    fn land(&mut self) -> bool {
        let Some(op) = self.in_transit.take() else { return false };
        self.log.push((self.now, op));
        true
    }
}
