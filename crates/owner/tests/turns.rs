//! Of lasting tasks that ran before, the one that has waited longest goes first.
//!
//! Symptom: LOST; tasks stopped since their workers leave wait for 16 s, while those stopped a moment ago run.
//! Sequence: more is asked for than there is; workers leave one after the other, and others come.
//! Cause: such tasks were placed by when their jobs came, and within a job by their numbers, so those
//! of older jobs that were stopped later took whatever came.
//! Settled by: 62 tasks of older jobs, stopped within the last 3 s, were `event=placed` while 34 others
//! of younger jobs waited since 16 s before; and a job's third task, stopped 17 s after its eighth, before that.

mod common;

use std::sync::Arc;

use myrtle_base::Room;
use myrtle_job::{JobId, StepSpec, TaskId};

use common::{World, case, job, step};

/// The time between two workers that leave, in milliseconds: it takes less to move a task.
const BETWEEN: u64 = 2_000;

/// How long a task that lasts may be without a run though there is room: 6 s from its last run, and 3 s.
const SOON: u64 = 9_000;

/// Lasting tasks, of which a worker has room for one.
fn lasting(count: u16) -> StepSpec {
    let room = Room { cpu: 24_000, mem: 1_000, accel: 0 };
    StepSpec { room, lasting: true, ..step(count) }
}

/// The worker that runs a task, if there is one.
fn place_of(world: &World, task: TaskId) -> Option<Arc<str>> {
    let owner = &world.owners.last().unwrap().cell;
    let mut workers = owner.workers.iter();
    let place = workers.find(|(_, w)| w.flights.contains_key(&task));
    place.map(|(life, _)| life.id().clone())
}

/// The workers that run something of a job.
fn places(world: &World, job: JobId) -> Vec<Arc<str>> {
    let tasks = (0..4).map(|index| TaskId { job, round: 0, step: 0, index });
    tasks.filter_map(|task| place_of(world, task)).collect()
}

/// A worker says that it leaves.
fn leave(world: &mut World, worker: &str) {
    world.workers.get_mut(worker).unwrap().listing.draining = true;
}

/// A worker leaves and another one comes, so there is room for one task of those that wait.
fn relieve(world: &mut World, worker: &str, n: u16) {
    leave(world, worker);
    world.run(BETWEEN / 2);
    world.add_worker(&format!("n{n}"), 10 + n);
    world.run(BETWEEN / 2);
}

case!(the_longest_wait_goes_before_the_older_job, world, {
    let older = world.submit(job(vec![lasting(2)]));
    world.run(2_500);
    let younger = world.submit(job(vec![lasting(2)]));
    world.run(5_000);
    let waiting = places(&world, younger);
    assert_eq!((places(&world, older).len(), waiting.len()), (2, 2));
    leave(&mut world, &waiting[0]);
    world.run(BETWEEN);
    assert_eq!(places(&world, younger).len(), 1, "there is no room");
    for n in 0..(SOON / BETWEEN) as u16 {
        let next = places(&world, older).pop().unwrap();
        relieve(&mut world, &next, n);
    }
    assert_eq!(places(&world, younger).len(), 2, "it is passed over again and again");
});

case!(the_longest_wait_goes_before_the_lower_number, world, {
    let id = world.submit(job(vec![lasting(4)]));
    world.run(5_000);
    let last = TaskId { job: id, round: 0, step: 0, index: 3 };
    let worker = place_of(&world, last).unwrap();
    leave(&mut world, &worker);
    world.run(BETWEEN);
    assert_eq!(place_of(&world, last), None, "there is no room");
    for n in 0..(SOON / BETWEEN) as u16 {
        let mut others = (0..last.index).map(|index| TaskId { index, ..last });
        let next = others.find_map(|task| place_of(&world, task)).unwrap();
        relieve(&mut world, &next, n);
    }
    assert!(place_of(&world, last).is_some(), "it is passed over again and again");
});
