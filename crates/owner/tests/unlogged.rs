//! Ends of runs that an owner received while the log was unavailable, and that were lost with it.
//!
//! Fault: a worker leaves in good order, and its owner stops before it could log the ends of its runs. The next owner
//! can't ask the worker again, so its tasks wait until its leases are over.

mod common;

use std::sync::Arc;

use common::{World, case, job, step};
use myrtle_base::Room;
use myrtle_job::{JobId, State, StepSpec, TaskId};

/// The time within which a task starts again once its run is known to be over, in milliseconds.
const START_LIMIT: u64 = 300;

/// A step of one long-running task.
fn long_running() -> StepSpec {
    StepSpec { long_running: true, ..step(1) }
}

/// Starts a step; its job, one of its tasks, and the worker that runs it.
fn start(world: &mut World, spec: StepSpec) -> (JobId, TaskId, Arc<str>) {
    let id = world.submit(job(vec![spec]));
    world.run(500);
    let (worker_id, worker) = world.workers.iter().find(|(_, w)| w.count() > 0).unwrap();
    (id, worker.tasks()[0], worker_id.clone())
}

/// Lets a worker end its runs and leave, and another owner read the log after that.
fn lose_ends(world: &mut World, worker: &Arc<str>) {
    world.run(400);
    world.vanish(worker);
    world.succeed();
    world.run(100);
}

/// Whether a worker runs a task.
fn is_running(world: &World, task: TaskId) -> bool {
    world.workers.values().any(|w| w.runs(task))
}

case!(ends_of_runs_on_a_leaving_worker_reach_the_next_owner, world, {
    let (_, task, worker) = start(&mut world, long_running());
    world.owner().logged = false;
    let listing = &mut world.workers.get_mut(&worker).unwrap().listing;
    (listing.draining, listing.remaining_ms) = (true, Some(1_000));
    lose_ends(&mut world, &worker);
    assert!(!is_running(&world, task), "the next owner has not received the end yet");
    world.pass_on(0);
    world.run(START_LIMIT);
    assert!(is_running(&world, task));
    world.run(12_000);
});

case!(the_next_owner_does_not_restart_completed_tasks, world, {
    let (id, task, worker) = start(&mut world, StepSpec { estimate_ms: 600, ..step(1) });
    world.owner().logged = false;
    lose_ends(&mut world, &worker);
    world.pass_on(0);
    world.run(START_LIMIT);
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
    assert_eq!(world.judge.starts[&task], 1);
});

case!(ends_that_the_next_owner_can_not_log_either_reach_its_successor, world, {
    let (_, task, worker) = start(&mut world, long_running());
    world.owner().logged = false;
    let listing = &mut world.workers.get_mut(&worker).unwrap().listing;
    (listing.draining, listing.remaining_ms) = (true, Some(1_000));
    lose_ends(&mut world, &worker);
    world.owner().logged = false;
    world.pass_on(0);
    world.run(100);
    world.succeed();
    world.pass_on(1);
    world.run(START_LIMIT);
    assert!(is_running(&world, task));
    world.run(12_000);
});

case!(the_end_of_a_run_does_not_stop_a_later_run, world, {
    let (_, task, worker) = start(&mut world, long_running());
    world.owner().logged = false;
    let listing = &mut world.workers.get_mut(&worker).unwrap().listing;
    (listing.draining, listing.remaining_ms) = (true, Some(1_000));
    lose_ends(&mut world, &worker);
    world.pass_on(0);
    world.run(START_LIMIT);
    world.pass_on(0);
    world.run(START_LIMIT);
    assert!(is_running(&world, task));
    assert_eq!(world.judge.starts[&task], 2);
});

case!(logged_ends_are_not_passed_on, world, {
    let (id, ..) = start(&mut world, StepSpec { estimate_ms: 600, ..step(1) });
    world.run(1_000);
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
    assert!(world.owner().cell.unlogged().is_empty());
});

case!(
    /// The next owner receives a gang's failure from its predecessor, and again from the worker once it reaches that.
    an_end_that_is_reported_twice_stops_no_later_run_of_its_gang,
    world,
    {
        let room = Room { cpu: 20_000, mem: 1_000, accel: 0 };
        let gang = StepSpec { gang: true, room, estimate_ms: 60_000, ..step(2) };
        let (_, task, worker) = start(&mut world, gang);
        world.owner().logged = false;
        world.workers.get_mut(&worker).unwrap().failing = true;
        world.run(400);
        world.workers.get_mut(&worker).unwrap().failing = false;
        world.succeed();
        world.cut(1, &worker, true);
        world.run(200);
        world.pass_on(0);
        world.run(3_000);
        assert_eq!(world.judge.starts[&task], 2, "the gang has started again");
        world.cut(1, &worker, false);
        world.run(3_000);
        assert_eq!(world.judge.starts[&task], 2, "the gang runs on");
    }
);
