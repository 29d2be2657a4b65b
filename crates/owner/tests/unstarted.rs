//! A task does not stay with a worker that answers but carries out no start, while other workers have room.
//!
//! Guards against a start that is sent again and again to the same worker: its run stays assigned, so the task is not
//! placed elsewhere, and nothing of the job runs for as long as that worker answers lease renewals.

mod common;

use common::find::first_task;
use common::{World, job, step};
use myrtle_job::{State, StepSpec};
use myrtle_owner::Outcome;

/// How long a job may have nothing running though its turn has come and there is room, in milliseconds.
const IDLE_LIMIT: u64 = 3_000;

/// Submits a job whose first worker answers every start with `outcome`, and checks that it runs on another one.
fn check(outcome: Outcome, spec: StepSpec) {
    let mut world = World::new(7, 4);
    world.run(1_000);
    world.workers.values_mut().for_each(|w| w.no_starts = Some(outcome));
    let id = world.submit(job(vec![spec]));
    let (task, submitted) = (first_task(id), world.now);
    let (worker, _) = world.run_until(1_000, |world| world.assigned(task)).expect("it is assigned");
    let others = world.workers.iter_mut().filter(|(other, _)| **other != worker);
    others.for_each(|(_, w)| w.no_starts = None);
    let began = world.run_until(60_000, |world| world.running_on(task).map(|_| world.now));
    let state = world.owner().cell.state(id);
    assert_ne!(state, Some(State::Failed));
    let waited = began.map(|at| at - submitted);
    assert!(
        waited.is_some_and(|waited| waited <= IDLE_LIMIT),
        "begins after {waited:?} ms; after 60 s it is {state:?}, assigned to {:?}",
        world.assigned(task)
    );
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

#[test]
fn a_task_whose_start_cannot_be_sent_goes_to_another_worker() {
    check(Outcome::Unsent, step(1));
}

#[test]
fn a_task_whose_start_gets_no_reply_goes_to_another_worker() {
    check(Outcome::Unknown, step(1));
}

#[test]
fn a_long_running_task_whose_start_cannot_be_sent_goes_to_another_worker() {
    check(Outcome::Unsent, StepSpec { long_running: true, ..step(1) });
}
