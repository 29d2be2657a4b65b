//! Tasks on workers of which no lease may be outlived, for tests of how long owners wait for them.

use std::sync::Arc;

use myrtle_base::Room;
use myrtle_job::{StepSpec, TaskId};

use super::{World, job, step};

/// The longest lease on a worker whose clock is two percent slow, in milliseconds.
pub const LEASE: u64 = 10_200;

/// The time for which each owner acts, in milliseconds.
pub const TERM: u64 = 4_000;

/// The number of changes of owner.
pub const CHANGES: u64 = 5;

/// The worker with the most runs.
pub fn fullest(world: &World) -> Arc<str> {
    world.workers.iter().max_by_key(|(_, w)| w.count()).unwrap().0.clone()
}

/// Starts a step on workers with slow clocks; returns one of them and the tasks that it runs.
pub fn start_slow(world: &mut World, spec: StepSpec) -> (Arc<str>, Vec<TaskId>) {
    world.workers.values_mut().for_each(|w| w.slow = true);
    world.run(2_000);
    start(world, spec)
}

/// Starts a step; returns one of the workers and the tasks that it runs.
pub fn start(world: &mut World, spec: StepSpec) -> (Arc<str>, Vec<TaskId>) {
    world.submit(job(vec![spec]));
    world.run(1_000);
    let worker = fullest(world);
    let tasks = world.workers[&worker].tasks();
    assert!(!tasks.is_empty(), "the worker runs tasks");
    (worker, tasks)
}

/// Whether each task runs or has completed.
pub fn all_active(world: &World, tasks: &[TaskId]) -> bool {
    let runs = |task| world.workers.values().any(|w| w.runs(task));
    tasks.iter().all(|&task| runs(task) || world.judge.ended_well(task))
}

/// Three tasks that run on different workers, as tasks lost with one worker would start one after another.
pub fn separate() -> StepSpec {
    StepSpec { room: Room { cpu: 20_000, mem: 1_000, accel: 0 }, ..step(3) }
}

/// Separate long-running tasks.
pub fn long_running() -> StepSpec {
    StepSpec { long_running: true, ..separate() }
}
