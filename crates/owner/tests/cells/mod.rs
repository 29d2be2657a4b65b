//! Several cells in virtual time, each with its log, its owner and four workers that do as told.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_base::Room;
use myrtle_job::{
    Ended, Held, How, JobId, JobSpec, Key, Listing, Policy, Progress, Running, StepSpec,
    Submission, TaskId, Told, decode,
};
use myrtle_owner::{Bounds, Cell, Delivery, Order, Outcome};

/// The job that fills the first cell.
pub const JOB: JobId = JobId(7);

/// The time between two steps, in milliseconds.
const STEP: u64 = 100;

/// How many workers a cell has.
const WORKERS: u16 = 4;

/// What a worker runs, and the ends that it still has to tell.
#[derive(Debug, Default)]
struct Worker {
    runs: BTreeMap<TaskId, (u32, String)>,
    ended: Vec<Ended>,
    told: u64,
}

/// Cells, their logs and their owners.
pub struct Cells {
    pub now: u64,
    /// Whether deliveries get lost.
    pub lossy: bool,
    /// Whether cells tell each other nothing.
    pub deaf: bool,
    /// The home of jobs that come now.
    pub home: u32,
    /// What the owners of each cell have ordered.
    pub orders: Vec<Vec<Order>>,
    owners: Vec<Cell>,
    jobs: Vec<Vec<(Key, Vec<u8>)>>,
    progress: Vec<BTreeMap<JobId, Vec<u8>>>,
    workers: BTreeMap<Arc<str>, Worker>,
    /// Workers that leave.
    leaving: Vec<Arc<str>>,
    /// Deliveries that arrive later.
    late: Vec<(u64, Delivery)>,
    /// Where the deliveries of a moment come from, while each takes its time.
    slow: Option<ChaCha8Rng>,
    /// Deliveries that take their time: when they arrive, their cell and its fencing token.
    under_way: Vec<(u64, usize, u64, Delivery)>,
    /// Cells whose owners die as soon as they have written.
    dying: Vec<usize>,
    fence: u64,
}

/// The name of a worker.
fn name(cell: usize, worker: u16) -> Arc<str> {
    format!("w{cell}-{worker}").into()
}

/// What a worker of 32 cores says of itself.
pub fn listing(cell: usize, worker: u16, draining: bool) -> Listing {
    Listing {
        service: "s".into(),
        address: ([10, 0, cell as u8, 1], 1000 + worker).into(),
        data_centre: format!("d{cell}"),
        draining,
        remaining: None,
        room: Room { cpu: 32_000, mem: 128_000, accel: 0 },
        labels: vec![],
        machine: None,
        written: 1,
    }
}

/// An owner of a cell of four workers, which is one of several cells.
pub fn owner(number: u32, fence: u64, now: u64) -> Cell {
    let mut cell = Cell::new(Bounds::default(), fence, now);
    cell.number = number;
    cell.alone = false;
    cell.loaded = true;
    for worker in 0..WORKERS {
        cell.list(&name(number as usize, worker), listing(number as usize, worker, false), now);
        let held = Held { clock: now, running: vec![], ended: vec![] };
        cell.held(&name(number as usize, worker), held, now, now, now);
    }
    cell
}

/// A step of 16 tasks that last and fill four workers of 32 cores.
pub fn step() -> StepSpec {
    StepSpec {
        count: 16,
        room: Room { cpu: 8_000, mem: 1_000, accel: 0 },
        estimate: 1_000,
        lasting: true,
        ..StepSpec::default()
    }
}

/// A job of some steps.
fn submission(steps: Vec<StepSpec>) -> Submission {
    let spec = JobSpec { body: "b".into(), steps, repeat: None };
    let policy =
        Policy { queue: "q".into(), service: "s".into(), attempts: 3, ..Policy::default() };
    Submission { policy, spec, taken: 0 }
}

/// The starts among some orders: task, run, checkpoint.
pub fn starts(orders: &[Order]) -> Vec<(TaskId, u32, String)> {
    let starts = orders.iter().filter_map(|order| match order {
        Order::Start { task, run, saved, .. } => Some((*task, *run, saved.clone())),
        _ => None,
    });
    starts.collect()
}

/// The stops among some orders: task and run.
pub fn stops(orders: &[Order]) -> Vec<(TaskId, u32)> {
    let stops = orders.iter().filter_map(|order| match order {
        Order::Stop { task, run, .. } => Some((*task, *run)),
        _ => None,
    });
    stops.collect()
}

impl Cells {
    /// So many cells, the first of them full with one job.
    pub fn full(count: usize) -> Self {
        let mut cells = Self::of(count, vec![step()]);
        assert_eq!(starts(&cells.orders[0]).len(), 16);
        cells.deaf = false;
        cells
    }

    /// So many cells that tell each other nothing yet; the first has a job of these steps.
    pub fn of(count: usize, steps: Vec<StepSpec>) -> Self {
        let mut cells = Self {
            now: 1_000,
            lossy: false,
            deaf: true,
            home: 0,
            orders: vec![vec![]; count],
            owners: (0..count).map(|n| owner(n as u32, 1, 1_000)).collect(),
            jobs: vec![vec![]; count],
            progress: vec![BTreeMap::new(); count],
            workers: BTreeMap::new(),
            leaving: vec![],
            late: vec![],
            slow: None,
            under_way: vec![],
            dying: vec![],
            fence: 1,
        };
        cells.now += 2_000;
        cells.give(0, Key::Job(JOB), myrtle_job::encode(&submission(steps)));
        // The last ones wait for a moment before they take room that is kept for short tasks.
        cells.run(2_000);
        cells
    }

    /// The owner of a cell.
    pub fn owner(&mut self, cell: usize) -> &mut Cell {
        &mut self.owners[cell]
    }

    /// The records of jobs in a cell's log.
    pub fn records(&self, cell: usize) -> &[(Key, Vec<u8>)] {
        &self.jobs[cell]
    }

    /// How many runs go on.
    pub fn living(&self) -> usize {
        self.workers.values().map(|w| w.runs.len()).sum()
    }

    /// A worker says that it leaves.
    pub fn leave(&mut self, cell: usize, worker: u16) {
        let now = self.now;
        self.owners[cell].list(&name(cell, worker), listing(cell, worker, true), now);
        self.leaving.push(name(cell, worker));
    }

    /// A run of a task ends well.
    pub fn finish(&mut self, task: TaskId) {
        for worker in self.workers.values_mut() {
            if let Some((run, saved)) = worker.runs.remove(&task) {
                worker.told += 1;
                worker.ended.push(Ended { number: worker.told, task, run, how: How::Done, saved });
            }
        }
    }

    /// The home's job is taken back.
    pub fn cancel_home(&mut self) {
        let now = self.now;
        assert!(self.owners[0].cancel(JOB, now, now));
        self.run(1_000);
    }

    /// One more job comes to a cell.
    pub fn give_job(&mut self, cell: usize, id: JobId, steps: Vec<StepSpec>) {
        self.give(cell, Key::Job(id), myrtle_job::encode(&submission(steps)));
    }

    /// The first worker of a cell that runs something of a job leaves.
    pub fn leave_with(&mut self, cell: usize, job: JobId) {
        let holds = |n: &u16| {
            let worker = self.workers.get(&name(cell, *n));
            worker.is_some_and(|w| w.runs.keys().any(|task| task.job == job))
        };
        let worker = (0..WORKERS).find(holds).unwrap();
        self.leave(cell, worker);
    }

    /// A worker that was to leave stays.
    pub fn stay(&mut self, cell: usize, worker: u16) {
        let now = self.now;
        self.owners[cell].list(&name(cell, worker), listing(cell, worker, false), now);
        self.leaving.retain(|id| *id != name(cell, worker));
    }

    /// Another host takes a cell over.
    pub fn take_over(&mut self, cell: usize) {
        self.fence += 1;
        let mut next = owner(cell as u32, self.fence, self.now);
        next.loaded = false;
        std::mem::swap(&mut self.owners[cell], &mut next);
        let records = self.jobs[cell].clone();
        records.iter().for_each(|(key, value)| self.admit(cell, *key, value));
        for (id, bytes) in self.progress[cell].clone() {
            let progress = Progress::read(&bytes).unwrap();
            self.owners[cell].inherit(id, progress, self.now);
        }
        let parts = records.iter().filter(|(key, _)| !matches!(key, Key::Job(_)));
        parts.for_each(|(key, value)| self.admit(cell, *key, value));
        self.owners[cell].loaded = true;
        for worker in 0..WORKERS {
            if self.leaving.contains(&name(cell, worker)) {
                let now = self.now;
                self.owners[cell].list(&name(cell, worker), listing(cell, worker, true), now);
            }
        }
        let inherited = self.owners[cell].deliveries();
        self.deliver(cell, inherited);
    }

    /// Cells tell each other how full they are.
    pub fn talk(&mut self) {
        let now = self.now;
        let loads: Vec<_> = self.owners.iter().map(|c| c.load(now)).collect();
        for (at, cell) in self.owners.iter_mut().enumerate() {
            for (other, load) in loads.iter().enumerate().filter(|(other, _)| *other != at) {
                cell.hear(other as u32, load.clone(), now);
            }
        }
    }

    /// Runs for a while.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.step();
        }
    }

    /// Workers leave, owners die, deliveries are late or repeated; then all is quiet.
    pub fn chaos(&mut self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..60 {
            match rng.random_range(0..12) {
                0 if self.leaving.len() < 4 => {
                    let cell = rng.random_range(0..2);
                    let worker = rng.random_range(0..WORKERS);
                    if !self.leaving.contains(&name(cell, worker)) {
                        self.leave(cell, worker);
                    }
                }
                1 => self.take_over(rng.random_range(0..self.owners.len())),
                2 => self.lossy = rng.random(),
                3 => self.repeat_a_delivery(&mut rng),
                _ => {}
            }
            self.step();
        }
        self.lossy = false;
        (0..self.owners.len()).for_each(|cell| self.take_over(cell));
        self.run(6_000);
    }

    /// As `chaos`, but every delivery takes its time, in any order, also those of owners that have
    /// died; owners die between writing and acting; the job is taken back at step `cancel`.
    pub fn slow_chaos(&mut self, seed: u64, cancel: Option<u64>) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        self.slow = Some(ChaCha8Rng::seed_from_u64(seed + 1));
        for at in 0..80 {
            let cell = rng.random_range(0..self.owners.len());
            match rng.random_range(0..10) {
                0 if self.leaving.len() < 4 => {
                    let worker = rng.random_range(0..WORKERS);
                    if !self.leaving.contains(&name(cell, worker)) {
                        self.leave(cell, worker);
                    }
                }
                1 => self.take_over(cell),
                2 => self.dying.push(cell),
                3 => self.repeat_a_delivery(&mut rng),
                _ => {}
            }
            if cancel == Some(at) {
                self.owners[0].cancel(JOB, self.now, self.now);
                // A client is told only once that is written; it asks again until then.
                self.dying.clear();
            }
            self.step();
        }
        self.dying.clear();
        // No more owners come that would read the logs anew.
        self.run(12_000);
    }

    /// Lets every worker of a cell tell the ends of what it has stopped.
    pub fn confirm_stops(&mut self, cell: usize) {
        self.hold(cell);
        self.write(cell);
    }

    fn repeat_a_delivery(&mut self, rng: &mut impl Rng) {
        let cell = rng.random_range(0..self.jobs.len());
        if let Some((key, record)) = self.jobs[cell].last().cloned() {
            let delivery = Delivery { key, to: cell as u32, record };
            self.late.push((self.now + rng.random_range(100..3_000), delivery));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        if !self.deaf {
            self.talk();
        }
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= now);
        self.late = rest;
        let due: Vec<(u64, Delivery)> = due;
        due.into_iter().for_each(|(_, d)| self.give(d.to as usize, d.key, d.record));
        self.arrive();
        for cell in 0..self.owners.len() {
            self.hold(cell);
            self.owners[cell].evacuate(now);
            self.owners[cell].plan(now);
            self.write(cell);
        }
        let mut tasks: Vec<_> = self.workers.values().flat_map(|w| w.runs.keys()).collect();
        tasks.sort_unstable();
        assert!(tasks.windows(2).all(|pair| pair[0] != pair[1]), "a task runs twice at {now}");
    }

    /// Every worker of a cell answers a hold.
    fn hold(&mut self, cell: usize) {
        let now = self.now;
        for n in 0..WORKERS {
            let id = name(cell, n);
            let worker = self.workers.entry(id.clone()).or_default();
            let seen = self.owners[cell].hold_args(&id, now).map_or(0, |args| args.seen);
            worker.ended.retain(|end| end.number > seen);
            let running = worker.runs.iter().map(|(&task, (run, saved))| Running {
                task,
                run: *run,
                saved: saved.clone(),
                percent: 100.0,
                figure: None,
            });
            let held = Held { clock: now, running: running.collect(), ended: worker.ended.clone() };
            self.owners[cell].held(&id, held, now, now, now);
        }
    }

    /// The owner writes; orders and deliveries go out.
    fn write(&mut self, cell: usize) {
        let now = self.now;
        let owner = &mut self.owners[cell];
        let mut orders = owner.orders();
        let batch = owner.batch();
        for (id, value) in &batch.records {
            match value.is_empty() {
                true => drop(self.progress[cell].remove(id)),
                false => drop(self.progress[cell].insert(*id, value.clone())),
            }
        }
        if self.dying.contains(&cell) {
            self.dying.retain(|c| *c != cell);
            return self.take_over(cell);
        }
        let owner = &mut self.owners[cell];
        orders.extend(owner.committed(batch, now));
        let deliveries = owner.deliveries();
        orders.into_iter().for_each(|order| self.carry_out(cell, order));
        self.deliver(cell, deliveries);
    }

    fn carry_out(&mut self, cell: usize, order: Order) {
        let now = self.now;
        let worker = self.workers.entry(order.worker().clone()).or_default();
        let told = Outcome::Told(Told::Done);
        match &order {
            Order::Start { worker: life, task, run, .. } => {
                worker.runs.insert(*task, (*run, format!("saved-{}", task.index)));
                self.owners[cell].start_told(life, *task, *run, told, now);
            }
            Order::Stop { worker: life, task, run } => {
                if let Some((run, saved)) = worker.runs.remove(task) {
                    worker.told += 1;
                    let (number, how) = (worker.told, How::Stopped);
                    worker.ended.push(Ended { number, task: *task, run, how, saved });
                }
                self.owners[cell].stop_told(life, *task, *run, told, now);
            }
            Order::Pace { .. } => {}
        }
        self.orders[cell].push(order);
    }

    fn deliver(&mut self, cell: usize, deliveries: Vec<Delivery>) {
        if self.lossy {
            return;
        }
        if let Some(rng) = &mut self.slow {
            let (now, fence) = (self.now, self.owners[cell].fence);
            let slow =
                deliveries.into_iter().map(|d| (now + rng.random_range(0..2_500), cell, fence, d));
            return self.under_way.extend(slow);
        }
        for delivery in deliveries {
            let Delivery { key, to, record } = delivery;
            self.give(to as usize, key, record);
            self.owners[cell].delivered(key);
        }
    }

    /// Deliveries that took their time are in the logs now; a dead owner does not learn of it.
    fn arrive(&mut self) {
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.under_way).into_iter().partition(|(at, ..)| *at <= now);
        self.under_way = rest;
        let due: Vec<(u64, usize, u64, Delivery)> = due;
        for (_, cell, fence, Delivery { key, to, record }) in due {
            self.give(to as usize, key, record);
            if self.owners[cell].fence == fence {
                self.owners[cell].delivered(key);
            }
        }
    }

    /// Puts a record into a cell's log, and its owner reads it.
    fn give(&mut self, cell: usize, key: Key, record: Vec<u8>) {
        self.jobs[cell].retain(|(k, _)| *k != key);
        self.jobs[cell].push((key, record.clone()));
        self.admit(cell, key, &record);
    }

    fn admit(&mut self, cell: usize, key: Key, record: &[u8]) {
        let now = self.now;
        let owner = &mut self.owners[cell];
        match key {
            Key::Job(id) => {
                owner.admit(id, decode(record).unwrap(), now, now);
                owner.settle(id, self.home);
            }
            Key::Part(id) => owner.take_part(id, decode(record).unwrap(), now, now),
            Key::Recall(id) => owner.take_back(id.job, now, now),
        }
    }
}
