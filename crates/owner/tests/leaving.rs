//! Workers whose entries disappear: announced, unannounced, or because the store was unavailable.

mod common;

use common::{World, case, job, step};
use myrtle_job::StepSpec;

/// Eight long-running tasks, one of which may be unavailable.
fn long_running() -> StepSpec {
    StepSpec { long_running: true, disruption_budget: Some(1), ..step(8) }
}

/// The worker with the most runs.
fn fullest(world: &World) -> std::sync::Arc<str> {
    world.workers.iter().max_by_key(|(_, w)| w.count()).unwrap().0.clone()
}

/// Runs for some milliseconds and returns the lowest number of active runs.
fn least(world: &mut World, millis: u64) -> usize {
    let mut least = usize::MAX;
    for _ in 0..millis / 10 {
        world.run(10);
        least = least.min(world.workers.values().map(|w| w.count()).sum());
    }
    least
}

case!(a_worker_that_leaves_unannounced_loses_its_tasks_one_by_one, world, {
    world.run(4_000);
    world.submit(job(vec![long_running()]));
    world.run(1_000);
    let leaving = fullest(&world);
    world.workers.get_mut(&leaving).unwrap().listed = false;
    let least = least(&mut world, 6_000);
    assert!(least >= 7, "{least} of 8 were running");
    assert_eq!(world.workers[&leaving].count(), 0);
});

case!(an_entry_that_expired_while_the_store_was_unavailable_moves_no_task, world, {
    world.run(4_000);
    world.submit(job(vec![long_running()]));
    world.run(1_000);
    let expired = fullest(&world);
    let before = world.workers[&expired].count();
    world.owner().logged = false;
    world.workers.get_mut(&expired).unwrap().listed = false;
    world.run(4_000);
    world.owner().logged = true;
    world.run(1_900);
    world.workers.get_mut(&expired).unwrap().listed = true;
    world.run(3_000);
    assert_eq!(world.workers[&expired].count(), before);
    assert_eq!(world.owner().cell.counts.moved, 0);
});

case!(a_worker_whose_entry_is_still_missing_after_that_is_leaving, world, {
    world.run(4_000);
    world.submit(job(vec![long_running()]));
    world.run(1_000);
    let gone = fullest(&world);
    world.owner().logged = false;
    world.workers.get_mut(&gone).unwrap().listed = false;
    world.run(2_000);
    world.owner().logged = true;
    world.run(9_000);
    assert_eq!(world.workers[&gone].count(), 0);
});

case!(a_worker_without_an_entry_gets_no_new_runs_and_its_runs_go_on, world, {
    let mut slow = step(8);
    slow.estimate_ms = 20_000;
    let id = world.submit(job(vec![slow]));
    world.run(500);
    let gone = fullest(&world);
    let before = (world.workers[&gone].count(), world.workers[&gone].ever);
    world.workers.get_mut(&gone).unwrap().listed = false;
    world.submit(job(vec![step(20)]));
    world.run(5_000);
    assert_eq!((world.workers[&gone].count(), world.workers[&gone].ever), before);
    assert!(world.finish(30_000));
    assert!(world.judge.starts.iter().all(|(task, n)| task.job != id || *n == 1));
});

case!(a_drain_that_takes_longer_than_announced_starts_no_task_twice, world, {
    let mut slow = step(8);
    slow.estimate_ms = 9_000;
    world.submit(job(vec![slow]));
    world.run(500);
    let leaving = fullest(&world);
    let worker = world.workers.get_mut(&leaving).unwrap();
    worker.listing.draining = true;
    worker.listing.remaining_ms = Some(2_000);
    world.run(4_000);
    world.workers.get_mut(&leaving).unwrap().listed = false;
    assert!(world.finish(30_000));
    assert!(world.judge.starts.values().all(|n| *n == 1), "{:?}", world.judge.starts);
});

/// The longest time that the platform allows from a cancellation's answer to the end of the last run, in milliseconds.
const STOPPED_WITHIN: u64 = 3_900;

/// How long a cell has no owner after the host of its owner is gone, in milliseconds.
const WITHOUT_OWNER: u64 = 2_000;

/// Ends the owner for good and starts its successor.
fn succeed(world: &mut World) {
    world.owner().awake = false;
    world.run(WITHOUT_OWNER);
    world.take_over();
}

// Guards against tasks of a cancelled job that go on for seconds after the answer, and long-running tasks that all end
// with their leases where one may be unavailable. It happens if a worker's entry disappears while it still serves, and
// a successor reads its runs from the log but finds its address only in the list: it can neither renew leases nor stop
// runs there until all leases have expired. So the log holds the address of each worker that got work.
case!(a_successor_stops_a_cancelled_job_on_a_worker_without_an_entry, world, {
    let mut slow = step(8);
    slow.estimate_ms = 60_000;
    let id = world.submit(job(vec![slow]));
    world.run(500);
    let leaving = fullest(&world);
    world.workers.get_mut(&leaving).unwrap().listed = false;
    succeed(&mut world);
    world.run(500);
    world.cancel(id);
    world.run(STOPPED_WITHIN);
    assert_eq!(world.workers[&leaving].count(), 0);
});

// As above, but the owner that ends has answered the cancellation, and its stops were lost.
case!(a_successor_repeats_lost_stops_on_a_worker_without_an_entry, world, {
    let mut slow = step(8);
    slow.estimate_ms = 60_000;
    let id = world.submit(job(vec![slow]));
    world.run(500);
    let leaving = fullest(&world);
    world.workers.get_mut(&leaving).unwrap().listed = false;
    let last = world.owners.len() - 1;
    world.cut(last, &leaving, true);
    world.cancel(id);
    world.run(100);
    succeed(&mut world);
    world.run(STOPPED_WITHIN - WITHOUT_OWNER - 100);
    assert_eq!(world.workers[&leaving].count(), 0);
});

// As above, with long-running tasks and without a cancellation.
case!(a_successor_moves_tasks_off_a_worker_without_an_entry_one_by_one, world, {
    world.submit(job(vec![long_running()]));
    world.run(1_000);
    let leaving = fullest(&world);
    world.workers.get_mut(&leaving).unwrap().listed = false;
    succeed(&mut world);
    let least = least(&mut world, 12_000);
    assert!(least >= 7, "{least} of 8 were running");
    assert_eq!(world.workers[&leaving].count(), 0);
});

case!(the_log_holds_no_record_of_a_worker_that_is_gone, world, {
    world.submit(job(vec![long_running()]));
    world.run(1_000);
    let gone = fullest(&world);
    let incarnation = world.life(&gone);
    assert!(world.traces.contains_key(&incarnation));
    world.workers.get_mut(&gone).unwrap().crash(&mut world.judge);
    succeed(&mut world);
    world.run(500);
    assert!(!world.traces.contains_key(&incarnation));
    let logged = |(id, w): (&std::sync::Arc<str>, &common::FakeWorker)| {
        w.count() == 0 || world.traces.contains_key(&world.life(id))
    };
    assert!(world.workers.iter().all(logged));
});

case!(a_start_for_a_silent_worker_is_withdrawn_once_it_leaves, world, {
    world.run(500);
    let names: Vec<_> = world.workers.keys().cloned().collect();
    let id = world.submit(job(vec![step(8)]));
    names.iter().for_each(|name| world.cut(0, name, true));
    world.run(300);
    for name in &names {
        world.workers.get_mut(name).unwrap().listing.draining = true;
    }
    world.run(4_000);
    names.iter().for_each(|name| world.cut(0, name, false));
    world.run(1_000);
    assert!(world.workers.values().all(|w| w.ever == 0), "a run began on a leaving worker");
    world.add_worker("fresh", 9);
    world.run(4_000);
    assert!(world.owner().cell.state(id).is_some_and(|state| state.over()));
});
