//! No run of a cancelled job goes on, even if orders, workers or owners fail meanwhile.

mod common;

use std::collections::BTreeMap;

use rand::RngExt;
use rstest::rstest;

use common::{Faults, STEP, World, job, step};
use myrtle_job::{JobId, State, StepSpec};

/// The longest time from a cancellation's answer to the end of the last run, in milliseconds.
const STOPPED_WITHIN: u64 = 3_900;

/// The time after a fault, or after a start that was executed late, from which `STOPPED_WITHIN` counts, in
/// milliseconds.
const RECOVERY: u64 = 3_000;

/// The longest delay of an order, in milliseconds.
const LONGEST_DELAY: u64 = 12_000;

/// A world whose cancelled jobs are checked in each step.
struct Watch {
    world: World,
    /// When a job was first shown as cancelled.
    shown: BTreeMap<JobId, u64>,
    /// When the last fault was possible.
    fault_at: u64,
}

impl Watch {
    /// Runs for a while and checks each step.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.world.run(STEP);
            let now = self.world.now;
            for (&id, job) in &self.world.owner().cell.jobs {
                if job.logged_state == State::Cancelled {
                    self.shown.entry(id).or_insert(now);
                }
            }
            self.check(now);
        }
    }

    /// Records runs that go on for too long after their job was cancelled.
    fn check(&mut self, now: u64) {
        let mut late = Vec::new();
        for (task, worker, begun) in self.world.judge.alive() {
            let Some(&cancelled) = self.shown.get(&task.job) else {
                continue;
            };
            let from = cancelled.max(begun + RECOVERY).max(self.fault_at + RECOVERY);
            if now > from + STOPPED_WITHIN {
                late.push(format!(
                    "{now}: {task} runs on {worker} since {begun}, cancelled {cancelled}"
                ));
            }
        }
        self.world.judge.broken.extend(late);
    }

    /// Runs for a while during which faults happen.
    fn run_faulty(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.fault_at = self.world.now + STEP;
            self.run(STEP);
        }
    }

    /// Cancels each job that is not over with a chance of one half.
    fn cancel_some(&mut self) {
        let jobs = &self.world.owner().cell.jobs;
        let mut open: Vec<_> = jobs.iter().filter(|(_, j)| !j.progress.state.over()).collect();
        open.sort_by_key(|(id, _)| **id);
        let open: Vec<_> = open.into_iter().map(|(&id, _)| id).collect();
        for id in open {
            if self.world.rng.random_bool(0.5) {
                self.world.cancel(id);
            }
        }
    }
}

fn long(count: u16) -> StepSpec {
    StepSpec { estimate_ms: 60_000, ..step(count) }
}

fn long_running(count: u16) -> StepSpec {
    StepSpec { long_running: true, disruption_budget: Some(1), ..step(count) }
}

/// Orders are lost or executed late, owners are replaced and workers lose their entries while
/// jobs are cancelled.
#[rstest]
fn no_run_of_a_cancelled_job_goes_on(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
    #[values(0.0, 0.5)] late: f64,
) {
    let world = World::new(seed, 4);
    let mut watch = Watch { world, shown: BTreeMap::new(), fault_at: 0 };
    let mut count = 4;
    for _ in 0..6 {
        watch.world.submit(job(vec![long(3)]));
        watch.world.submit(job(vec![long_running(3)]));
        watch.world.submit(job(vec![StepSpec { speculative: true, ..long(2) }]));
        watch.world.faults = Faults { unanswered: 0.2, late, queued: 0.1, ..Faults::default() };
        let length = watch.world.rng.random_range(0..4_000);
        watch.run_faulty(length);
        let at = watch.world.rng.random_range(0..watch.world.workers.len());
        let id = watch.world.workers.keys().nth(at).unwrap().clone();
        if !watch.world.workers[&id].gone {
            watch.world.workers.get_mut(&id).unwrap().listed = false;
            watch.world.add_worker(&format!("x{count}"), count);
            count += 1;
        }
        if watch.world.rng.random_bool(0.5) {
            watch.cancel_some();
        }
        if watch.world.rng.random_bool(0.6) {
            watch.world.owner().awake = false;
            let without_owner = watch.world.rng.random_range(0..3_000);
            watch.run_faulty(without_owner);
            let last = watch.world.owners.len() - 1;
            watch.world.take_over();
            // The old owner may have been suspended rather than ended.
            watch.world.owners[last].awake = watch.world.rng.random_bool(0.5);
        }
        watch.world.faults = Faults::default();
        let pause = watch.world.rng.random_range(0..4_000);
        watch.run(pause);
        watch.cancel_some();
        watch.run(LONGEST_DELAY + RECOVERY + STOPPED_WITHIN);
        let left = watch.world.workers.get_mut(&id).unwrap();
        left.crash(&mut watch.world.judge);
    }
    assert_eq!(watch.world.judge.broken, Vec::<String>::new());
    let world = &watch.world;
    assert!(world.judge.alive().all(|(task, ..)| !watch.shown.contains_key(&task.job)));
}
