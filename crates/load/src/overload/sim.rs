//! Simulation of a scene with the real owner and modelled workers, in virtual time.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_job::{Incarnation, JobId, OrderReply, Replacement, State, Submission};
use myrtle_owner::{Batch, Cell, Order, Outcome as OrderOutcome, TimeLimits};

use super::crash::Crashes;
use super::credit::{Account, share, worth};
use super::draw::{self, CRASHING_BODY, Kind, millis, objective};
use super::machine::{Interference, Machine, draw_interference};
use super::scene::Scene;

/// Length of a simulation step, in milliseconds.
pub(super) const STEP: u64 = 20;

/// Steps between two checks of leases and loads by the owner.
const EXPIRE_STEPS: u64 = 5;

/// Steps between two lease renewals of a worker without new ends.
const RENEWAL_STEPS: u64 = 20;

/// Interval at which long-running jobs earn credit, in milliseconds.
const CREDIT_PERIOD: u64 = 2_000;

/// Simulated time after the last arrival, in milliseconds.
const DRAIN_TIME: u64 = 6_000;

/// Figures of one simulation.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Credit and latencies of the jobs.
    pub account: Account,
    /// The peak number of waiting tasks.
    pub waiting: usize,
    /// Starts whose task was moved, as a share of all starts.
    pub moved_share: f64,
    /// Number of crashes of workers.
    pub crashed: u32,
    /// Runs that were started in an evacuated data centre.
    pub misplaced: u32,
    /// Jobs that failed, as a share of those that ended.
    pub failed_share: f64,
}

/// A submitted job.
pub(super) struct Submitted {
    kind: Kind,
    arrived_at: u64,
    pub(super) submission: Submission,
    completed_at: Option<u64>,
}

pub(super) struct Sim<'a> {
    pub(super) scene: &'a Scene,
    pub(super) now: u64,
    pub(super) cell: Cell,
    pub(super) machines: BTreeMap<Incarnation, Machine>,
    pub(super) crashes: Crashes,
    interference: Interference,
    pub(super) submitted: BTreeMap<JobId, Submitted>,
    batch: Option<Batch>,
    account: Account,
    waiting: usize,
    misplaced: u32,
    /// The data centre that is evacuated now.
    pub(super) evacuated: Option<&'static str>,
    pub(super) next_worker: u16,
}

/// Simulates a scene.
pub fn replay(scene: &Scene, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sim = Sim::new(scene, &mut rng);
    let cores = sim.machines.values().map(|m| f64::from(m.listing.room.cpu)).sum();
    let mut jobs = draw::jobs(scene, cores, &mut rng).into_iter().peekable();
    let mut next = 1;
    while sim.now < millis(scene.length) + DRAIN_TIME {
        sim.now += STEP;
        while let Some((at, kind, submission)) = jobs.next_if(|(at, ..)| *at <= sim.now) {
            let id = JobId(rng.random::<u64>() | next);
            next += 1;
            sim.cell.admit(id, submission.clone(), sim.now, sim.now);
            sim.submitted
                .insert(id, Submitted { kind, arrived_at: at, submission, completed_at: None });
        }
        sim.step();
    }
    sim.finish()
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
            interference: draw_interference(rng),
            submitted: BTreeMap::new(),
            batch: None,
            account: Account::default(),
            waiting: 0,
            misplaced: 0,
            evacuated: None,
            next_worker: 0,
        };
        (0..scene.workers).for_each(|_| sim.add());
        sim
    }

    fn step(&mut self) {
        let now = self.now;
        self.apply_patterns();
        self.crash();
        for machine in self.machines.values_mut() {
            machine.work(now, STEP as f64, &self.interference);
        }
        let unavailable = self.scene.store_unavailable(now as f64 / 1_000.0);
        self.renew_leases(unavailable);
        if (now / STEP).is_multiple_of(EXPIRE_STEPS) {
            self.cell.expire(now);
            self.cell.drain_leaving(now);
            self.cell.throttle_all(now);
            self.cell.give_up(now, now);
            let resent = self.cell.resend(now);
            self.carry_out_all(resent);
        }
        while self.cell.plan(now) {}
        let orders = self.cell.orders();
        self.carry_out_all(orders);
        if !unavailable {
            self.commit();
        }
        self.record();
    }

    /// Applies listings and the lease renewals that are due.
    fn renew_leases(&mut self, unavailable: bool) {
        let now = self.now;
        if unavailable {
            self.cell.list_missed(now);
        }
        for (at, (name, machine)) in self.machines.iter_mut().enumerate() {
            if !unavailable {
                self.cell.apply_listing(name.id(), machine.listing.clone(), now);
            }
            let due = (now / STEP + at as u64).is_multiple_of(RENEWAL_STEPS);
            if !due && !machine.has_new_ends {
                continue;
            }
            let seen = self.cell.renewal_args(name, now).map_or(0, |args| args.logged_ends);
            let runs = machine.renew(seen, now, &self.interference);
            self.cell.renewed(name, runs, now, now, now);
        }
    }

    /// Commits the last batch to the log and takes the next one from the owner.
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
            let restarting = listing.is_some_and(|l| self.crashes.restarting(l.address));
            return self.deliver_reply(
                order,
                if restarting {
                    OrderOutcome::Unsent
                } else {
                    OrderOutcome::Replaced(Replacement::Other)
                },
            );
        };
        let reply = match order {
            Order::Start { task, run, .. } => {
                let centre = machine.listing.data_centre.as_str();
                self.misplaced += u32::from(self.evacuated == Some(centre));
                let step = &self.submitted[&task.job].submission.spec.steps[usize::from(task.step)];
                machine.start(*task, *run, step)
            }
            Order::Stop { task, run, .. } => {
                machine.stop(*task, *run);
                OrderReply::Done
            }
            Order::Throttle { task, run, percent, .. } => {
                machine.throttle(*task, *run, *percent);
                OrderReply::Done
            }
        };
        if let (Order::Start { worker, task, .. }, OrderReply::Done) = (order, reply) {
            self.schedule_crash(worker, *task);
        }
        self.deliver_reply(order, OrderOutcome::Replied(reply));
    }

    fn deliver_reply(&mut self, order: &Order, outcome: OrderOutcome) {
        let now = self.now;
        match order {
            Order::Start { worker, task, run, .. } => {
                self.cell.start_replied(worker, *task, *run, outcome, now);
            }
            Order::Stop { worker, task, run } => {
                self.cell.stop_replied(worker, *task, *run, outcome, now);
            }
            Order::Throttle { .. } => {}
        }
    }

    /// Records completed jobs, credit of long-running ones and the peak of waiting tasks.
    fn record(&mut self) {
        let now = self.now;
        for (id, submitted) in self.submitted.iter_mut().filter(|(_, g)| g.completed_at.is_none()) {
            if self.cell.state(*id) == Some(State::Completed) {
                submitted.completed_at = Some(now);
            }
        }
        if now.is_multiple_of(CREDIT_PERIOD) {
            self.credit_long_running();
        }
        self.waiting = self.waiting.max(self.cell.summary().waiting);
    }

    fn credit_long_running(&mut self) {
        let now = self.now;
        for (id, submitted) in self.submitted.iter().filter(|(_, g)| g.kind == Kind::Lasting) {
            let objective = objective(&submitted.submission);
            if now < submitted.arrived_at + CREDIT_PERIOD.max(objective) {
                continue;
            }
            let (up, late) = self.machines.values().fold((0, 0), |(up, late), machine| {
                let (u, o) = machine.serving_tasks(*id);
                (up + u, late + o)
            });
            let size = draw::requested_cpu(&submitted.submission);
            let count = f64::from(submitted.submission.spec.steps[0].count);
            let share = (up as f64 - late as f64) / count;
            self.account.note(Kind::Lasting, worth(Kind::Lasting, size), share);
        }
    }

    /// Credits the other jobs and returns the figures.
    fn finish(mut self) -> Outcome {
        // Jobs that crash workers are excluded from the credit.
        let counted =
            |g: &&Submitted| g.kind != Kind::Lasting && &*g.submission.spec.body != CRASHING_BODY;
        for submitted in self.submitted.values().filter(counted) {
            let work: f64 =
                submitted.submission.spec.steps.iter().map(|s| s.work() * f64::from(s.count)).sum();
            let took = submitted.completed_at.map(|at| at - submitted.arrived_at);
            let objective = objective(&submitted.submission);
            // The last jobs had no time to pass their objective.
            if took.is_none() && self.now < submitted.arrived_at + 3 * objective {
                continue;
            }
            self.account.note(submitted.kind, worth(submitted.kind, work), share(took, objective));
            if let Some(took) = took {
                self.account.record_latency(submitted.kind, took);
            }
        }
        let states = || self.submitted.keys().map(|id| self.cell.state(*id));
        let ended = |state| states().filter(|s| *s == Some(state)).count();
        let (failed, completed) = (ended(State::Failed), ended(State::Completed));
        let failed_share = failed as f64 / (failed + completed).max(1) as f64;
        let counts = self.cell.counts;
        let moved_share = counts.moved as f64 / counts.starts.max(1) as f64;
        let crashed = self.crashes.count;
        let Self { account, waiting, misplaced, .. } = self;
        Outcome { account, waiting, moved_share, crashed, misplaced, failed_share }
    }
}
