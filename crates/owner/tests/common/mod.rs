//! A small world in virtual time: workers, a log and owners, with faults on purpose.
//!
//! The real owner decides; the world judges what workers see.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod judge;
mod worker;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_base::Room;
use myrtle_job::{
    Ended, How, JobId, JobSpec, Listing, Policy, Progress, StepSpec, Submission, TaskId, Told,
    decode,
};
use myrtle_owner::{Batch, Bounds, Cell, Order, Outcome};

pub use judge::Judge;
pub use worker::FakeWorker;

/// The length of one step of the world, in milliseconds.
pub const STEP: u64 = 10;

/// Steps between two holds of a worker.
const HOLD_EVERY: u64 = 8;

/// What goes wrong with orders, each as a share of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Carried out, but the answer is lost.
    pub unanswered: f64,
    /// Carried out 2 to 12 s later, without an answer.
    pub late: f64,
}

/// One owner and what it has under way.
pub struct Owner {
    pub cell: Cell,
    pub deposed: bool,
    /// Whether it reaches the log.
    pub logged: bool,
    /// Whether it runs at all.
    pub awake: bool,
    batch: Option<Batch>,
}

/// The whole world.
pub struct World {
    pub now: u64,
    pub workers: BTreeMap<Arc<str>, FakeWorker>,
    pub owners: Vec<Owner>,
    pub judge: Judge,
    pub faults: Faults,
    pub rng: ChaCha8Rng,
    /// Workers that a queue with advice may use.
    pub permitted: Vec<&'static str>,
    jobs: BTreeMap<JobId, Submission>,
    progress: BTreeMap<JobId, Vec<u8>>,
    fence: u64,
    late: Vec<(u64, u64, u64, Order)>,
    /// Which owner reaches which worker; everybody unless named here.
    cuts: HashMap<(usize, Arc<str>), bool>,
    next: u64,
}

impl World {
    /// A world with `count` workers of 32 cores and one owner.
    pub fn new(seed: u64, count: usize) -> Self {
        let mut world = Self {
            now: 1_000,
            workers: BTreeMap::new(),
            owners: Vec::new(),
            judge: Judge::default(),
            faults: Faults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            permitted: Vec::new(),
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            fence: 0,
            late: Vec::new(),
            cuts: HashMap::new(),
            next: 1,
        };
        for n in 0..count {
            world.add_worker(&format!("w{n}"), n as u16);
        }
        world.take_over();
        world
    }

    /// Adds a worker life at an address; the same address twice is a reborn worker.
    pub fn add_worker(&mut self, id: &str, address: u16) {
        let listing = Listing {
            service: "s".into(),
            address: ([10, 0, 0, 1], 1000 + address).into(),
            data_centre: "d".into(),
            draining: false,
            remaining: None,
            room: Room { cpu: 32_000, mem: 128_000, accel: 0 },
            labels: vec!["a".into(), format!("r{}", address / 4)],
            machine: Some(format!("m{address}")),
            number: 1,
        };
        self.workers.insert(id.into(), FakeWorker::new(listing, self.now));
    }

    /// A new owner reads the log; earlier ones go on until they learn of it.
    pub fn take_over(&mut self) -> usize {
        self.fence += 1;
        let mut cell = Cell::new(Bounds::default(), self.fence, self.now);
        for (&id, submission) in &self.jobs {
            cell.admit(id, submission.clone(), self.now, self.now);
        }
        for (&id, bytes) in &self.progress {
            let progress: Progress = decode(bytes).unwrap();
            cell.inherit(id, progress, self.now);
        }
        cell.loaded = true;
        self.owners.push(Owner { cell, deposed: false, logged: true, awake: true, batch: None });
        self.owners.len() - 1
    }

    /// The newest owner.
    pub fn owner(&mut self) -> &mut Owner {
        self.owners.last_mut().unwrap()
    }

    /// Hands a job in.
    pub fn submit(&mut self, spec: JobSpec) -> JobId {
        self.submit_as(spec, Policy { attempts: 3, ..policy() })
    }

    /// Hands a job in to a queue with a policy of its own.
    pub fn submit_as(&mut self, spec: JobSpec, policy: Policy) -> JobId {
        let id = JobId(self.next);
        self.next += 1;
        spec.check().unwrap();
        let submission = Submission { policy, spec, taken: self.now };
        self.judge.job(id, &submission);
        self.jobs.insert(id, submission.clone());
        let now = self.now;
        for owner in &mut self.owners {
            owner.cell.admit(id, submission.clone(), now, now);
        }
        id
    }

    /// Takes a job back by way of the newest owner.
    pub fn cancel(&mut self, id: JobId) {
        let now = self.now;
        assert!(self.owner().cell.cancel(id, now, now));
    }

    /// Cuts an owner off from a worker, or heals that.
    pub fn cut(&mut self, owner: usize, worker: &str, cut: bool) {
        self.cuts.insert((owner, worker.into()), cut);
    }

    /// Runs for a while.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until every job is over, or a limit; returns whether they are.
    pub fn finish(&mut self, limit: u64) -> bool {
        let end = self.now + limit;
        while self.now < end {
            self.step();
            let cell = &self.owners.last().unwrap().cell;
            if cell.jobs.values().all(|j| j.shown.over()) {
                return true;
            }
        }
        false
    }

    fn step(&mut self) {
        self.now += STEP;
        for worker in self.workers.values_mut() {
            worker.work(self.now, &mut self.judge);
        }
        self.late_orders();
        for at in 0..self.owners.len() {
            if self.owners[at].awake && !self.owners[at].deposed {
                self.act(at);
            }
        }
    }

    fn act(&mut self, at: usize) {
        let now = self.now;
        for (id, worker) in &self.workers {
            if worker.listed {
                self.owners[at].cell.list(id, worker.listing.clone(), now);
            } else {
                self.owners[at].cell.unlist(id);
            }
        }
        if (now / STEP).is_multiple_of(HOLD_EVERY) {
            self.hold_all(at);
            let cell = &mut self.owners[at].cell;
            cell.lapse(now);
            cell.evacuate(now);
            cell.look_for_copies(now);
            cell.begin_rounds(now);
            let again = cell.repeat(now);
            self.send_all(at, again);
        }
        self.owners[at].cell.plan(now);
        for question in self.owners[at].cell.questions() {
            let good = question.workers.iter().filter(|w| self.permitted.contains(&&***w));
            let good = good.map(|w| (w.clone(), "t".to_string())).collect();
            self.owners[at].cell.answered(&question, Some(good), now, now);
        }
        let orders = self.owners[at].cell.orders();
        self.send_all(at, orders);
        self.commit(at);
    }

    fn commit(&mut self, at: usize) {
        let now = self.now;
        let current = self.fence;
        let owner = &mut self.owners[at];
        if owner.batch.is_none() {
            owner.batch = Some(owner.cell.batch()).filter(|b| !b.is_empty());
        }
        if !owner.logged {
            return;
        }
        let Some(batch) = owner.batch.take() else {
            return;
        };
        if owner.cell.fence < current {
            owner.deposed = true;
            return;
        }
        for (id, bytes) in &batch.records {
            self.progress.insert(*id, bytes.clone());
        }
        let starts = owner.cell.committed(batch, now);
        self.send_all(at, starts);
    }

    fn hold_all(&mut self, at: usize) {
        let now = self.now;
        let ids: Vec<_> = self.workers.keys().cloned().collect();
        for id in ids {
            let Some(args) = self.owners[at].cell.hold_args(&id, now) else {
                continue;
            };
            if !self.reaches(at, &id) {
                self.owners[at].cell.hold_failed(&id, false, now);
                continue;
            }
            let worker = self.workers.get_mut(&id).unwrap();
            if worker.gone {
                self.owners[at].cell.hold_failed(&id, true, now);
                continue;
            }
            match worker.hold(args.fence, args.seen, args.until, now, &mut self.judge) {
                Ok(held) => self.owners[at].cell.held(&id, held, now - 1, now, now),
                Err(_) => self.owners[at].deposed = true,
            }
        }
    }

    fn send_all(&mut self, at: usize, orders: Vec<Order>) {
        for order in orders {
            self.send(at, order);
        }
    }

    fn send(&mut self, at: usize, order: Order) {
        let now = self.now;
        let id = order.worker().clone();
        let fence = self.owners[at].cell.fence;
        let until = self.owners[at].cell.until(&id, now);
        let start = matches!(order, Order::Start { .. });
        if !self.reaches(at, &id) || (start && until.is_none()) {
            return self.tell(at, &order, Outcome::Unsent);
        }
        let until = until.unwrap_or_default();
        let draw: f64 = self.rng.random();
        if draw < self.faults.late {
            let due = now + self.rng.random_range(2_000..12_000);
            self.late.push((due, fence, until, order.clone()));
            return self.tell(at, &order, Outcome::Unknown);
        }
        let outcome = self.carry_out(&order, fence, until);
        let lost = draw < self.faults.late + self.faults.unanswered;
        self.tell(at, &order, if lost { Outcome::Unknown } else { outcome });
    }

    fn carry_out(&mut self, order: &Order, fence: u64, until: u64) -> Outcome {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(order.worker()) else {
            return Outcome::Reborn;
        };
        if worker.gone {
            return Outcome::Reborn;
        }
        let told = match order {
            Order::Start { task, run, .. } => {
                let spec = self.judge.step(*task).clone();
                worker.start(*task, *run, &spec, (fence, until), now, &mut self.judge)
            }
            Order::Stop { task, run, .. } => worker.stop(*task, *run, fence, &mut self.judge),
            Order::Pace { task, run, percent, .. } => worker.pace(*task, *run, *percent, fence),
        };
        Outcome::Told(told)
    }

    fn tell(&mut self, at: usize, order: &Order, outcome: Outcome) {
        let now = self.now;
        let cell = &mut self.owners[at].cell;
        let fenced = match order {
            Order::Start { worker, task, run, .. } => {
                cell.start_told(worker, *task, *run, outcome, now)
            }
            Order::Stop { worker, task, run } => cell.stop_told(worker, *task, *run, outcome, now),
            Order::Pace { .. } => outcome == Outcome::Told(Told::Fenced),
        };
        self.owners[at].deposed |= fenced;
    }

    fn late_orders(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, ..)| *at <= now);
        self.late = rest;
        for (_, fence, until, order) in due {
            self.carry_out(&order, fence, until);
        }
    }

    fn reaches(&self, at: usize, worker: &Arc<str>) -> bool {
        let cut = self.cuts.get(&(at, worker.clone())).copied().unwrap_or(false);
        !cut && self.workers.get(worker).is_some_and(|w| w.reachable)
    }
}

/// A queue's policy as most tests need it.
pub fn policy() -> Policy {
    Policy {
        queue: "q".into(),
        service: "s".into(),
        attempts: 3,
        stretch: 2.0,
        slack: 1_000,
        ..Policy::default()
    }
}

/// A step of `count` tasks of two cores and a second each.
pub fn step(count: u16) -> StepSpec {
    StepSpec {
        count,
        room: Room { cpu: 2_000, mem: 1_000, accel: 0 },
        estimate: 1_000,
        ..StepSpec::default()
    }
}

/// A job of some steps.
pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { body: "b".into(), steps, repeat: None }
}

/// The end of a run, for tests that make their own reports.
pub fn ended(number: u64, task: TaskId, run: u32, how: How) -> Ended {
    Ended { number, task, run, how, saved: String::new() }
}
