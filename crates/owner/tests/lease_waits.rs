//! Owners that follow one another while a worker that one of them had given leases can't be reached.
//!
//! Each counted the longest lease from its own beginning, so lasting tasks of a worker that was gone waited for as long
//! as owners followed one another, and one longest lease more:
//!
//! ```text
//! 10.57 event=run-ended worker=GONE how=stopped
//! 22.06 event=owner-loaded cell=0
//! 32.69 event=worker-gone worker=GONE reason="its lease is over"
//! 32.69 event=run-lost worker=GONE stage=Inherited
//! ```

mod common;

use std::sync::Arc;

use common::{STEP, World, case, job, step};
use myrtle_base::Room;
use myrtle_job::{StepSpec, TaskId};

/// The longest lease on a worker's clock that is two percent slow, in milliseconds.
const LEASE: u64 = 10_200;

/// What an owner adds to that, since timers fire late, in milliseconds.
const MARGIN: u64 = 300;

/// The time from the moment at which runs are known to be over until their tasks are at work again, in milliseconds.
const BEGIN: u64 = 200;

/// How often the log is told how long no lease was given, in milliseconds.
const TOLD_EVERY: u64 = 1_000;

/// The time until that is written, in milliseconds.
const WRITTEN: u64 = 200;

/// How long each owner in a row is there, in milliseconds.
const TERM: u64 = 4_000;

/// How many owners follow one another.
const CHANGES: u64 = 5;

/// The worker with the most runs.
fn fullest(world: &World) -> Arc<str> {
    world.workers.iter().max_by_key(|(_, w)| w.count()).unwrap().0.clone()
}

/// Lets a step begin on workers with slow clocks; one of these and what runs there.
fn place(world: &mut World, spec: StepSpec) -> (Arc<str>, Vec<TaskId>) {
    world.workers.values_mut().for_each(|w| w.slow = true);
    world.run(2_000);
    given(world, spec)
}

/// Lets a step begin; one of the workers and what runs there.
fn given(world: &mut World, spec: StepSpec) -> (Arc<str>, Vec<TaskId>) {
    world.submit(job(vec![spec]));
    world.run(1_000);
    let worker = fullest(world);
    let tasks = world.workers[&worker].tasks();
    assert!(!tasks.is_empty(), "something runs on it");
    (worker, tasks)
}

/// Lets a worker with runs of a step crash for good; what ran there.
fn lose(world: &mut World, spec: StepSpec) -> Vec<TaskId> {
    let (lost, tasks) = place(world, spec);
    world.vanish(&lost);
    tasks
}

/// Whether each of some tasks is at work, or has ended well.
fn at_work(world: &World, tasks: &[TaskId]) -> bool {
    let runs = |task| world.workers.values().any(|w| w.runs(task));
    tasks.iter().all(|&task| runs(task) || world.judge.ended_well(task))
}

/// Lets owners follow one another, of which the ones in `deaf` never reach the log; asks that the tasks of a crashed
/// worker wait for one longest lease, what each change of owner costs, and the terms of those owners.
fn wait_once(world: &mut World, tasks: &[TaskId], deaf: &[u64]) {
    let (crashed, mut changes) = (world.now, 0);
    while !at_work(world, tasks) {
        if changes < CHANGES && world.now >= crashed + (changes + 1) * TERM {
            changes += 1;
            world.succeed();
            world.owner().logged = !deaf.contains(&changes);
        }
        world.run(STEP);
        assert!(world.now < crashed + 60_000, "the tasks never start again");
    }
    let waited = world.now - crashed;
    let unwritten = deaf.iter().filter(|n| **n < changes).count() as u64 * TERM;
    let most = LEASE + MARGIN + BEGIN + changes * (TOLD_EVERY + WRITTEN) + unwritten;
    assert!(waited <= most, "{waited} ms over {changes} changes of owner, at most {most} ms");
}

/// Three tasks of which no two are on one worker: those that are doubted together would begin one after another.
fn apart() -> StepSpec {
    StepSpec { room: Room { cpu: 20_000, mem: 1_000, accel: 0 }, ..step(3) }
}

/// Such tasks that go on until they are cancelled.
fn lasting() -> StepSpec {
    StepSpec { lasting: true, ..apart() }
}

/// Such tasks that would be at their end by the first change of owner.
fn short() -> StepSpec {
    StepSpec { estimate: 3_000, ..apart() }
}

case!(owners_in_a_row_wait_for_a_crashed_worker_once, world, {
    let tasks = lose(&mut world, lasting());
    wait_once(&mut world, &tasks, &[]);
});

case!(owners_in_a_row_wait_once_with_short_tasks, world, {
    let tasks = lose(&mut world, short());
    wait_once(&mut world, &tasks, &[]);
});

case!(
    /// The second in the row of five never reaches the log.
    an_owner_without_a_log_loses_its_own_time_only,
    world,
    {
        let tasks = lose(&mut world, lasting());
        wait_once(&mut world, &tasks, &[2]);
    }
);

case!(
    /// As above, with the first one.
    an_owner_without_a_log_loses_its_own_time_only_with_short_tasks,
    world,
    {
        let tasks = lose(&mut world, short());
        wait_once(&mut world, &tasks, &[1]);
    }
);

case!(one_owner_waits_for_a_crashed_worker_once, world, {
    let tasks = lose(&mut world, lasting());
    let crashed = world.now;
    while !at_work(&world, &tasks) && world.now < crashed + 60_000 {
        world.run(STEP);
    }
    let waited = world.now - crashed;
    assert!(waited <= LEASE + MARGIN + BEGIN, "{waited} ms");
});

/// Cuts the newest owner off from a worker, or heals that.
fn cut(world: &mut World, worker: &str, cut: bool) {
    let owner = world.owners.len() - 1;
    world.cut(owner, worker, cut);
}

/// Another owner follows, which reaches a worker or does not.
fn follow(world: &mut World, worker: &str, reaches: bool) {
    world.succeed();
    cut(world, worker, !reaches);
}

/// How often tasks were started in all.
fn starts(world: &World, tasks: &[TaskId]) -> u32 {
    tasks.iter().map(|task| world.judge.starts[task]).sum()
}

/// Waits for longer than any lease; asks that each task was started once more, and is at work.
fn started_again(world: &mut World, tasks: &[TaskId]) {
    world.run(2 * LEASE);
    assert_eq!(starts(world, tasks), 2 * tasks.len() as u32, "each starts once more");
    assert!(at_work(world, tasks));
}

/// Waits for longer than any lease; asks that each task goes on where it was.
fn goes_on(world: &mut World, worker: &str, tasks: &[TaskId]) {
    world.run(2 * LEASE);
    assert_eq!(starts(world, tasks), tasks.len() as u32, "each was started once");
    assert!(tasks.iter().all(|&task| world.workers[worker].runs(task)));
}

/// Lets owners follow one another that are all cut off from a worker which lives.
fn cut_from_all(world: &mut World, spec: StepSpec, term: u64) {
    let (worker, tasks) = place(world, spec);
    cut(world, &worker, true);
    for _ in 0..CHANGES {
        world.run(term);
        follow(world, &worker, false);
    }
    started_again(world, &tasks);
}

/// Tasks that are far from their end when a lease is over.
fn long() -> StepSpec {
    StepSpec { estimate: 60_000, ..apart() }
}

case!(a_worker_that_owners_in_a_row_are_cut_off_from_runs_nothing_twice, world, {
    cut_from_all(&mut world, lasting(), TERM);
});

case!(a_worker_that_owners_in_a_row_are_cut_off_from_runs_no_short_task_twice, world, {
    cut_from_all(&mut world, long(), TERM);
});

case!(a_worker_that_owners_within_a_second_are_cut_off_from_runs_nothing_twice, world, {
    cut_from_all(&mut world, lasting(), 330);
});

case!(a_worker_that_owners_are_cut_off_from_for_half_a_lease_each_runs_nothing_twice, world, {
    cut_from_all(&mut world, lasting(), LEASE / 2);
});

case!(
    /// The owner between renews the lease, so what was waited before counts no more.
    a_lease_that_an_owner_between_has_renewed_is_waited_for_in_whole,
    world,
    {
        let (worker, tasks) = place(&mut world, lasting());
        cut(&mut world, &worker, true);
        world.run(6_000);
        follow(&mut world, &worker, true);
        world.run(3_000);
        follow(&mut world, &worker, false);
        started_again(&mut world, &tasks);
    }
);

case!(
    /// As above, and the owner between is there for one hold.
    a_lease_that_an_owner_between_has_renewed_once_is_waited_for_in_whole,
    world,
    {
        let (worker, tasks) = place(&mut world, lasting());
        cut(&mut world, &worker, true);
        world.run(6_000);
        follow(&mut world, &worker, true);
        world.run(200);
        follow(&mut world, &worker, false);
        started_again(&mut world, &tasks);
    }
);

case!(
    /// The log says how long no lease was given, and can't be told that one is given again.
    a_worker_that_is_met_without_the_log_runs_nothing_twice,
    world,
    {
        let (worker, tasks) = place(&mut world, lasting());
        cut(&mut world, &worker, true);
        world.run(6_000);
        world.owner().logged = false;
        cut(&mut world, &worker, false);
        world.run(2_000);
        follow(&mut world, &worker, false);
        started_again(&mut world, &tasks);
    }
);

case!(
    /// As above, and it is the next owner that meets the worker.
    a_worker_that_the_next_owner_meets_without_the_log_runs_nothing_twice,
    world,
    {
        let (worker, tasks) = place(&mut world, lasting());
        cut(&mut world, &worker, true);
        world.run(6_000);
        follow(&mut world, &worker, true);
        world.owner().logged = false;
        world.run(2_000);
        follow(&mut world, &worker, false);
        started_again(&mut world, &tasks);
    }
);

case!(
    /// What the log is to say is on its way while the worker is met, and comes in after that.
    a_wait_that_is_written_late_starts_nothing_twice,
    world,
    {
        let (worker, tasks) = place(&mut world, lasting());
        world.owner().logged = false;
        cut(&mut world, &worker, true);
        world.run(3_000);
        cut(&mut world, &worker, false);
        world.run(3_000);
        world.owner().logged = true;
        world.run(STEP);
        follow(&mut world, &worker, false);
        started_again(&mut world, &tasks);
    }
);

case!(
    /// The wait of before is over, and its worker has been given other work since.
    a_wait_that_was_over_begins_anew_with_new_work,
    world,
    {
        let (worker, _) = place(&mut world, StepSpec { estimate: 3_000, ..apart() });
        cut(&mut world, &worker, true);
        world.run(2 * LEASE);
        cut(&mut world, &worker, false);
        world.run(1_000);
        world.submit(job(vec![StepSpec { estimate: 60_000, ..step(64) }]));
        world.run(1_000);
        let tasks = world.workers[&worker].tasks();
        assert!(!tasks.is_empty(), "it is given work again");
        follow(&mut world, &worker, false);
        world.run(2 * LEASE);
        assert!(tasks.iter().all(|task| !world.workers[&worker].runs(*task)), "its lease is over");
    }
);

case!(
    /// An owner that has written the wait goes on after the next one's beginning, and meets the worker again.
    an_owner_that_was_followed_gives_no_lease_once_it_has_waited,
    world,
    {
        let (worker, tasks) = place(&mut world, lasting());
        cut(&mut world, &worker, true);
        world.run(6_000);
        let before = world.owners.len() - 1;
        world.take_over();
        cut(&mut world, &worker, true);
        world.cut(before, &worker, false);
        started_again(&mut world, &tasks);
    }
);

case!(
    /// Its host renews none any more by itself, as the store has not confirmed it.
    an_owner_that_was_followed_and_not_confirmed_starts_nothing_twice,
    world,
    {
        world.renews = 0;
        let (worker, tasks) = place(&mut world, lasting());
        cut(&mut world, &worker, true);
        world.run(6_000);
        let before = world.owners.len() - 1;
        world.take_over();
        cut(&mut world, &worker, true);
        world.cut(before, &worker, false);
        started_again(&mut world, &tasks);
    }
);

case!(
    /// The next owner begins while the log is slow; until that one has barred it, the one before writes and starts,
    /// and each start is a lease.
    an_owner_waits_from_when_the_one_before_was_barred_from_the_log,
    world,
    {
        world.renews = 0;
        world.run(2_000);
        let began = world.now;
        world.owner().followed = Some(began);
        world.run(6_000);
        let (worker, tasks) = given(&mut world, lasting());
        world.owner().awake = false;
        world.take_over_since(began);
        cut(&mut world, &worker, true);
        started_again(&mut world, &tasks);
    }
);

case!(
    /// The next owner begins while the log is slow; until that one has barred it, the one before goes on to write for
    /// how long it has waited. The third one's host saw the second one begin.
    what_an_owner_waits_after_its_successor_began_counts_once,
    world,
    {
        (world.seen, world.renews) = (true, 0);
        let (worker, tasks) = place(&mut world, lasting());
        cut(&mut world, &worker, true);
        let began = world.now;
        world.owner().followed = Some(began);
        world.run(5_000);
        world.owner().awake = false;
        world.take_over_since(began);
        cut(&mut world, &worker, true);
        world.run(500);
        follow(&mut world, &worker, false);
        started_again(&mut world, &tasks);
    }
);

case!(
    /// An owner is followed by another one, which ends; the store finds the cell vacant and gives it to the first
    /// one's host again, which begins anew and meets a worker. The last one's host saw the second one begin.
    a_lease_of_a_host_that_owns_the_cell_again_is_waited_for_in_whole,
    world,
    {
        (world.seen, world.renews) = (true, 0);
        let (worker, tasks) = place(&mut world, lasting());
        follow(&mut world, &worker, false);
        world.run(4_000);
        follow(&mut world, &worker, true);
        world.run(200);
        follow(&mut world, &worker, false);
        started_again(&mut world, &tasks);
    }
);

case!(a_worker_that_is_met_again_goes_on, world, {
    let (worker, tasks) = place(&mut world, lasting());
    cut(&mut world, &worker, true);
    world.run(6_000);
    cut(&mut world, &worker, false);
    goes_on(&mut world, &worker, &tasks);
});

case!(a_worker_that_the_next_owner_meets_goes_on, world, {
    let (worker, tasks) = place(&mut world, lasting());
    cut(&mut world, &worker, true);
    world.run(6_000);
    follow(&mut world, &worker, true);
    goes_on(&mut world, &worker, &tasks);
});

case!(
    /// The log is back before the lease is over.
    a_worker_that_is_met_again_goes_on_once_the_log_is_back,
    world,
    {
        let (worker, tasks) = place(&mut world, lasting());
        cut(&mut world, &worker, true);
        world.run(4_000);
        world.owner().logged = false;
        cut(&mut world, &worker, false);
        world.run(4_000);
        world.owner().logged = true;
        goes_on(&mut world, &worker, &tasks);
    }
);

/// Lets owners follow one another, with nobody there for as long as each of them is; how long tasks have waited.
fn wait_with_gaps(world: &mut World, tasks: &[TaskId]) -> u64 {
    let crashed = world.now;
    let mut change = crashed + TERM;
    while !at_work(world, tasks) {
        assert!(world.now < crashed + 60_000, "the tasks never start again");
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
    /// The first owner after the crash is the last one of which only the log tells.
    a_host_that_saw_an_earlier_owner_begin_counts_from_then,
    world,
    {
        (world.seen, world.renews) = (true, 0);
        let tasks = lose(&mut world, lasting());
        let waited = wait_with_gaps(&mut world, &tasks);
        // From when hosts saw an owner begin that gave no lease; at its end nobody may be there for a while.
        let most = LEASE + MARGIN + BEGIN + (TERM + TERM / 2) + TERM / 2;
        assert!(waited <= most, "{waited} ms, at most {most} ms");
    }
);

case!(
    /// Owners follow that end before they have read the log, then one that ends soon, and another one.
    what_owners_between_can_not_have_given_is_not_waited_for,
    world,
    {
        const KNOWN: u64 = 1_000;
        (world.seen, world.renews) = (true, 0);
        let tasks = lose(&mut world, lasting());
        let crashed = world.now;
        world.owner().awake = false;
        for _ in 0..4 {
            world.run(KNOWN);
            world.pass_by();
        }
        world.take_over();
        world.run(TOLD_EVERY);
        world.owner().awake = false;
        world.run(TERM);
        world.take_over();
        while !at_work(&world, &tasks) {
            world.run(STEP);
            assert!(world.now < crashed + 60_000, "the tasks never start again");
        }
        let (waited, most) = (world.now - crashed, KNOWN + LEASE + MARGIN + BEGIN);
        assert!(waited <= most, "{waited} ms, at most {most} ms");
    }
);

case!(
    /// An owner between gave leases, so the sight of the one before it says nothing.
    a_host_that_saw_an_owner_begin_whose_successor_met_the_worker_waits_in_whole,
    world,
    {
        (world.seen, world.renews) = (true, 0);
        let (worker, tasks) = place(&mut world, lasting());
        follow(&mut world, &worker, false);
        world.run(6_000);
        follow(&mut world, &worker, true);
        world.run(2_000);
        follow(&mut world, &worker, false);
        started_again(&mut world, &tasks);
    }
);
