//! Successive owners while a worker to which one of them gave leases is unreachable.
//!
//! Fault: each owner waits for the longest lease from its own beginning, so long-running tasks of a lost worker wait for
//! as long as owners succeed each other, and for one longest lease more.

mod common;

use std::sync::Arc;

use common::{STEP, World, case, job, step};
use myrtle_base::Room;
use myrtle_job::{StepSpec, TaskId};

/// The longest lease on a worker whose clock is two percent slow, in milliseconds.
const LEASE: u64 = 10_200;

/// What an owner adds to the lease because timers fire late, in milliseconds.
const MARGIN: u64 = 300;

/// The time within which tasks start again once their runs are known to be over, in milliseconds.
const RESTART: u64 = 200;

/// The interval at which an owner logs for how long it gave no lease, in milliseconds.
const LOG_INTERVAL: u64 = 1_000;

/// The time until such a record is written, in milliseconds.
const LOG_DELAY: u64 = 200;

/// The time for which each owner acts, in milliseconds.
const TERM: u64 = 4_000;

/// The number of changes of owner.
const CHANGES: u64 = 5;

/// The worker with the most runs.
fn fullest(world: &World) -> Arc<str> {
    world.workers.iter().max_by_key(|(_, w)| w.count()).unwrap().0.clone()
}

/// Starts a step on workers with slow clocks; returns one of them and the tasks that it runs.
fn start_slow(world: &mut World, spec: StepSpec) -> (Arc<str>, Vec<TaskId>) {
    world.workers.values_mut().for_each(|w| w.slow = true);
    world.run(2_000);
    start(world, spec)
}

/// Starts a step; returns one of the workers and the tasks that it runs.
fn start(world: &mut World, spec: StepSpec) -> (Arc<str>, Vec<TaskId>) {
    world.submit(job(vec![spec]));
    world.run(1_000);
    let worker = fullest(world);
    let tasks = world.workers[&worker].tasks();
    assert!(!tasks.is_empty(), "the worker runs tasks");
    (worker, tasks)
}

/// Crashes a worker with runs of a step for good; returns their tasks.
fn crash_worker(world: &mut World, spec: StepSpec) -> Vec<TaskId> {
    let (lost, tasks) = start_slow(world, spec);
    world.vanish(&lost);
    tasks
}

/// Whether each task runs or has completed.
fn all_active(world: &World, tasks: &[TaskId]) -> bool {
    let runs = |task| world.workers.values().any(|w| w.runs(task));
    tasks.iter().all(|&task| runs(task) || world.judge.ended_well(task))
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

/// Three tasks that run on different workers, as tasks lost with one worker would start one after another.
fn separate() -> StepSpec {
    StepSpec { room: Room { cpu: 20_000, mem: 1_000, accel: 0 }, ..step(3) }
}

/// Separate long-running tasks.
fn long_running() -> StepSpec {
    StepSpec { long_running: true, ..separate() }
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

/// Cuts the newest owner off from a worker, or reconnects it.
fn cut(world: &mut World, worker: &str, cut: bool) {
    let owner = world.owners.len() - 1;
    world.cut(owner, worker, cut);
}

/// Lets another owner take over, which reaches a worker or does not.
fn succeed(world: &mut World, worker: &str, reaches: bool) {
    world.succeed();
    cut(world, worker, !reaches);
}

/// The number of starts of all these tasks.
fn starts(world: &World, tasks: &[TaskId]) -> u32 {
    tasks.iter().map(|task| world.judge.starts[task]).sum()
}

/// Runs for longer than any lease; asserts that each task was started once more and is active.
fn assert_restarted(world: &mut World, tasks: &[TaskId]) {
    world.run(2 * LEASE);
    assert_eq!(starts(world, tasks), 2 * tasks.len() as u32, "each task starts once more");
    assert!(all_active(world, tasks));
}

/// Runs for longer than any lease; asserts that each run goes on.
fn assert_runs_on(world: &mut World, worker: &str, tasks: &[TaskId]) {
    world.run(2 * LEASE);
    assert_eq!(starts(world, tasks), tasks.len() as u32, "each task was started once");
    assert!(tasks.iter().all(|&task| world.workers[worker].runs(task)));
}

/// Lets owners succeed each other that are all cut off from a running worker.
fn cut_off_all(world: &mut World, spec: StepSpec, term: u64) {
    let (worker, tasks) = start_slow(world, spec);
    cut(world, &worker, true);
    for _ in 0..CHANGES {
        world.run(term);
        succeed(world, &worker, false);
    }
    assert_restarted(world, &tasks);
}

/// Separate tasks that run for longer than a lease.
fn long() -> StepSpec {
    StepSpec { estimate_ms: 60_000, ..separate() }
}

case!(no_run_doubles_on_a_worker_cut_off_from_successive_owners, world, {
    cut_off_all(&mut world, long_running(), TERM);
});

case!(no_finite_run_doubles_on_a_worker_cut_off_from_successive_owners, world, {
    cut_off_all(&mut world, long(), TERM);
});

case!(no_run_doubles_on_a_worker_cut_off_from_owners_of_short_terms, world, {
    cut_off_all(&mut world, long_running(), 330);
});

case!(no_run_doubles_on_a_worker_cut_off_from_owners_for_half_a_lease_each, world, {
    cut_off_all(&mut world, long_running(), LEASE / 2);
});

case!(
    /// The owner between renews the lease, so the time waited before no longer counts.
    a_lease_renewed_by_an_owner_between_is_waited_for_in_full,
    world,
    {
        let (worker, tasks) = start_slow(&mut world, long_running());
        cut(&mut world, &worker, true);
        world.run(6_000);
        succeed(&mut world, &worker, true);
        world.run(3_000);
        succeed(&mut world, &worker, false);
        assert_restarted(&mut world, &tasks);
    }
);

case!(
    /// The owner between acts for one lease renewal.
    a_lease_renewed_once_by_an_owner_between_is_waited_for_in_full,
    world,
    {
        let (worker, tasks) = start_slow(&mut world, long_running());
        cut(&mut world, &worker, true);
        world.run(6_000);
        succeed(&mut world, &worker, true);
        world.run(200);
        succeed(&mut world, &worker, false);
        assert_restarted(&mut world, &tasks);
    }
);

case!(
    /// The log holds for how long no lease was given, and is unreachable when one is given again.
    no_run_doubles_on_a_worker_met_without_the_log,
    world,
    {
        let (worker, tasks) = start_slow(&mut world, long_running());
        cut(&mut world, &worker, true);
        world.run(6_000);
        world.owner().logged = false;
        cut(&mut world, &worker, false);
        world.run(2_000);
        succeed(&mut world, &worker, false);
        assert_restarted(&mut world, &tasks);
    }
);

case!(
    /// The log is unreachable when the next owner meets the worker.
    no_run_doubles_on_a_worker_that_the_next_owner_meets_without_the_log,
    world,
    {
        let (worker, tasks) = start_slow(&mut world, long_running());
        cut(&mut world, &worker, true);
        world.run(6_000);
        succeed(&mut world, &worker, true);
        world.owner().logged = false;
        world.run(2_000);
        succeed(&mut world, &worker, false);
        assert_restarted(&mut world, &tasks);
    }
);

case!(
    /// The record of a wait is pending while the worker is met, and is written after that.
    a_wait_that_is_logged_late_doubles_no_run,
    world,
    {
        let (worker, tasks) = start_slow(&mut world, long_running());
        world.owner().logged = false;
        cut(&mut world, &worker, true);
        world.run(3_000);
        cut(&mut world, &worker, false);
        world.run(3_000);
        world.owner().logged = true;
        world.run(STEP);
        succeed(&mut world, &worker, false);
        assert_restarted(&mut world, &tasks);
    }
);

case!(
    /// An earlier wait is over, and its worker has got other runs since.
    a_wait_that_was_over_restarts_with_new_runs,
    world,
    {
        let (worker, _) = start_slow(&mut world, StepSpec { estimate_ms: 3_000, ..separate() });
        cut(&mut world, &worker, true);
        world.run(2 * LEASE);
        cut(&mut world, &worker, false);
        world.run(1_000);
        world.submit(job(vec![StepSpec { estimate_ms: 60_000, ..step(64) }]));
        world.run(1_000);
        let tasks = world.workers[&worker].tasks();
        assert!(!tasks.is_empty(), "the worker gets runs again");
        succeed(&mut world, &worker, false);
        world.run(2 * LEASE);
        assert!(tasks.iter().all(|task| !world.workers[&worker].runs(*task)), "its lease is over");
    }
);

case!(
    /// An owner that has logged its wait acts on after its successor has begun, and meets the worker again.
    a_succeeded_owner_gives_no_lease_once_it_has_waited,
    world,
    {
        let (worker, tasks) = start_slow(&mut world, long_running());
        cut(&mut world, &worker, true);
        world.run(6_000);
        let before = world.owners.len() - 1;
        world.take_over();
        cut(&mut world, &worker, true);
        world.cut(before, &worker, false);
        assert_restarted(&mut world, &tasks);
    }
);

case!(
    /// Its host renews no leases, as the store has not confirmed its ownership.
    a_succeeded_owner_that_is_not_confirmed_doubles_no_run,
    world,
    {
        world.renews = 0;
        let (worker, tasks) = start_slow(&mut world, long_running());
        cut(&mut world, &worker, true);
        world.run(6_000);
        let before = world.owners.len() - 1;
        world.take_over();
        cut(&mut world, &worker, true);
        world.cut(before, &worker, false);
        assert_restarted(&mut world, &tasks);
    }
);

case!(
    /// The next owner begins while the log is slow; until it has fenced its predecessor off, that one writes and starts
    /// runs, and each start is a lease.
    an_owner_waits_from_when_its_predecessor_was_fenced_off,
    world,
    {
        world.renews = 0;
        world.run(2_000);
        let began = world.now;
        world.owner().followed = Some(began);
        world.run(6_000);
        let (worker, tasks) = start(&mut world, long_running());
        world.owner().awake = false;
        world.take_over_since(began);
        cut(&mut world, &worker, true);
        assert_restarted(&mut world, &tasks);
    }
);

case!(
    /// The next owner begins while the log is slow; until it has fenced its predecessor off, that one logs for how long
    /// it has waited. The third owner's host saw the second one begin.
    time_waited_after_the_successor_began_counts_once,
    world,
    {
        (world.seen, world.renews) = (true, 0);
        let (worker, tasks) = start_slow(&mut world, long_running());
        cut(&mut world, &worker, true);
        let began = world.now;
        world.owner().followed = Some(began);
        world.run(5_000);
        world.owner().awake = false;
        world.take_over_since(began);
        cut(&mut world, &worker, true);
        world.run(500);
        succeed(&mut world, &worker, false);
        assert_restarted(&mut world, &tasks);
    }
);

case!(
    /// An owner's successor ends; the store finds the cell vacant and assigns it to the first owner's host again, which
    /// owns it from the start and contacts a worker. The last owner's host saw the second one begin.
    a_lease_of_a_host_that_owns_the_cell_again_is_waited_for_in_full,
    world,
    {
        (world.seen, world.renews) = (true, 0);
        let (worker, tasks) = start_slow(&mut world, long_running());
        succeed(&mut world, &worker, false);
        world.run(4_000);
        succeed(&mut world, &worker, true);
        world.run(200);
        succeed(&mut world, &worker, false);
        assert_restarted(&mut world, &tasks);
    }
);

case!(runs_of_a_worker_met_again_go_on, world, {
    let (worker, tasks) = start_slow(&mut world, long_running());
    cut(&mut world, &worker, true);
    world.run(6_000);
    cut(&mut world, &worker, false);
    assert_runs_on(&mut world, &worker, &tasks);
});

case!(runs_of_a_worker_that_the_next_owner_meets_go_on, world, {
    let (worker, tasks) = start_slow(&mut world, long_running());
    cut(&mut world, &worker, true);
    world.run(6_000);
    succeed(&mut world, &worker, true);
    assert_runs_on(&mut world, &worker, &tasks);
});

case!(
    /// The log is reachable again before the lease is over.
    runs_of_a_worker_met_again_go_on_once_the_log_is_back,
    world,
    {
        let (worker, tasks) = start_slow(&mut world, long_running());
        cut(&mut world, &worker, true);
        world.run(4_000);
        world.owner().logged = false;
        cut(&mut world, &worker, false);
        world.run(4_000);
        world.owner().logged = true;
        assert_runs_on(&mut world, &worker, &tasks);
    }
);

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

case!(
    /// An owner between gave leases, so the observed beginning of its predecessor doesn't count.
    a_host_that_saw_an_owner_begin_whose_successor_met_the_worker_waits_in_full,
    world,
    {
        (world.seen, world.renews) = (true, 0);
        let (worker, tasks) = start_slow(&mut world, long_running());
        succeed(&mut world, &worker, false);
        world.run(6_000);
        succeed(&mut world, &worker, true);
        world.run(2_000);
        succeed(&mut world, &worker, false);
        assert_restarted(&mut world, &tasks);
    }
);
