//! One course of a scene: the real owner, workers that are modelled, time that is virtual.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_job::{Incarnation, JobId, OrderReply, Replacement, State, Submission};
use myrtle_owner::{Batch, Cell, Order, Outcome as Answer, TimeLimits};

use super::crash::Crashes;
use super::credit::{Account, share, worth};
use super::draw::{self, CRASHES, Kind, millis, objective};
use super::machine::{Machine, Presses, draw_presses};
use super::scene::Scene;

/// The length of a step, in milliseconds.
pub(super) const STEP: u64 = 20;

/// Steps between two looks of the owner at leases and loads.
const LOOK: u64 = 5;

/// Steps between two answers of a worker without ends.
const REPORT: u64 = 20;

/// The time in which lasting jobs earn, in milliseconds.
const SLOT: u64 = 2_000;

/// How long after the last job came the course goes on, in milliseconds.
const AFTER: u64 = 6_000;

/// What came of a course.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// What was earned.
    pub account: Account,
    /// The most tasks that waited at once.
    pub waiting: usize,
    /// Work that was stopped before it was done, as a share of all that was begun.
    pub vain: f64,
    /// Workers that crashed by what they had started.
    pub crashed: u32,
    /// Runs that were started in a data centre that was being emptied.
    pub strayed: u32,
}

/// A job that was handed in.
pub(super) struct Given {
    kind: Kind,
    at: u64,
    pub(super) submission: Submission,
    over: Option<u64>,
}

pub(super) struct Sim<'a> {
    pub(super) scene: &'a Scene,
    pub(super) now: u64,
    pub(super) cell: Cell,
    pub(super) machines: BTreeMap<Incarnation, Machine>,
    pub(super) crashes: Crashes,
    presses: Presses,
    pub(super) given: BTreeMap<JobId, Given>,
    batch: Option<Batch>,
    account: Account,
    waiting: usize,
    strayed: u32,
    /// The data centre that is being emptied.
    pub(super) emptied: Option<&'static str>,
    pub(super) lives: u16,
}

/// Plays a scene.
pub fn replay(scene: &Scene, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sim = Sim::new(scene, &mut rng);
    let cores = sim.machines.values().map(|m| f64::from(m.listing.room.cpu)).sum();
    let mut jobs = draw::jobs(scene, cores, &mut rng).into_iter().peekable();
    let mut next = 1;
    while sim.now < millis(scene.length) + AFTER {
        sim.now += STEP;
        while let Some((at, kind, submission)) = jobs.next_if(|(at, ..)| *at <= sim.now) {
            let id = JobId(rng.random::<u64>() | next);
            next += 1;
            sim.cell.admit(id, submission.clone(), sim.now, sim.now);
            sim.given.insert(id, Given { kind, at, submission, over: None });
        }
        sim.step();
    }
    sim.close()
}

impl<'a> Sim<'a> {
    fn new(scene: &'a Scene, rng: &mut ChaCha8Rng) -> Self {
        let mut cell = Cell::new(TimeLimits::default(), 1, 0);
        cell.loaded = true;
        let mut sim = Self {
            scene,
            now: 0,
            cell,
            machines: BTreeMap::new(),
            crashes: Crashes::default(),
            presses: draw_presses(rng),
            given: BTreeMap::new(),
            batch: None,
            account: Account::default(),
            waiting: 0,
            strayed: 0,
            emptied: None,
            lives: 0,
        };
        (0..scene.workers).for_each(|_| sim.add());
        sim
    }

    fn step(&mut self) {
        let now = self.now;
        self.happen();
        self.crash();
        for machine in self.machines.values_mut() {
            machine.work(now, STEP as f64, &self.presses);
        }
        let silent = self.scene.silent(now as f64 / 1_000.0);
        self.report(silent);
        if (now / STEP).is_multiple_of(LOOK) {
            self.cell.expire(now);
            self.cell.drain_leaving(now);
            self.cell.throttle_all(now);
            self.cell.give_up(now, now);
            let again = self.cell.resend(now);
            self.carry_out_all(again);
        }
        while self.cell.plan(now) {}
        let orders = self.cell.orders();
        self.carry_out_all(orders);
        if !silent {
            self.commit();
        }
        self.look();
    }

    /// Workers answer holds.
    fn report(&mut self, silent: bool) {
        let now = self.now;
        if silent {
            self.cell.list_missed(now);
        }
        for (at, (name, machine)) in self.machines.iter_mut().enumerate() {
            if !silent {
                self.cell.apply_listing(name.id(), machine.listing.clone(), now);
            }
            let due = (now / STEP + at as u64).is_multiple_of(REPORT);
            if !due && !machine.news {
                continue;
            }
            let seen = self.cell.renewal_args(name, now).map_or(0, |args| args.logged_ends);
            let held = machine.hold(seen, now, &self.presses);
            self.cell.renewed(name, held, now, now, now);
        }
    }

    /// The last batch is in the log, and the next one is on its way.
    fn commit(&mut self) {
        if let Some(batch) = self.batch.take() {
            let starts = self.cell.committed(batch, self.now);
            self.carry_out_all(starts);
        }
        self.batch = Some(self.cell.batch()).filter(|batch| !batch.is_empty());
    }

    fn carry_out_all(&mut self, orders: Vec<Order>) {
        orders.iter().for_each(|order| self.carry_out(order));
    }

    fn carry_out(&mut self, order: &Order) {
        let Some(machine) = self.machines.get_mut(order.worker()) else {
            let listing = self.cell.workers.get(order.worker()).and_then(|w| w.listing.as_ref());
            let away = listing.is_some_and(|l| self.crashes.away(l.address));
            return self.tell(
                order,
                if away { Answer::Unsent } else { Answer::Replaced(Replacement::Other) },
            );
        };
        let told = match order {
            Order::Start { task, run, .. } => {
                let centre = machine.listing.data_centre.as_str();
                self.strayed += u32::from(self.emptied == Some(centre));
                let step = &self.given[&task.job].submission.spec.steps[usize::from(task.step)];
                machine.start(*task, *run, step)
            }
            Order::Stop { task, run, .. } => {
                machine.stop(*task, *run);
                OrderReply::Done
            }
            Order::Throttle { task, run, percent, .. } => {
                machine.pace(*task, *run, *percent);
                OrderReply::Done
            }
        };
        if let (Order::Start { worker, task, .. }, OrderReply::Done) = (order, told) {
            self.begun(worker, *task);
        }
        self.tell(order, Answer::Replied(told));
    }

    fn tell(&mut self, order: &Order, answer: Answer) {
        let now = self.now;
        match order {
            Order::Start { worker, task, run, .. } => {
                self.cell.start_replied(worker, *task, *run, answer, now);
            }
            Order::Stop { worker, task, run } => {
                self.cell.stop_replied(worker, *task, *run, answer, now);
            }
            Order::Throttle { .. } => {}
        }
    }

    /// Notes which jobs are over and what lasting ones earn.
    fn look(&mut self) {
        let now = self.now;
        for (id, given) in self.given.iter_mut().filter(|(_, g)| g.over.is_none()) {
            if self.cell.state(*id) == Some(State::Completed) {
                given.over = Some(now);
            }
        }
        if now.is_multiple_of(SLOT) {
            self.pay_lasting();
        }
        self.waiting = self.waiting.max(self.cell.summary().waiting);
    }

    fn pay_lasting(&mut self) {
        let now = self.now;
        for (id, given) in self.given.iter().filter(|(_, g)| g.kind == Kind::Lasting) {
            let objective = objective(&given.submission);
            if now < given.at + SLOT.max(objective) {
                continue;
            }
            let (up, over) = self.machines.values().fold((0, 0), |(up, over), machine| {
                let (u, o) = machine.serving(*id);
                (up + u, over + o)
            });
            let size = draw::asked(&given.submission);
            let count = f64::from(given.submission.spec.steps[0].count);
            let share = (up as f64 - over as f64) / count;
            self.account.note(Kind::Lasting, worth(Kind::Lasting, size), share);
        }
    }

    /// What jobs earned in the end.
    fn close(mut self) -> Outcome {
        // A job that crashes its workers earns nothing and is not missed.
        let sound = |g: &&Given| g.kind != Kind::Lasting && &*g.submission.spec.body != CRASHES;
        for given in self.given.values().filter(sound) {
            let work: f64 =
                given.submission.spec.steps.iter().map(|s| s.work() * f64::from(s.count)).sum();
            let took = given.over.map(|over| over - given.at);
            let objective = objective(&given.submission);
            // Those that came last had no time to be late.
            if took.is_none() && self.now < given.at + 3 * objective {
                continue;
            }
            self.account.note(given.kind, worth(given.kind, work), share(took, objective));
            if let Some(took) = took {
                self.account.took(given.kind, took);
            }
        }
        let counts = self.cell.counts;
        let vain = counts.moved as f64 / counts.starts.max(1) as f64;
        let crashed = self.crashes.count;
        let Self { account, waiting, strayed, .. } = self;
        Outcome { account, waiting, vain, crashed, strayed }
    }
}
