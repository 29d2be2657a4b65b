//! Of the long-running tasks that ran before, the one with the longest downtime is placed first.
//!
//! Fault: a cell is overloaded, and workers drain one after the other while others come. Such tasks were placed by the
//! submission times of their jobs, and within a job by index, so tasks of older jobs that were stopped later took all
//! the room that became free: tasks of younger jobs waited for 16 s, while those stopped 3 s ago ran.

mod common;

use std::sync::Arc;

use myrtle_base::Room;
use myrtle_job::{JobId, StepSpec, TaskId};

use common::{World, case, job, step};

/// The time between two workers that drain, in milliseconds: moving a task takes less.
const INTERVAL: u64 = 2_000;

/// The longest downtime of a long-running task that fits, in milliseconds: 6 s from its last run, and 3 s.
const MAX_DOWNTIME: u64 = 9_000;

/// A step of long-running tasks, of which each worker has room for one.
fn long_running(count: u16) -> StepSpec {
    let room = Room { cpu: 24_000, mem: 1_000, accel: 0 };
    StepSpec { room, long_running: true, ..step(count) }
}

/// The worker that runs a task, if there is one.
fn worker_of(world: &World, task: TaskId) -> Option<Arc<str>> {
    let owner = &world.owners.last().unwrap().cell;
    let mut workers = owner.workers.iter();
    let found = workers.find(|(_, w)| w.active_runs.contains_key(&task));
    found.map(|(incarnation, _)| incarnation.id().clone())
}

/// The workers that run tasks of a job.
fn workers_of(world: &World, job: JobId) -> Vec<Arc<str>> {
    let tasks = (0..4).map(|index| TaskId { job, round: 0, step: 0, index });
    tasks.filter_map(|task| worker_of(world, task)).collect()
}

/// Lets a worker announce that it drains.
fn drain(world: &mut World, worker: &str) {
    world.workers.get_mut(worker).unwrap().listing.draining = true;
}

/// Replaces a worker by another one, which has room for one of the waiting tasks.
fn replace(world: &mut World, worker: &str, n: u16) {
    drain(world, worker);
    world.run(INTERVAL / 2);
    world.add_worker(&format!("n{n}"), 10 + n);
    world.run(INTERVAL / 2);
}

case!(the_longest_downtime_goes_before_the_older_job, world, {
    let older = world.submit(job(vec![long_running(2)]));
    world.run(2_500);
    let younger = world.submit(job(vec![long_running(2)]));
    world.run(5_000);
    let drained = workers_of(&world, younger);
    assert_eq!((workers_of(&world, older).len(), drained.len()), (2, 2));
    drain(&mut world, &drained[0]);
    world.run(INTERVAL);
    assert_eq!(workers_of(&world, younger).len(), 1, "there is no room");
    for n in 0..(MAX_DOWNTIME / INTERVAL) as u16 {
        let next = workers_of(&world, older).pop().unwrap();
        replace(&mut world, &next, n);
    }
    assert_eq!(
        workers_of(&world, younger).len(),
        2,
        "the task with the longest downtime is not placed"
    );
});

case!(the_longest_downtime_goes_before_the_lower_index, world, {
    let id = world.submit(job(vec![long_running(4)]));
    world.run(5_000);
    let last = TaskId { job: id, round: 0, step: 0, index: 3 };
    let worker = worker_of(&world, last).unwrap();
    drain(&mut world, &worker);
    world.run(INTERVAL);
    assert_eq!(worker_of(&world, last), None, "there is no room");
    for n in 0..(MAX_DOWNTIME / INTERVAL) as u16 {
        let mut others = (0..last.index).map(|index| TaskId { index, ..last });
        let next = others.find_map(|task| worker_of(&world, task)).unwrap();
        replace(&mut world, &next, n);
    }
    assert!(worker_of(&world, last).is_some(), "the task with the longest downtime is not placed");
});
