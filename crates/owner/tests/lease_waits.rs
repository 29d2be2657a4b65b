//! Successive owners while a worker to which one of them gave leases has crashed.
//!
//! Fault: each owner waits for the longest lease from its own beginning, so long-running tasks of a lost worker wait for
//! as long as owners succeed each other, and for one longest lease more.

mod common;

use common::lease::{CHANGES, LEASE, TERM, all_active, long_running, separate, start_slow};
use common::{STEP, World, case};
use myrtle_job::{StepSpec, TaskId};

/// What an owner adds to the lease because timers fire late, in milliseconds.
const MARGIN: u64 = 300;

/// The time within which tasks start again once their runs are known to be over, in milliseconds.
const RESTART: u64 = 200;

/// The interval at which an owner logs for how long it gave no lease, in milliseconds.
const LOG_INTERVAL: u64 = 1_000;

/// The time until such a record is written, in milliseconds.
const LOG_DELAY: u64 = 200;

/// Crashes a worker with runs of a step for good; returns their tasks.
fn crash_worker(world: &mut World, spec: StepSpec) -> Vec<TaskId> {
    let (lost, tasks) = start_slow(world, spec);
    world.vanish(&lost);
    tasks
}

/// Lets owners succeed each other, of which those in `unlogged` never reach the log; asserts that the tasks of a crashed
/// worker wait at most for one longest lease, the cost of each change of owner, and the terms of those owners.
fn assert_waits_once(world: &mut World, tasks: &[TaskId], unlogged: &[u64]) {
    let (crashed, mut changes) = (world.now, 0);
    while !all_active(world, tasks) {
        if changes < CHANGES && world.now >= crashed + (changes + 1) * TERM {
            changes += 1;
            world.succeed();
            world.owner().logged = !unlogged.contains(&changes);
        }
        world.run(STEP);
        assert!(world.now < crashed + 60_000, "the tasks are never restarted");
    }
    let waited = world.now - crashed;
    let lost = unlogged.iter().filter(|n| **n < changes).count() as u64 * TERM;
    let most = LEASE + MARGIN + RESTART + changes * (LOG_INTERVAL + LOG_DELAY) + lost;
    assert!(waited <= most, "{waited} ms over {changes} changes of owner, at most {most} ms");
}

/// Separate tasks that would end before the first change of owner.
fn short() -> StepSpec {
    StepSpec { estimate_ms: 3_000, ..separate() }
}

case!(successive_owners_wait_for_a_crashed_worker_once, world, {
    let tasks = crash_worker(&mut world, long_running());
    assert_waits_once(&mut world, &tasks, &[]);
});

case!(successive_owners_wait_once_with_short_tasks, world, {
    let tasks = crash_worker(&mut world, short());
    assert_waits_once(&mut world, &tasks, &[]);
});

case!(
    /// The second of five owners never reaches the log.
    an_owner_without_a_log_adds_only_its_own_term,
    world,
    {
        let tasks = crash_worker(&mut world, long_running());
        assert_waits_once(&mut world, &tasks, &[2]);
    }
);

case!(
    /// The first of five owners never reaches the log.
    an_owner_without_a_log_adds_only_its_own_term_with_short_tasks,
    world,
    {
        let tasks = crash_worker(&mut world, short());
        assert_waits_once(&mut world, &tasks, &[1]);
    }
);

case!(one_owner_waits_for_a_crashed_worker_once, world, {
    let tasks = crash_worker(&mut world, long_running());
    let crashed = world.now;
    while !all_active(&world, &tasks) && world.now < crashed + 60_000 {
        world.run(STEP);
    }
    let waited = world.now - crashed;
    assert!(waited <= LEASE + MARGIN + RESTART, "{waited} ms");
});

/// Lets owners succeed each other, with no owner for half a term in between; returns how long tasks have waited, in
/// milliseconds.
fn wait_with_gaps(world: &mut World, tasks: &[TaskId]) -> u64 {
    let crashed = world.now;
    let mut change = crashed + TERM;
    while !all_active(world, tasks) {
        assert!(world.now < crashed + 60_000, "the tasks are never restarted");
        if world.now >= change {
            change += TERM;
            world.owner().awake = false;
            world.run(TERM / 2);
            world.take_over();
        }
        world.run(STEP);
    }
    world.now - crashed
}

case!(
    /// The first owner after the crash is the last one known only from the log.
    a_host_that_saw_an_earlier_owner_begin_counts_from_then,
    world,
    {
        (world.seen, world.renews) = (true, 0);
        let tasks = crash_worker(&mut world, long_running());
        let waited = wait_with_gaps(&mut world, &tasks);
        // The wait counts from when hosts saw an owner begin that gave no lease; after its end there may be no owner for a while.
        let most = LEASE + MARGIN + RESTART + (TERM + TERM / 2) + TERM / 2;
        assert!(waited <= most, "{waited} ms, at most {most} ms");
    }
);

case!(
    /// Several owners end before they have read the log, then one ends soon, and another one takes over.
    leases_that_owners_between_can_not_have_given_are_not_waited_for,
    world,
    {
        const GAP: u64 = 1_000;
        (world.seen, world.renews) = (true, 0);
        let tasks = crash_worker(&mut world, long_running());
        let crashed = world.now;
        world.owner().awake = false;
        for _ in 0..4 {
            world.run(GAP);
            world.pass_by();
        }
        world.take_over();
        world.run(LOG_INTERVAL);
        world.owner().awake = false;
        world.run(TERM);
        world.take_over();
        while !all_active(&world, &tasks) {
            world.run(STEP);
            assert!(world.now < crashed + 60_000, "the tasks are never restarted");
        }
        let (waited, most) = (world.now - crashed, GAP + LEASE + MARGIN + RESTART);
        assert!(waited <= most, "{waited} ms, at most {most} ms");
    }
);
