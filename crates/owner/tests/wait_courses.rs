//! Drawn courses of owners that follow one another while workers crash for good, are cut off from single owners and
//! leave in good order: what one owner has waited for must never let the next one start what still runs.

mod common;

use std::sync::Arc;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use common::{Faults, World, job, step};
use myrtle_job::{JobId, State, StepSpec};
use myrtle_owner::Limbo;

/// How many owners follow one another in a course.
const CHANGES: u32 = 14;

/// Jobs whose tasks last, of which more would not fit on the fewest workers.
const LASTING: usize = 5;

/// The time in which everything has to be at work or at its end after that, in milliseconds.
const REST: u64 = 40_000;

/// What the hosts of owners do.
#[derive(Debug, Clone, Copy)]
enum Hosts {
    /// They know nothing of each other.
    Apart,
    /// They renew leases although another owner has followed.
    Renewing,
    /// They see owners begin, and tell the next one what they could not log.
    Talking,
}

/// A course under way.
struct Course {
    world: World,
    rng: ChaCha8Rng,
    /// Jobs that end by themselves.
    short: Vec<JobId>,
    /// Jobs that go on.
    lasting: Vec<JobId>,
    /// Workers that have said when they leave.
    leaving: Vec<(u64, Arc<str>)>,
    /// When workers come in place of those that are gone.
    coming: Vec<u64>,
    /// How many workers there ever were.
    ever: u16,
}

impl Course {
    /// A course with 4 to 14 workers, some of whose clocks are slow.
    fn new(seed: u64, hosts: Hosts) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ever = rng.random_range(4..=14);
        let mut world = World::new(seed, usize::from(ever));
        (world.renews, world.seen) = match hosts {
            Hosts::Apart => (0, false),
            Hosts::Renewing => (u64::MAX, false),
            Hosts::Talking => (0, true),
        };
        world.faults = Faults { unanswered: 0.05, late: 0.03, queued: 0.03, outlive: false };
        world.workers.values_mut().for_each(|w| w.slow = rng.random_bool(0.5));
        world.run(1_000);
        let (short, lasting, leaving, coming) = (vec![], vec![], vec![], vec![]);
        Self { world, rng, short, lasting, leaving, coming, ever }
    }

    /// Hands in jobs of both kinds.
    fn submit(&mut self) {
        for _ in 0..self.rng.random_range(0..4) {
            let estimate = self.rng.random_range(200..12_000);
            let spec = StepSpec { estimate, ..step(self.rng.random_range(1..8)) };
            self.short.push(self.world.submit(job(vec![spec])));
        }
        if self.lasting.len() < LASTING && self.rng.random_bool(0.6) {
            let spec = StepSpec { lasting: true, ..step(self.rng.random_range(1..6)) };
            self.lasting.push(self.world.submit(job(vec![spec])));
        }
    }

    /// A worker that is there and has not said that it leaves.
    fn one(&mut self) -> Option<Arc<str>> {
        let staying = |(id, w): (&Arc<str>, &common::FakeWorker)| {
            (!w.gone && !w.listing.draining).then(|| id.clone())
        };
        let up: Vec<_> = self.world.workers.iter().filter_map(staying).collect();
        up.choose(&mut self.rng).filter(|_| up.len() > 3).cloned()
    }

    /// A worker crashes for good, is replaced, starts anew, or begins to leave.
    fn strike(&mut self) {
        let Some(id) = self.one() else {
            return;
        };
        let now = self.world.now;
        match self.rng.random_range(0..5) {
            0 | 1 => {
                self.world.vanish(&id);
                self.coming.push(now + self.rng.random_range(500..4_000));
            }
            2 => self.world.crash(&id),
            3 => self.world.restart(&id, self.rng.random_range(10..3_000)),
            _ => {
                let remaining = self.rng.random_range(500..4_000);
                let listing = &mut self.world.workers.get_mut(&id).unwrap().listing;
                listing.draining = true;
                listing.remaining = Some(remaining);
                self.leaving.push((now + remaining, id));
            }
        }
    }

    /// Cuts the newest owner off from some workers, and heals that for others.
    fn cut(&mut self) {
        let owner = self.world.owners.len() - 1;
        for id in self.world.workers.keys().cloned().collect::<Vec<_>>() {
            if self.rng.random_bool(0.5) {
                self.world.cut(owner, &id, self.rng.random_bool(0.4));
            }
        }
    }

    /// Another owner follows; the one before ends in good order, or goes on until it learns of it.
    fn follow(&mut self) {
        self.world.owner().awake = self.rng.random_bool(0.4);
        self.world.take_over();
        self.world.owner().logged = self.rng.random_bool(0.8);
        self.cut();
        if self.world.seen {
            self.pass_on();
        }
    }

    /// Some earlier owners tell the newest one what they could not log.
    fn pass_on(&mut self) {
        for from in 0..self.world.owners.len() - 1 {
            if self.rng.random_bool(0.3) {
                self.world.pass_on(from);
            }
        }
    }

    /// Lets time pass; workers that said so leave, and others come.
    fn pass(&mut self, millis: u64) {
        let end = self.world.now + millis;
        while self.world.now < end {
            self.world.run(common::STEP);
            let now = self.world.now;
            for (_, id) in self.leaving.extract_if(.., |(at, _)| *at <= now) {
                self.world.vanish(&id);
                self.coming.push(now + 1_000);
            }
            for _ in self.coming.extract_if(.., |at| *at <= now) {
                self.world.add_worker(&format!("n{}", self.ever), self.ever);
                self.ever += 1;
            }
        }
    }

    /// The time of an owner, with what happens in it.
    fn term(&mut self) {
        let term = self.rng.random_range(100..6_000);
        let parts = self.rng.random_range(1..4);
        for _ in 0..parts {
            self.submit();
            if self.rng.random_bool(0.5) {
                self.strike();
            }
            if self.rng.random_bool(0.4) {
                self.cut();
            }
            if self.rng.random_bool(0.2) {
                self.world.owner().logged = self.rng.random_bool(0.6);
            }
            self.pass(term / parts);
        }
    }

    /// What was broken when all trouble is over, in words.
    fn judge(&mut self) -> Vec<String> {
        let mut broken = std::mem::take(&mut self.world.judge.broken);
        let now = self.world.now;
        let cell = &self.world.owners.last().unwrap().cell;
        if cell.limbo(now) != Limbo::default() {
            broken.push(format!("at the end {}", cell.limbo(now)));
        }
        // Sound tasks are given up under which too many workers were lost.
        let given_up = |id: &JobId| {
            let lost = cell.jobs.get(id).is_some_and(|j| !j.progress.crashes.is_empty());
            lost && cell.state(*id) == Some(State::Failed)
        };
        let ended = |id: &&JobId| cell.state(**id) != Some(State::Completed) && !given_up(id);
        let short = self.short.iter().filter(ended);
        broken.extend(short.map(|id| format!("{id} is {:?} at the end", cell.state(*id))));
        for id in self.lasting.iter().filter(|id| !given_up(id)) {
            let at_work = self.world.judge.alive().filter(|(task, ..)| task.job == *id).count();
            let count = usize::from(cell.jobs[id].step(0).count);
            if at_work != count {
                broken.push(format!("{at_work} of {count} tasks of {id} are at work at the end"));
            }
        }
        broken
    }
}

/// Plays a course; what was broken, in words.
fn play(seed: u64, hosts: Hosts) -> Vec<String> {
    let mut course = Course::new(seed, hosts);
    for _ in 0..CHANGES {
        course.term();
        course.follow();
    }
    course.world.faults = Faults::default();
    course.world.succeed();
    course.pass(REST);
    course.judge()
}

/// Plays courses and tells which broke something.
fn courses(seeds: std::ops::Range<u64>, hosts: Hosts) {
    let mut red = Vec::new();
    for seed in seeds {
        let broken = play(seed, hosts);
        if let Some(first) = broken.first() {
            println!("seed {seed}: {} broken, the first: {first}", broken.len());
            red.push(seed);
        }
    }
    assert_eq!(red, Vec::<u64>::new(), "courses that broke something");
}

#[test]
fn in_ten_courses_of_waits_every_promise_holds() {
    courses(0..10, Hosts::Apart);
}

#[test]
#[ignore = "by hand: cargo test -p myrtle-owner --test wait_courses -- --ignored --nocapture"]
fn in_two_hundred_courses_of_waits_every_promise_holds() {
    courses(10..210, Hosts::Apart);
}

#[test]
#[ignore = "by hand: cargo test -p myrtle-owner --test wait_courses -- --ignored --nocapture"]
fn in_two_hundred_courses_of_owners_that_renew_on_every_promise_holds() {
    courses(10..210, Hosts::Renewing);
}

#[test]
fn in_ten_courses_of_hosts_that_talk_every_promise_holds() {
    courses(0..10, Hosts::Talking);
}

#[test]
#[ignore = "by hand: cargo test -p myrtle-owner --test wait_courses -- --ignored --nocapture"]
fn in_two_hundred_courses_of_hosts_that_talk_every_promise_holds() {
    courses(10..210, Hosts::Talking);
}
