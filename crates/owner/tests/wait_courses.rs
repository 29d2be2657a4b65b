//! Random sequences of successive owners while workers crash for good, are cut off from single owners and drain: the
//! time that one owner has waited for a lease must never let its successor start a run that still goes on.

mod common;

use std::sync::Arc;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use common::{Faults, World, job, step};
use myrtle_job::{JobId, State, StepSpec};
use myrtle_owner::UncertainRuns;

/// The number of changes of owner in a sequence.
const CHANGES: u32 = 14;

/// The most long-running jobs, which fit on the smallest number of workers.
const LONG_JOBS: usize = 5;

/// The time after which all tasks have to run or to have ended after the last change, in milliseconds.
const SETTLE: u64 = 40_000;

/// How the hosts of owners act.
#[derive(Debug, Clone, Copy)]
enum Hosts {
    /// They exchange nothing.
    Isolated,
    /// They renew leases although a successor has begun.
    Renewing,
    /// They see owners begin, and pass ends on to the next one that they could not log.
    Connected,
}

/// A running sequence.
struct Sequence {
    world: World,
    rng: ChaCha8Rng,
    /// Jobs that end by themselves.
    short: Vec<JobId>,
    /// Jobs that run until they are cancelled.
    long_running: Vec<JobId>,
    /// Workers that drain, and when they leave.
    leaving: Vec<(u64, Arc<str>)>,
    /// When workers start that replace lost ones.
    starting: Vec<u64>,
    /// The number of workers added so far.
    added: u16,
}

impl Sequence {
    /// A sequence with 4 to 14 workers, some of whose clocks are slow.
    fn new(seed: u64, hosts: Hosts) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let added = rng.random_range(4..=14);
        let mut world = World::new(seed, usize::from(added));
        (world.renews, world.seen) = match hosts {
            Hosts::Isolated => (0, false),
            Hosts::Renewing => (u64::MAX, false),
            Hosts::Connected => (0, true),
        };
        world.faults = Faults { unanswered: 0.05, late: 0.03, queued: 0.03, outlive: false };
        world.workers.values_mut().for_each(|w| w.slow = rng.random_bool(0.5));
        world.run(1_000);
        let (short, long_running, leaving, starting) = (vec![], vec![], vec![], vec![]);
        Self { world, rng, short, long_running, leaving, starting, added }
    }

    /// Submits jobs of both kinds.
    fn submit(&mut self) {
        for _ in 0..self.rng.random_range(0..4) {
            let estimate = self.rng.random_range(200..12_000);
            let spec = StepSpec { estimate_ms: estimate, ..step(self.rng.random_range(1..8)) };
            self.short.push(self.world.submit(job(vec![spec])));
        }
        if self.long_running.len() < LONG_JOBS && self.rng.random_bool(0.6) {
            let spec = StepSpec { long_running: true, ..step(self.rng.random_range(1..6)) };
            self.long_running.push(self.world.submit(job(vec![spec])));
        }
    }

    /// A random worker that neither is gone nor drains.
    fn pick_worker(&mut self) -> Option<Arc<str>> {
        let staying = |(id, w): (&Arc<str>, &common::FakeWorker)| {
            (!w.gone && !w.listing.draining).then(|| id.clone())
        };
        let up: Vec<_> = self.world.workers.iter().filter_map(staying).collect();
        up.choose(&mut self.rng).filter(|_| up.len() > 3).cloned()
    }

    /// Lets a worker crash for good, be replaced, restart, or begin to drain.
    fn disrupt(&mut self) {
        let Some(id) = self.pick_worker() else {
            return;
        };
        let now = self.world.now;
        match self.rng.random_range(0..5) {
            0 | 1 => {
                self.world.vanish(&id);
                self.starting.push(now + self.rng.random_range(500..4_000));
            }
            2 => self.world.crash(&id),
            3 => self.world.restart(&id, self.rng.random_range(10..3_000)),
            _ => {
                let remaining = self.rng.random_range(500..4_000);
                let listing = &mut self.world.workers.get_mut(&id).unwrap().listing;
                listing.draining = true;
                listing.remaining_ms = Some(remaining);
                self.leaving.push((now + remaining, id));
            }
        }
    }

    /// Cuts the newest owner off from some workers, and reconnects it to others.
    fn cut(&mut self) {
        let owner = self.world.owners.len() - 1;
        for id in self.world.workers.keys().cloned().collect::<Vec<_>>() {
            if self.rng.random_bool(0.5) {
                self.world.cut(owner, &id, self.rng.random_bool(0.4));
            }
        }
    }

    /// Lets another owner take over; its predecessor ends in good order, or acts on until it is deposed.
    fn succeed(&mut self) {
        self.world.owner().awake = self.rng.random_bool(0.4);
        self.world.take_over();
        self.world.owner().logged = self.rng.random_bool(0.8);
        self.cut();
        if self.world.seen {
            self.pass_on();
        }
    }

    /// Lets some earlier owners pass the ends that they could not log on to the newest one.
    fn pass_on(&mut self) {
        for from in 0..self.world.owners.len() - 1 {
            if self.rng.random_bool(0.3) {
                self.world.pass_on(from);
            }
        }
    }

    /// Runs for a time in milliseconds; draining workers leave, and others start.
    fn run(&mut self, millis: u64) {
        let end = self.world.now + millis;
        while self.world.now < end {
            self.world.run(common::STEP);
            let now = self.world.now;
            for (_, id) in self.leaving.extract_if(.., |(at, _)| *at <= now) {
                self.world.vanish(&id);
                self.starting.push(now + 1_000);
            }
            for _ in self.starting.extract_if(.., |at| *at <= now) {
                self.world.add_worker(&format!("n{}", self.added), self.added);
                self.added += 1;
            }
        }
    }

    /// Runs the term of an owner, with submissions and faults.
    fn term(&mut self) {
        let term = self.rng.random_range(100..6_000);
        let slices = self.rng.random_range(1..4);
        for _ in 0..slices {
            self.submit();
            if self.rng.random_bool(0.5) {
                self.disrupt();
            }
            if self.rng.random_bool(0.4) {
                self.cut();
            }
            if self.rng.random_bool(0.2) {
                self.world.owner().logged = self.rng.random_bool(0.6);
            }
            self.run(term / slices);
        }
    }

    /// The violations once all faults are over.
    fn check(&mut self) -> Vec<String> {
        let mut violations = std::mem::take(&mut self.world.judge.broken);
        let now = self.world.now;
        let cell = &self.world.owners.last().unwrap().cell;
        if cell.uncertain(now) != UncertainRuns::default() {
            violations.push(format!("at the end {}", cell.uncertain(now)));
        }
        // A job whose tasks lost too many workers may fail, though its tasks are sound.
        let given_up = |id: &JobId| {
            let lost = cell.jobs.get(id).is_some_and(|j| !j.progress.crashes.is_empty());
            lost && cell.state(*id) == Some(State::Failed)
        };
        let open = |id: &&JobId| cell.state(**id) != Some(State::Completed) && !given_up(id);
        let short = self.short.iter().filter(open);
        violations.extend(short.map(|id| format!("{id} is {:?} at the end", cell.state(*id))));
        for id in self.long_running.iter().filter(|id| !given_up(id)) {
            let running = self.world.judge.alive().filter(|(task, ..)| task.job == *id).count();
            let count = usize::from(cell.jobs[id].step(0).count);
            if running != count {
                violations.push(format!("{running} of {count} tasks of {id} run at the end"));
            }
        }
        violations
    }
}

/// Runs one random sequence; returns the violations.
fn run_seed(seed: u64, hosts: Hosts) -> Vec<String> {
    let mut sequence = Sequence::new(seed, hosts);
    for _ in 0..CHANGES {
        sequence.term();
        sequence.succeed();
    }
    sequence.world.faults = Faults::default();
    sequence.world.succeed();
    sequence.run(SETTLE);
    sequence.check()
}

/// Runs a random sequence for each seed; fails if any has violations.
fn run_all(seeds: std::ops::Range<u64>, hosts: Hosts) {
    let mut failed = Vec::new();
    for seed in seeds {
        let violations = run_seed(seed, hosts);
        if let Some(first) = violations.first() {
            println!("seed {seed}: {} violations, the first: {first}", violations.len());
            failed.push(seed);
        }
    }
    assert_eq!(failed, Vec::<u64>::new(), "seeds with violations");
}

#[test]
fn ten_random_sequences_of_lease_waits_have_no_violations() {
    run_all(0..10, Hosts::Isolated);
}

#[test]
#[ignore = "by hand: cargo test -p myrtle-owner --test wait_courses -- --ignored --nocapture"]
fn two_hundred_random_sequences_of_lease_waits_have_no_violations() {
    run_all(10..210, Hosts::Isolated);
}

#[test]
#[ignore = "by hand: cargo test -p myrtle-owner --test wait_courses -- --ignored --nocapture"]
fn two_hundred_random_sequences_of_owners_that_renew_leases_have_no_violations() {
    run_all(10..210, Hosts::Renewing);
}

#[test]
fn ten_random_sequences_of_connected_hosts_have_no_violations() {
    run_all(0..10, Hosts::Connected);
}

#[test]
#[ignore = "by hand: cargo test -p myrtle-owner --test wait_courses -- --ignored --nocapture"]
fn two_hundred_random_sequences_of_connected_hosts_have_no_violations() {
    run_all(10..210, Hosts::Connected);
}
