//! Fillers start beside serving tasks that are slow without them.
//!
//! Guards against jobs of fillers that never begin though most room is free: serving tasks on a busy machine exceed
//! their targets, or are close below them, for reasons of their own, and each worker with such a task takes no filler
//! for as long as that lasts.

mod common;

use common::find::first_task;
use common::{World, job, step};
use myrtle_base::Room;
use myrtle_job::{State, StepSpec, TaskId};

/// The latency target of serving tasks, in milliseconds.
const TARGET: u32 = 150;

/// The number of workers, each with one serving task.
const WORKERS: u16 = 4;

/// How long a job may have nothing running though its turn has come and there is room, in milliseconds.
const IDLE_LIMIT: u64 = 3_000;

/// The time in which a job of two tasks of two seconds has to be done, in milliseconds.
const DONE_WITHIN: u64 = 60_000;

/// Submits a job of fillers after serving tasks have reported the given tail latencies for 3 s each; the last one
/// goes on, with and without fillers beside them. Checks that the job begins and completes.
fn check(tails: &[f64]) {
    let mut world = World::new(1, usize::from(WORKERS));
    world.submit(job(vec![StepSpec {
        room: Room { cpu: 6_000, mem: 4_000, accel: 0 },
        long_running: true,
        image: Some("serving".into()),
        target_ms: Some(TARGET),
        worker_limit: 1,
        ..step(WORKERS)
    }]));
    world.run(3_000);
    for tail in tails {
        world.workers.values_mut().for_each(|w| w.tail = Some(*tail));
        world.run(3_000);
    }
    let id = world.submit(job(vec![StepSpec {
        room: Room { cpu: 3_000, mem: 4_000, accel: 0 },
        estimate_ms: 2_000,
        image: Some("filler".into()),
        filler: true,
        has_checkpoints: true,
        ..step(2)
    }]));
    let submitted = world.now;
    let tasks = [first_task(id), TaskId { index: 1, ..first_task(id) }];
    let runs = |world: &World| tasks.iter().any(|task| world.running_on(*task).is_some());
    let began = world.run_until(DONE_WITHIN, |world| runs(world).then_some(world.now - submitted));
    assert!(began.is_some_and(|after| after <= IDLE_LIMIT), "begins after {began:?} ms");
    let done =
        |world: &mut World| (world.owner().cell.state(id)? == State::Completed).then_some(());
    assert_eq!(world.run_until(DONE_WITHIN, done), Some(()), "it is done in time");
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

#[test]
fn beside_serving_tasks_that_are_far_below_their_target() {
    check(&[50.0]);
}

#[test]
fn beside_serving_tasks_that_are_close_below_their_target() {
    check(&[139.0]);
}

#[test]
fn beside_serving_tasks_that_exceed_their_target_by_themselves() {
    check(&[160.0]);
}

#[test]
fn beside_serving_tasks_that_exceeded_their_target_and_are_below_it_again() {
    check(&[160.0, 139.0]);
}
