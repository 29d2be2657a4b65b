//! A worker that announced that it leaves does not count as crashed, even for a successor that never met it.
//!
//! Guards against long-running tasks of such a worker being suspected of a crash and restarted one after another, 1.5 s
//! each, on workers where nothing else may start meanwhile. It happens if the worker announces that it leaves, another
//! host becomes the owner, and the worker is gone before that host has met it, while the log still holds the listing
//! from when the worker first got work.

mod common;

use std::sync::Arc;

use common::{World, case, job, step};
use myrtle_job::{JobId, StepSpec};

/// Longer than any lease and the restarts after it, in milliseconds.
const LEASE_AND_RESTART: u64 = 13_000;

/// Starts eight long-running tasks, of which one may be unavailable, and returns the worker with the most of them.
fn begin(world: &mut World) -> (JobId, Arc<str>) {
    world.run(4_000);
    let id = world.submit(job(vec![StepSpec {
        long_running: true,
        disruption_budget: Some(1),
        ..step(8)
    }]));
    world.run(1_000);
    let fullest = world.workers.iter().max_by_key(|(_, w)| w.count()).unwrap();
    assert!(fullest.1.count() >= 2);
    (id, fullest.0.clone())
}

/// Removes a worker with its runs, and starts a successor that never met it.
fn lose(world: &mut World, worker: &Arc<str>) {
    assert!(world.workers[worker].count() > 0, "the worker has runs to lose");
    world.vanish(worker);
    world.succeed();
    world.run(LEASE_AND_RESTART);
    assert_eq!(world.workers.values().map(|w| w.count()).sum::<usize>(), 8);
}

/// The number of tasks of a job that are recorded as lost with crashed workers.
fn suspected(world: &mut World, id: JobId) -> usize {
    world.owner().cell.jobs[&id].progress.crashes.len()
}

case!(a_worker_that_announced_leaving_has_not_crashed_for_the_successor, world, {
    let (id, leaving) = begin(&mut world);
    let listing = &mut world.workers.get_mut(&leaving).unwrap().listing;
    (listing.draining, listing.remaining_ms) = (true, Some(5_000));
    world.run(200);
    lose(&mut world, &leaving);
    assert_eq!(suspected(&mut world, id), 0);
});

case!(a_worker_that_withdrew_its_entry_has_not_crashed_for_the_successor, world, {
    let (id, leaving) = begin(&mut world);
    world.workers.get_mut(&leaving).unwrap().listed = false;
    world.run(1_100);
    lose(&mut world, &leaving);
    assert_eq!(suspected(&mut world, id), 0);
});

case!(a_worker_that_crashed_has_crashed_for_the_successor_too, world, {
    let (id, lost) = begin(&mut world);
    world.run(200);
    lose(&mut world, &lost);
    assert!(suspected(&mut world, id) > 0);
});
