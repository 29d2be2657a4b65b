//! A simulation of several cells in virtual time, each with a log, an owner and four workers.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod act;
mod chaos;
mod crash;
mod fixtures;
mod workers;

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;

use myrtle_job::{
    EndReason, EndedRun, Incarnation, JobId, Key, Listing, Progress, StepSpec, TaskId, Transfer,
    TransferId, TransferredTask,
};
use myrtle_owner::{Cell, Delivery, Order};

pub use fixtures::{JOB, listing, owner, starts, step, stops};

use fixtures::{name, submission};

/// The time between two steps, in milliseconds.
const STEP: u64 = 100;

/// The number of workers in a cell.
const WORKERS: u16 = 4;

/// The active runs of a worker, and the ends that it still reports.
#[derive(Debug, Default)]
struct Worker {
    runs: BTreeMap<TaskId, (u32, String)>,
    ended: Vec<EndedRun>,
    /// The number of ends so far.
    count: u64,
}

/// Cells, their logs and their owners.
pub struct Cells {
    pub now: u64,
    /// Whether deliveries are lost.
    pub lossy: bool,
    /// Whether cells do not exchange their loads.
    pub deaf: bool,
    /// Whether runs report progress; otherwise owners treat short ones as stalled and move them.
    pub lively: bool,
    /// The home cell of jobs that are submitted now.
    pub home: u32,
    /// The orders that the owners of each cell have sent.
    pub orders: Vec<Vec<Order>>,
    owners: Vec<Cell>,
    jobs: Vec<Vec<(Key, Vec<u8>)>>,
    progress: Vec<BTreeMap<JobId, Vec<u8>>>,
    workers: BTreeMap<Incarnation, Worker>,
    /// When restarted workers started last, by their first incarnations.
    started: BTreeMap<Incarnation, u64>,
    /// Workers that are leaving.
    leaving: Vec<Incarnation>,
    /// Crashed workers, and when another incarnation answers at their address.
    crashed: BTreeMap<Incarnation, u64>,
    /// Deliveries that arrive later.
    late: Vec<(u64, Delivery)>,
    /// The source of the delays of deliveries, if they are delayed.
    delays: Option<ChaCha8Rng>,
    /// Delayed deliveries: when they arrive, their sending cell and its fencing token.
    in_transit: Vec<(u64, usize, u64, Delivery)>,
    /// Cells whose owners end as soon as they have written.
    ending: Vec<usize>,
    fence: u64,
}

impl Cells {
    /// `count` cells that exchange loads, the first of them filled by one job.
    pub fn full(count: usize) -> Self {
        let mut cells = Self::of(count, vec![step()]);
        assert_eq!(starts(&cells.orders[0]).len(), 16);
        cells.deaf = false;
        cells
    }

    /// `count` cells that do not exchange loads yet; the first has a job of these steps.
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
            delays: None,
            in_transit: vec![],
            ending: vec![],
            fence: 1,
        };
        cells.now += 2_000;
        cells.append(0, Key::Job(JOB), myrtle_job::encode(&submission(steps)));
        // The last tasks wait briefly before they may use the room that is reserved for short ones.
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

    /// The number of active runs.
    pub fn living(&self) -> usize {
        self.workers.values().map(|w| w.runs.len()).sum()
    }

    /// Cancels a job of a cell.
    pub fn cancel(&mut self, cell: usize, job: JobId) {
        let now = self.now;
        assert!(self.owners[cell].cancel(job, now, now));
    }

    /// Transfers tasks to a cell that ran once in the first cell and have no run now.
    pub fn give_part(&mut self, cell: usize, job: JobId, count: u16) {
        let tasks = (0..count).map(|index| TransferredTask {
            task: TaskId { job, round: 0, step: 0, index },
            last_run: 1,
            checkpoint: String::new(),
        });
        let tasks = tasks.collect();
        let part = Transfer {
            submission: submission(vec![step()]),
            tasks,
            budgets: vec![],
            crashes: vec![],
            unbegun_losses: vec![],
        };
        let id = TransferId { job, from: 0, number: 0 };
        self.append(cell, Key::Transfer(id), myrtle_job::encode(&part));
    }

    /// Cancels the job of the home cell.
    pub fn cancel_home(&mut self) {
        let now = self.now;
        assert!(self.owners[0].cancel(JOB, now, now));
        self.run(1_000);
    }

    /// Submits another job to a cell.
    pub fn give_job(&mut self, cell: usize, id: JobId, steps: Vec<StepSpec>) {
        self.append(cell, Key::Job(id), myrtle_job::encode(&submission(steps)));
    }

    /// Lets the first worker of a cell leave that runs a task of a job.
    pub fn leave_with(&mut self, cell: usize, job: JobId) {
        let runs = |n: &u16| {
            let worker = self.workers.get(&name(cell, *n));
            worker.is_some_and(|w| w.runs.keys().any(|task| task.job == job))
        };
        let worker = (0..WORKERS).find(runs).unwrap();
        self.leave(cell, worker);
    }

    /// Starts the successor of a cell's owner.
    pub fn take_over(&mut self, cell: usize) {
        self.fence += 1;
        let mut successor = owner(cell as u32, self.fence, self.now);
        successor.loaded = false;
        std::mem::swap(&mut self.owners[cell], &mut successor);
        let records = self.jobs[cell].clone();
        records.iter().for_each(|(key, value)| self.admit(cell, *key, value));
        for (id, bytes) in self.progress[cell].clone() {
            let progress = Progress::read(&bytes).unwrap();
            self.owners[cell].restore_progress(id, progress, self.now);
        }
        let parts = records.iter().filter(|(key, _)| !matches!(key, Key::Job(_)));
        parts.for_each(|(key, value)| self.admit(cell, *key, value));
        self.owners[cell].loaded = true;
        for worker in 0..WORKERS {
            let (now, leaves) = (self.now, self.leaving.contains(&name(cell, worker)));
            if leaves || self.started.contains_key(&name(cell, worker)) {
                let entry = self.entry(cell, worker, leaves);
                self.owners[cell].apply_listing(name(cell, worker).id(), entry, now);
            }
        }
        let inherited = self.owners[cell].deliveries();
        self.deliver(cell, inherited);
    }

    /// Exchanges the loads of all cells.
    pub fn talk(&mut self) {
        let now = self.now;
        let loads: Vec<_> = self.owners.iter().map(|c| c.load(now)).collect();
        for (at, cell) in self.owners.iter_mut().enumerate() {
            for (other, load) in loads.iter().enumerate().filter(|(other, _)| *other != at) {
                cell.record_load(other as u32, load.clone(), now);
            }
        }
    }

    /// Runs for some milliseconds.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.step();
        }
    }

    /// Lets every worker of a cell report the ends of stopped runs.
    pub fn confirm_stops(&mut self, cell: usize) {
        self.renew(cell);
        self.write(cell);
    }

    /// Advances time by one step.
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
        due.into_iter().for_each(|(_, d)| self.append(d.to as usize, d.key, d.record));
        self.arrive();
        for cell in 0..self.owners.len() {
            self.renew(cell);
            self.owners[cell].expire(now);
            self.owners[cell].drain_leaving(now);
            self.owners[cell].give_up(now, now);
            self.owners[cell].plan(now);
            self.write(cell);
        }
        let mut tasks: Vec<_> = self.workers.values().flat_map(|w| w.runs.keys()).collect();
        tasks.sort_unstable();
        assert!(tasks.windows(2).all(|pair| pair[0] != pair[1]), "a task runs twice at {now}");
    }
}
