//! A small model of hosts, workers and messages around the real fold, leases and promises.
//!
//! Host 0 reaches worker 0 only, host 1 reaches worker 1 only, host 2 holds promises. Hosts read
//! the log when they like and propose on what they last read. Messages to workers arrive late,
//! repeatedly or never, and so do lapses at the log.

mod search;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use myrtle_base::{LEASE, Millis, Room, Stamp};
use myrtle_cell::{Batch, Cell, End, Grant, Health, Op, Promise, Read, State, Subject, TaskId};

use crate::common::{job, worker};

pub use search::{explore, walk};

/// Records that the world starts with.
const START: u64 = 6;

/// One step of time.
const STEP: Millis = Millis(4_000);

/// A check that is taken out, to see that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Without {
    /// Everything is in place.
    Nothing,
    /// Any attempt is taken for the next one.
    AttemptCheck,
    /// Workers are taken to have room.
    RoomCheck,
    /// A lapse does not wait for leases.
    LapseWait,
    /// A lapse needs no promises.
    Consents,
    /// A host promises both things within one lease.
    OnePromise,
    /// The age of a read is not taken off a lease.
    ReadAge,
    /// A worker forgets which attempts are over.
    Tombstones,
}

/// What is explored.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Tasks, each of more than half of a worker.
    pub tasks: u32,
    /// Whether host 0 cannot append.
    pub cut: bool,
    /// Messages on their way to a worker.
    pub messages: usize,
    /// Steps of time.
    pub steps: u64,
    /// Records in the log.
    pub records: usize,
    /// States after which the search ends.
    pub states: usize,
}

/// What a search found.
#[derive(Debug)]
pub struct Found {
    /// States seen.
    pub states: usize,
    /// Whether there were no more.
    pub all: bool,
    /// The steps to a broken promise.
    pub broken: Option<Vec<String>>,
}

#[derive(Debug, Clone)]
struct Host {
    /// The fold of the log up to some offset, shared by all worlds that have it.
    cell: Rc<Cell>,
    read: Millis,
    promise: Promise,
}

impl Hash for Host {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        // The log and the offset say what the cell is.
        (self.cell.next, self.read, &self.promise).hash(hasher);
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
    grant: Grant,
    starts: Vec<(TaskId, u16)>,
    stops: Vec<(TaskId, u16)>,
}

#[derive(Debug, Clone, Hash)]
struct World {
    now: Millis,
    /// The records after those of the start.
    log: Vec<(Millis, Op)>,
    /// A lapse that is on its way to the log.
    late: Option<Op>,
    /// The newest messages to each worker.
    messages: [Vec<Message>; 2],
    hosts: Vec<Host>,
    workers: Vec<Worker>,
}

/// One step of the world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Time passes.
    Pass,
    /// A host reads the log.
    Read(usize),
    /// A host renews its worker's lease on its newest read.
    Renew(usize),
    /// Host 0 renews without the log, on its own word and that of another host.
    Dark(usize),
    /// A message to a worker arrives, the newest or the one before.
    Arrive(usize, usize),
    /// A host appends the nth command that it may propose.
    Append(usize, usize),
    /// A lapse that was on its way lands in the log.
    Land,
}

const ACTIONS: [Action; 19] = [
    Action::Pass,
    Action::Read(0),
    Action::Read(1),
    Action::Read(2),
    Action::Renew(0),
    Action::Renew(1),
    Action::Dark(1),
    Action::Dark(2),
    Action::Arrive(0, 0),
    Action::Arrive(0, 1),
    Action::Arrive(1, 0),
    Action::Arrive(1, 1),
    Action::Append(0, 0),
    Action::Append(0, 1),
    Action::Append(0, 2),
    Action::Append(1, 0),
    Action::Append(1, 1),
    Action::Append(1, 2),
    Action::Land,
];

impl Action {
    fn word(self) -> String {
        format!("{self:?}")
    }
}

impl World {
    /// Task 0 runs on worker 0 under a fresh lease; all hosts know it.
    fn new(tasks: u32) -> Self {
        let now = Millis(100_000);
        let mut world = Self {
            now,
            log: Vec::new(),
            late: None,
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
        world.hosts = vec![Host { cell, read: now, promise }; 3];
        world.workers[0].lease = now + LEASE;
        world.workers[0].running.insert(first, 1);
        world
    }

    /// Whether a task runs twice or a worker is given more than it has.
    fn broken(&self) -> bool {
        let twice = self.workers[0].running.keys().any(|t| self.workers[1].running.contains_key(t));
        twice || self.workers.iter().any(|w| w.running.len() > 1)
    }

    /// Takes a step; false if it is not possible or changes nothing.
    fn step(&mut self, action: Action, without: Without, bounds: Bounds) -> bool {
        let last = Millis(100_000 + STEP.0 * bounds.steps);
        match action {
            Action::Pass => self.now < last && self.pass(),
            Action::Read(host) => self.read(host, without),
            Action::Renew(host) => self.send(host, without, bounds),
            Action::Dark(peer) => self.send_dark(0, peer, without, bounds),
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
        let fresh = host.read == now && host.cell.next == START + self.log.len() as u64;
        host.cell = folded(&host.cell, &self.log, without);
        host.read = now;
        !fresh
    }

    fn send(&mut self, host: usize, without: Without, bounds: Bounds) -> bool {
        let (stamp, known) = (self.now, &self.hosts[host]);
        if known.cell.health(&Subject::Worker(host as u32)) != Some(Health::Up) {
            return false;
        }
        let grant = match without {
            Without::ReadAge => Some(Grant { until: stamp + LEASE }),
            _ => Read { sent: known.read }.grant(stamp, stamp),
        };
        grant.is_some_and(|grant| self.post(host, grant, bounds))
    }

    fn send_dark(&mut self, host: usize, peer: usize, without: Without, bounds: Bounds) -> bool {
        let (now, subject) = (self.now, Subject::Worker(host as u32));
        for ally in [host, peer] {
            let ally = &mut self.hosts[ally];
            let known = ally.cell.health(&subject);
            let allows = match without {
                // The mutated host forgets that it promised.
                Without::OnePromise => known == Some(Health::Up),
                _ => ally.promise.allow(&ally.cell, &subject, now),
            };
            if !allows {
                return false;
            }
        }
        self.post(host, Grant { until: now + LEASE }, bounds)
    }

    fn post(&mut self, host: usize, grant: Grant, bounds: Bounds) -> bool {
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        for (id, task, _) in self.hosts[host].cell.tasks_on(host as u32) {
            match task.state {
                State::Claimed(_) => starts.push((id, task.attempt)),
                State::Stopping(..) => stops.push((id, task.attempt)),
                _ => {}
            }
        }
        let message = Message { grant, starts, stops };
        let fresh = self.messages[host].first() != Some(&message);
        if fresh {
            // So many may be on their way; an older one is lost.
            self.messages[host].insert(0, message);
            self.messages[host].truncate(bounds.messages);
        }
        fresh
    }

    fn arrive(&mut self, to: usize, n: usize, without: Without) -> bool {
        // The message stays: it may arrive once more.
        let Some(message) = self.messages[to].get(n).cloned() else { return false };
        let (now, before) = (self.now, self.workers[to].clone());
        let worker = &mut self.workers[to];
        worker.lease = worker.lease.max(message.grant.until);
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
        before != self.workers[to]
    }

    /// Appends at once, or late if it is a lapse, whose promises may get old on the way.
    fn append(&mut self, op: Op) -> bool {
        match op {
            Op::Lapse { .. } if self.late.is_some() => return false,
            Op::Lapse { .. } => self.late = Some(op),
            op => self.log.push((self.now, op)),
        }
        true
    }

    fn land(&mut self) -> bool {
        let Some(op) = self.late.take() else { return false };
        self.log.push((self.now, op));
        true
    }

    /// What a host may propose on what it knows.
    fn proposals(&self, host: usize, without: Without, bounds: Bounds) -> Vec<Op> {
        let known = &self.hosts[host];
        let mut ops = Vec::new();
        if bounds.cut && host == 0 {
            return ops;
        }
        for (id, task) in &known.cell.tasks {
            if task.state == State::Pending {
                let (task, attempt, worker) = (*id, task.attempt + 1, host as u32);
                ops.push(Op::Claim { task, attempt, worker });
            }
        }
        for (task, attempt) in &self.workers[host].stopped {
            let (task, attempt) = (*task, *attempt);
            let on = known.cell.tasks[&task].state.worker() == Some(host as u32);
            if on && known.cell.tasks[&task].attempt == attempt {
                ops.push(Op::End { task, attempt, end: End::Stopped(1) });
            }
        }
        let other = Subject::Worker(1 - host as u32);
        match known.cell.health(&other) {
            Some(Health::Up) if host == 1 => ops.push(Op::Suspect { subject: other }),
            Some(Health::Suspect { offset, since }) => {
                let waited = self.now.since(since) >= LEASE || without == Without::LapseWait;
                if waited {
                    ops.push(self.lapse(other, offset, without));
                }
            }
            _ => {}
        }
        let own = Subject::Worker(host as u32);
        if let Some(Health::Suspect { .. }) = known.cell.health(&own) {
            ops.push(Op::Clear { subject: own });
        }
        ops
    }

    fn lapse(&self, subject: Subject, suspected: u64, without: Without) -> Op {
        let consents = (0..3).filter(|n| {
            let host = &self.hosts[*n];
            match without {
                Without::Consents => true,
                Without::OnePromise => matches!(host.cell.health(&subject),
                    Some(Health::Suspect { offset, .. }) if offset == suspected),
                _ => host.promise.consent(&host.cell, &subject, suspected, self.now),
            }
        });
        let consents = consents.map(|n| format!("s{n}")).collect();
        Op::Lapse { subject, suspected, consents }
    }
}

/// Folds that are kept at most.
const MAX_FOLDS: usize = 20_000;

thread_local! {
    /// The folds of all logs seen, by the log's hash.
    static FOLDS: RefCell<HashMap<u64, Rc<Cell>>> = RefCell::default();
}

/// The fold of the whole log, beginning with a fold of a part of it.
fn folded(known: &Rc<Cell>, log: &[(Millis, Op)], without: Without) -> Rc<Cell> {
    let mut hasher = DefaultHasher::new();
    (known.tasks.len(), without as u8, log).hash(&mut hasher);
    let key = hasher.finish();
    if let Some(cell) = FOLDS.with_borrow(|f| f.get(&key).cloned()) {
        return cell;
    }
    let mut cell = Cell::clone(known);
    let from = (known.next - START) as usize;
    for (n, (time, op)) in log.iter().enumerate().skip(from) {
        fold(&mut cell, START + n as u64, *time, op, without);
    }
    let cell = Rc::new(cell);
    FOLDS.with_borrow_mut(|folds| {
        if folds.len() >= MAX_FOLDS {
            folds.clear();
        }
        folds.insert(key, cell.clone());
    });
    cell
}

/// Folds one command, with a check taken out.
fn fold(cell: &mut Cell, offset: u64, time: Millis, op: &Op, without: Without) {
    let mut op = op.clone();
    let mut time = time;
    let rooms: Vec<Room> = cell.workers.iter().map(|w| w.room).collect();
    match (&mut op, without) {
        (Op::Claim { task, attempt, .. }, Without::AttemptCheck) => {
            // Whatever attempt is named is taken for the next one of a pending task.
            if let Some(known) = cell.tasks.get(task) {
                *attempt = known.attempt + 1;
            }
        }
        (Op::End { task, attempt, .. }, Without::AttemptCheck) => {
            if let Some(known) = cell.tasks.get(task) {
                *attempt = known.attempt;
            }
        }
        (Op::Claim { .. }, Without::RoomCheck) => {
            cell.workers.iter_mut().for_each(|w| w.room = Room::new(1e6, u32::MAX, 9));
        }
        (Op::Lapse { .. }, Without::LapseWait) => time += Millis(60_000),
        _ => {}
    }
    let expires = Millis(u64::MAX);
    let ops = vec![op];
    let batch = Batch { writer: offset, seq: 1, expires, stamp: Stamp(0), ops };
    cell.fold(offset, time, &batch);
    if without == Without::RoomCheck {
        cell.workers.iter_mut().zip(rooms).for_each(|(w, room)| w.room = room);
    }
}
