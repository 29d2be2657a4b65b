//! When the runs of a cancelled job end: while an owner takes over, and after workers have left.
//!
//! From the cancellation, or from the time when nothing has been disturbed for a while, only the stop itself
//! and one heartbeat of a worker may pass until its runs have ended.

mod common;

use std::collections::BTreeMap;

use rand::RngExt;
use rstest::rstest;

use common::{STEP, World, job, step};
use myrtle_job::{JobId, State, StepSpec};
use myrtle_owner::Bounds;

/// The time between two heartbeats of a worker, in milliseconds.
const HEARTBEAT: u64 = 1_500;

/// How long after trouble that counts, in milliseconds.
const CONTACT: u64 = 4_000;

/// How long a worker that leaves says that it goes on, in milliseconds.
const DRAIN: u64 = 3_000;

/// From a cancellation to the end of the last run, in milliseconds.
fn within() -> u64 {
    Bounds::default().stop + HEARTBEAT
}

fn lasting(count: u16) -> StepSpec {
    StepSpec { lasting: true, may_miss: Some(1), ..step(count) }
}

/// How many runs of a job go on.
fn alive(world: &World, id: JobId) -> usize {
    world.judge.alive().filter(|(task, ..)| task.job == id).count()
}

/// What is watched of a world.
struct Watch {
    world: World,
    /// When clients were told that a job is cancelled.
    told: BTreeMap<JobId, u64>,
    /// When something was last disturbed.
    disturbed: u64,
}

impl Watch {
    /// Runs for a while, and notes what runs on though its job is cancelled.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.world.run(STEP);
            let now = self.world.now;
            for (&id, job) in &self.world.owner().cell.jobs {
                if job.shown == State::Cancelled {
                    self.told.entry(id).or_insert(now);
                }
            }
            let late = self.world.judge.alive().filter_map(|(task, worker, since)| {
                let told = *self.told.get(&task.job)?;
                let due = told.max(self.disturbed + CONTACT) + within();
                (now > due).then(|| format!("{now}: {task} on {worker} since {since}, told {told}"))
            });
            let late: Vec<String> = late.collect();
            self.world.judge.broken.extend(late);
        }
    }

    /// Runs for a while that counts as disturbed.
    fn disturb(&mut self, most: u64) {
        let millis = self.world.rng.random_range(0..most);
        for _ in 0..millis / STEP {
            self.disturbed = self.world.now + STEP;
            self.run(STEP);
        }
    }

    /// A worker says that it leaves; returns its name.
    fn leave(&mut self) -> Option<std::sync::Arc<str>> {
        let staying = self.world.workers.iter().filter(|(_, w)| !w.gone && !w.listing.draining);
        let id = staying.max_by_key(|(_, w)| w.count()).map(|(id, _)| id.clone())?;
        let worker = self.world.workers.get_mut(&id)?;
        worker.listing.draining = true;
        worker.listing.remaining = Some(DRAIN);
        Some(id)
    }

    /// Another owner follows; the one before is frozen for good, or wakes later.
    fn follow(&mut self) {
        let before = self.world.owners.len() - 1;
        self.world.owner().awake = false;
        self.disturb(2_000);
        self.world.take_over();
        self.world.owners[before].awake = self.world.rng.random_bool(0.5);
    }

    /// The owner does not reach a worker for a while, which may be longer than a lease, and jobs are
    /// cancelled meanwhile; another owner may follow before it does.
    fn cut_off(&mut self, worker: &str) {
        let owner = self.world.owners.len() - 1;
        let cut = self.world.rng.random_bool(0.5);
        self.world.cut(owner, worker, cut);
        self.disturb(500);
        self.cancel_some();
        self.disturb(12_000);
        if self.world.rng.random_bool(0.5) {
            self.follow();
        }
        self.world.cut(owner, worker, false);
    }

    /// Cancels some of the jobs that are not over.
    fn cancel_some(&mut self) {
        let jobs = &self.world.owner().cell.jobs;
        let mut open: Vec<_> =
            jobs.iter().filter(|(_, j)| !j.progress.state.over()).map(|(&id, _)| id).collect();
        open.sort();
        for id in open {
            if self.world.rng.random_bool(0.5) {
                self.world.cancel(id);
            }
        }
    }
}

/// A cancellation reaches an owner that has read the jobs and not yet how far they have come.
#[test]
fn a_cancellation_that_comes_during_a_takeover_holds() {
    let mut world = World::new(7, 4);
    let id = world.submit(job(vec![lasting(8)]));
    world.run(1_000);
    assert_eq!(alive(&world, id), 8);
    world.owner().awake = false;
    let mut taken = false;
    world.take_over_while(|cell, now| taken = cell.cancel(id, now, now));
    assert!(taken, "the owner did not take the cancellation");
    world.run(within());
    assert_eq!(alive(&world, id), 0, "runs of a job that its owner has cancelled go on");
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

/// Workers leave as planned while the store is out of reach and owners change; jobs are cancelled while a
/// worker is out of reach and once all is calm.
#[rstest]
fn nothing_runs_on_after_workers_have_left(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
    #[values(1, 3)] owners: u32,
) {
    let world = World::new(seed, 6);
    let mut watch = Watch { world, told: BTreeMap::new(), disturbed: 0 };
    for round in 0..6u16 {
        watch.world.submit(job(vec![lasting(8)]));
        watch.world.submit(job(vec![lasting(5)]));
        watch.run(1_000);
        watch.world.owner().logged = false;
        let leaving = watch.leave().unwrap();
        watch.disturb(DRAIN + 2_000);
        for _ in 0..owners {
            watch.follow();
            watch.disturb(1_500);
        }
        watch.cut_off(&leaving);
        // Its entry goes before its process does.
        watch.world.workers.get_mut(&leaving).unwrap().listed = false;
        watch.world.add_worker(&format!("x{round}"), 6 + round);
        let pause = watch.world.rng.random_range(0..6_000);
        watch.run(pause);
        watch.cancel_some();
        watch.run(CONTACT + within() + 2_000);
        watch.world.workers.get_mut(&leaving).unwrap().crash(&mut watch.world.judge);
    }
    assert_eq!(watch.world.judge.broken, Vec::<String>::new());
    assert!(!watch.told.is_empty(), "no job was cancelled");
}
