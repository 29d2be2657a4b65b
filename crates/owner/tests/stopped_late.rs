//! The time until the runs of a cancelled job end, while an owner takes over and after workers have left.
//!
//! From the cancellation, or from a while after the last fault, only the stop itself and one heartbeat of a worker may
//! pass until its runs have ended.

mod common;

use std::collections::BTreeMap;

use rand::RngExt;
use rstest::rstest;

use common::{STEP, World, job, step};
use myrtle_job::{JobId, State, StepSpec};
use myrtle_owner::TimeLimits;

/// The time between two heartbeats of a worker, in milliseconds.
const HEARTBEAT: u64 = 1_500;

/// The time after a fault from which the limit applies, in milliseconds.
const CONTACT: u64 = 4_000;

/// The remaining time that a draining worker announces, in milliseconds.
const DRAIN: u64 = 3_000;

/// The longest time from a cancellation to the end of the last run, in milliseconds.
fn stop_limit() -> u64 {
    TimeLimits::default().max_stop + HEARTBEAT
}

fn long_running(count: u16) -> StepSpec {
    StepSpec { long_running: true, disruption_budget: Some(1), ..step(count) }
}

/// The number of active runs of a job.
fn alive(world: &World, id: JobId) -> usize {
    world.judge.alive().filter(|(task, ..)| task.job == id).count()
}

/// A world with the times that the limit counts from.
struct Watch {
    world: World,
    /// When jobs were first shown as cancelled.
    cancelled_at: BTreeMap<JobId, u64>,
    /// When a fault last was active.
    fault_at: u64,
}

impl Watch {
    /// Runs for a time in milliseconds, and records runs that go on though their job is cancelled.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.world.run(STEP);
            let now = self.world.now;
            for (&id, job) in &self.world.owner().cell.jobs {
                if job.logged_state == State::Cancelled {
                    self.cancelled_at.entry(id).or_insert(now);
                }
            }
            let late = self.world.judge.alive().filter_map(|(task, worker, since)| {
                let at = *self.cancelled_at.get(&task.job)?;
                let due = at.max(self.fault_at + CONTACT) + stop_limit();
                (now > due).then(|| format!("{now}: {task}, {worker} from {since}, cancelled {at}"))
            });
            let late: Vec<String> = late.collect();
            self.world.judge.broken.extend(late);
        }
    }

    /// Runs for a random time under faults, up to a limit in milliseconds.
    fn run_faulty(&mut self, most: u64) {
        let millis = self.world.rng.random_range(0..most);
        for _ in 0..millis / STEP {
            self.fault_at = self.world.now + STEP;
            self.run(STEP);
        }
    }

    /// Lets a worker announce that it drains; returns its id.
    fn drain(&mut self) -> Option<std::sync::Arc<str>> {
        let staying = self.world.workers.iter().filter(|(_, w)| !w.gone && !w.listing.draining);
        let id = staying.max_by_key(|(_, w)| w.count()).map(|(id, _)| id.clone())?;
        let worker = self.world.workers.get_mut(&id)?;
        worker.listing.draining = true;
        worker.listing.remaining_ms = Some(DRAIN);
        Some(id)
    }

    /// Lets another owner take over; its predecessor is frozen for good, or resumes later.
    fn succeed(&mut self) {
        let before = self.world.owners.len() - 1;
        self.world.owner().awake = false;
        self.run_faulty(2_000);
        self.world.take_over();
        self.world.owners[before].awake = self.world.rng.random_bool(0.5);
    }

    /// Cuts the owner off from a worker for a time that may exceed a lease, and cancels jobs meanwhile; another owner
    /// may take over before the end.
    fn cut_off(&mut self, worker: &str) {
        let owner = self.world.owners.len() - 1;
        let cut = self.world.rng.random_bool(0.5);
        self.world.cut(owner, worker, cut);
        self.run_faulty(500);
        self.cancel_some();
        self.run_faulty(12_000);
        if self.world.rng.random_bool(0.5) {
            self.succeed();
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

/// A cancellation reaches an owner that has read the jobs and not yet their progress.
#[test]
fn a_cancellation_during_a_takeover_takes_effect() {
    let mut world = World::new(7, 4);
    let id = world.submit(job(vec![long_running(8)]));
    world.run(1_000);
    assert_eq!(alive(&world, id), 8);
    world.owner().awake = false;
    let mut accepted = false;
    world.take_over_while(|cell, now| accepted = cell.cancel(id, now, now));
    assert!(accepted, "the owner did not accept the cancellation");
    world.run(stop_limit());
    assert_eq!(alive(&world, id), 0, "runs of a job that its owner has cancelled go on");
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

/// Workers drain while the store is unreachable and owners change; jobs are cancelled while a worker is unreachable
/// and after the last fault.
#[rstest]
fn no_cancelled_run_goes_on_after_workers_have_left(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
    #[values(1, 3)] owners: u32,
) {
    let world = World::new(seed, 6);
    let mut watch = Watch { world, cancelled_at: BTreeMap::new(), fault_at: 0 };
    for round in 0..6u16 {
        watch.world.submit(job(vec![long_running(8)]));
        watch.world.submit(job(vec![long_running(5)]));
        watch.run(1_000);
        watch.world.owner().logged = false;
        let draining = watch.drain().unwrap();
        watch.run_faulty(DRAIN + 2_000);
        for _ in 0..owners {
            watch.succeed();
            watch.run_faulty(1_500);
        }
        watch.cut_off(&draining);
        // Its entry is removed before its process ends.
        watch.world.workers.get_mut(&draining).unwrap().listed = false;
        watch.world.add_worker(&format!("x{round}"), 6 + round);
        let pause = watch.world.rng.random_range(0..6_000);
        watch.run(pause);
        watch.cancel_some();
        watch.run(CONTACT + stop_limit() + 2_000);
        watch.world.workers.get_mut(&draining).unwrap().crash(&mut watch.world.judge);
    }
    assert_eq!(watch.world.judge.broken, Vec::<String>::new());
    assert!(!watch.cancelled_at.is_empty(), "no job was cancelled");
}
