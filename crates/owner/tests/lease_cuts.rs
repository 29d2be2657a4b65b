//! Successive owners while a worker to which one of them gave leases is cut off from some of them, and runs on.
//!
//! Fault: a task runs twice if an owner counts time that its predecessors have waited although a lease was given since.

mod common;

use common::lease::{CHANGES, LEASE, TERM, all_active, long_running, separate, start, start_slow};
use common::{STEP, World, case, job, step};
use myrtle_job::{StepSpec, TaskId};

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
