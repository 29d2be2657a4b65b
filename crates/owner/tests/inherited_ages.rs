//! A run that was older than a change of owner does not count as just started when its worker is lost.
//!
//! Guards against tasks that are given up although each of their runs lasted for seconds: a new owner has not seen
//! the run begin, takes it for one that began at its worker's last answer, and suspects its task of the crash.

mod common;

use common::find::first_task;
use common::{World, job, step};
use myrtle_job::{State, StepSpec};

/// The ages of the runs at the losses of their workers, in milliseconds; no two are alike.
const AGES: [u64; 3] = [8_000, 5_500, 3_000];

/// How long a worker is down, in milliseconds.
const DOWNTIME: u64 = 100;

/// Loses the worker of a task three times, each time at a change of owner, and checks that the task goes on.
fn check(spec: StepSpec) {
    let mut world = World::new(7, 12);
    world.run(2_000);
    let id = world.submit(job(vec![spec]));
    let task = first_task(id);
    for age in AGES {
        let worker = world.run_until(20_000, |world| world.running_on(task));
        let worker = worker.expect("the task runs");
        world.run(age);
        world.owner().awake = false;
        world.restart(&worker, DOWNTIME);
        world.run(DOWNTIME / 2);
        world.succeed();
        world.run(4 * DOWNTIME);
    }
    world.run(3_000);
    let cell = &world.owner().cell;
    assert_eq!(cell.state(id), Some(State::Running), "{:?}", cell.jobs[&id].progress.crashes);
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

#[test]
fn a_long_running_task_is_not_given_up() {
    check(StepSpec { long_running: true, ..step(1) });
}

#[test]
fn a_long_task_is_not_given_up() {
    check(StepSpec { estimate_ms: 60_000, ..step(1) });
}
