//! Several cells in virtual time, each with its log, its owner and four workers that do as told.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod act;
mod chaos;
mod crash;
mod given;

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;

use myrtle_job::{
    Ended, How, Incarnation, JobId, Key, Listing, Part, PartId, PartTask, Progress, StepSpec,
    TaskId,
};
use myrtle_owner::{Cell, Delivery, Order};

pub use given::{JOB, listing, owner, starts, step, stops};

use given::{name, submission};

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
    /// Whether runs show progress; else owners take short ones to stand still and move them.
    pub lively: bool,
    /// The home of jobs that come now.
    pub home: u32,
    /// What the owners of each cell have ordered.
    pub orders: Vec<Vec<Order>>,
    owners: Vec<Cell>,
    jobs: Vec<Vec<(Key, Vec<u8>)>>,
    progress: Vec<BTreeMap<JobId, Vec<u8>>>,
    workers: BTreeMap<Incarnation, Worker>,
    /// When workers started that have started anew, by their first incarnations.
    started: BTreeMap<Incarnation, u64>,
    /// Workers that leave.
    leaving: Vec<Incarnation>,
    /// Workers that have crashed, and when another life answers in their place.
    crashed: BTreeMap<Incarnation, u64>,
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
            lively: false,
            home: 0,
            orders: vec![vec![]; count],
            owners: (0..count).map(|n| owner(n as u32, 1, 1_000)).collect(),
            jobs: vec![vec![]; count],
            progress: vec![BTreeMap::new(); count],
            workers: BTreeMap::new(),
            started: BTreeMap::new(),
            leaving: vec![],
            crashed: BTreeMap::new(),
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
        let entry = self.entry(cell, worker, true);
        self.owners[cell].list(name(cell, worker).id(), entry, now);
        self.leaving.push(name(cell, worker));
    }

    /// A worker starts anew under its id: it runs nothing, and its ends are numbered from 1. Only answers tell of
    /// it until its entry is read.
    pub fn restart(&mut self, cell: usize, worker: u16) {
        let id = name(cell, worker);
        self.workers.insert(id.clone(), Worker::default());
        self.started.insert(id, self.now);
    }

    /// A worker's entry is read.
    pub fn read_entry(&mut self, cell: usize, worker: u16) {
        let leaves = self.leaving.contains(&name(cell, worker));
        let (now, entry) = (self.now, self.entry(cell, worker, leaves));
        self.owners[cell].list(name(cell, worker).id(), entry, now);
    }

    /// The incarnation of a worker that is there now.
    fn life(&self, first: &Incarnation) -> Incarnation {
        self.started.get(first).map_or_else(|| first.clone(), |start| first.started(*start))
    }

    /// A worker is lost for good with all that it runs, and nobody is told.
    pub fn silence(&mut self, cell: usize, worker: u16) {
        let id = name(cell, worker);
        self.workers.entry(id.clone()).or_default().runs.clear();
        self.crashed.insert(id, u64::MAX);
    }

    /// What a worker says of itself now.
    fn entry(&self, cell: usize, worker: u16, draining: bool) -> Listing {
        let start = self.life(&name(cell, worker)).start();
        Listing { start, ..listing(cell, worker, draining) }
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

    /// A job of a cell is taken back.
    pub fn cancel(&mut self, cell: usize, job: JobId) {
        let now = self.now;
        assert!(self.owners[cell].cancel(job, now, now));
    }

    /// Tasks of a job that ran once in the first cell, and are nowhere now, come to a cell.
    pub fn give_part(&mut self, cell: usize, job: JobId, count: u16) {
        let tasks = (0..count).map(|index| PartTask {
            task: TaskId { job, round: 0, step: 0, index },
            last: 1,
            saved: String::new(),
        });
        let tasks = tasks.collect();
        let part = Part {
            submission: submission(vec![step()]),
            tasks,
            allowances: vec![],
            crashes: vec![],
        };
        let id = PartId { job, from: 0, number: 0 };
        self.give(cell, Key::Part(id), myrtle_job::encode(&part));
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
        let entry = self.entry(cell, worker, false);
        self.owners[cell].list(name(cell, worker).id(), entry, now);
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
            let (now, leaves) = (self.now, self.leaving.contains(&name(cell, worker)));
            if leaves || self.started.contains_key(&name(cell, worker)) {
                let entry = self.entry(cell, worker, leaves);
                self.owners[cell].list(name(cell, worker).id(), entry, now);
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

    /// Lets every worker of a cell tell the ends of what it has stopped.
    pub fn confirm_stops(&mut self, cell: usize) {
        self.hold(cell);
        self.write(cell);
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
            self.owners[cell].lapse(now);
            self.owners[cell].evacuate(now);
            self.owners[cell].give_up(now, now);
            self.owners[cell].plan(now);
            self.write(cell);
        }
        let mut tasks: Vec<_> = self.workers.values().flat_map(|w| w.runs.keys()).collect();
        tasks.sort_unstable();
        assert!(tasks.windows(2).all(|pair| pair[0] != pair[1]), "a task runs twice at {now}");
    }
}
