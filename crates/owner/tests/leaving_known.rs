//! A worker that was about to leave has not crashed, also for an owner that never saw it leave.
//!
//! Symptom: lasting tasks of a worker that left are doubted and begin one after another, 1.5 s each, on workers where
//! nothing else may begin meanwhile.
//! Sequence: a worker says that it leaves; another host owns the cell; the worker is gone before that one has met it.
//! Cause: the log told of a worker what it had said of itself when it was first given work.
//! Settled by: `crashes` in the progress of jobs whose worker left in order.

mod common;

use std::sync::Arc;

use common::{World, case, job, step};
use myrtle_job::{JobId, StepSpec};

/// Longer than any lease and what follows, in milliseconds.
const LEASES: u64 = 13_000;

/// Eight lasting tasks, of which one may be away.
fn begin(world: &mut World) -> (JobId, Arc<str>) {
    world.run(4_000);
    let id = world.submit(job(vec![StepSpec { lasting: true, may_miss: Some(1), ..step(8) }]));
    world.run(1_000);
    let fullest = world.workers.iter().max_by_key(|(_, w)| w.count()).unwrap();
    assert!(fullest.1.count() >= 2);
    (id, fullest.0.clone())
}

/// A worker is gone with what it runs, and another host owns the cell, which never met it.
fn lose(world: &mut World, worker: &Arc<str>) {
    assert!(world.workers[worker].count() > 0, "something is there to be lost");
    world.vanish(worker);
    world.succeed();
    world.run(LEASES);
    assert_eq!(world.workers.values().map(|w| w.count()).sum::<usize>(), 8);
}

/// How many tasks of a job are told to have been lost with crashed workers.
fn doubted(world: &mut World, id: JobId) -> usize {
    world.owner().cell.jobs[&id].progress.crashes.len()
}

case!(one_that_said_so_has_not_crashed_for_the_next_owner, world, {
    let (id, leaving) = begin(&mut world);
    let listing = &mut world.workers.get_mut(&leaving).unwrap().listing;
    (listing.draining, listing.remaining) = (true, Some(5_000));
    world.run(200);
    lose(&mut world, &leaving);
    assert_eq!(doubted(&mut world, id), 0);
});

case!(one_that_said_nothing_has_not_crashed_for_the_next_owner, world, {
    let (id, leaving) = begin(&mut world);
    world.workers.get_mut(&leaving).unwrap().listed = false;
    world.run(1_100);
    lose(&mut world, &leaving);
    assert_eq!(doubted(&mut world, id), 0);
});

case!(one_that_crashed_has_crashed_for_the_next_owner_too, world, {
    let (id, lost) = begin(&mut world);
    world.run(200);
    lose(&mut world, &lost);
    assert!(doubted(&mut world, id) > 0);
});
