//! Nothing of a cancelled job runs on, whatever became of its orders, its workers and its owners.

mod common;

use std::collections::BTreeMap;

use rand::RngExt;
use rstest::rstest;

use common::{Faults, STEP, World, job, step};
use myrtle_job::{JobId, State, StepSpec};

/// From a cancellation's answer to the end of the last run, in milliseconds.
const STOPPED_WITHIN: u64 = 3_900;

/// How long after trouble that counts, and after a start that was carried out late, in
/// milliseconds.
const IN_TOUCH: u64 = 3_000;

/// The longest that an order is carried out late, in milliseconds.
const LATEST: u64 = 12_000;

/// What is watched of a world.
struct Watch {
    world: World,
    /// When clients were told that a job is cancelled.
    told: BTreeMap<JobId, u64>,
    /// When something was last disturbed.
    disturbed: u64,
}

impl Watch {
    /// Runs for a while; everything stays as it is.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.world.run(STEP);
            let now = self.world.now;
            for (&id, job) in &self.world.owner().cell.jobs {
                if job.shown == State::Cancelled {
                    self.told.entry(id).or_insert(now);
                }
            }
            self.check(now);
        }
    }

    fn check(&mut self, now: u64) {
        let mut late = Vec::new();
        for (task, worker, begun) in self.world.judge.alive() {
            let Some(&told) = self.told.get(&task.job) else {
                continue;
            };
            let from = told.max(begun + IN_TOUCH).max(self.disturbed + IN_TOUCH);
            if now > from + STOPPED_WITHIN {
                late.push(format!("{now}: {task} runs on {worker} since {begun}, told {told}"));
            }
        }
        self.world.judge.broken.extend(late);
    }

    /// Runs for a while that counts as disturbed.
    fn disturb(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.disturbed = self.world.now + STEP;
            self.run(STEP);
        }
    }

    /// Cancels some of the jobs that are not over.
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
    StepSpec { estimate: 60_000, ..step(count) }
}

fn lasting(count: u16) -> StepSpec {
    StepSpec { lasting: true, may_miss: Some(1), ..step(count) }
}

/// Orders are lost or carried out late, owners are replaced and workers lose their entries while
/// jobs are cancelled.
#[rstest]
fn nothing_of_a_cancelled_job_runs_on(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
    #[values(0.0, 0.5)] late: f64,
) {
    let world = World::new(seed, 4);
    let mut watch = Watch { world, told: BTreeMap::new(), disturbed: 0 };
    let mut lives = 4;
    for _ in 0..6 {
        watch.world.submit(job(vec![long(3)]));
        watch.world.submit(job(vec![lasting(3)]));
        watch.world.submit(job(vec![StepSpec { copies: true, ..long(2) }]));
        watch.world.faults = Faults { unanswered: 0.2, late, queued: 0.1, ..Faults::default() };
        let length = watch.world.rng.random_range(0..4_000);
        watch.disturb(length);
        let at = watch.world.rng.random_range(0..watch.world.workers.len());
        let id = watch.world.workers.keys().nth(at).unwrap().clone();
        if !watch.world.workers[&id].gone {
            watch.world.workers.get_mut(&id).unwrap().listed = false;
            watch.world.add_worker(&format!("x{lives}"), lives);
            lives += 1;
        }
        if watch.world.rng.random_bool(0.5) {
            watch.cancel_some();
        }
        if watch.world.rng.random_bool(0.6) {
            watch.world.owner().awake = false;
            let vacant = watch.world.rng.random_range(0..3_000);
            watch.disturb(vacant);
            let frozen = watch.world.owners.len() - 1;
            watch.world.take_over();
            // It may have been frozen rather than removed.
            watch.world.owners[frozen].awake = watch.world.rng.random_bool(0.5);
        }
        watch.world.faults = Faults::default();
        let pause = watch.world.rng.random_range(0..4_000);
        watch.run(pause);
        watch.cancel_some();
        watch.run(LATEST + IN_TOUCH + STOPPED_WITHIN);
        let left = watch.world.workers.get_mut(&id).unwrap();
        left.crash(&mut watch.world.judge);
    }
    assert_eq!(watch.world.judge.broken, Vec::<String>::new());
    let world = &watch.world;
    assert!(world.judge.alive().all(|(task, ..)| !watch.told.contains_key(&task.job)));
}
