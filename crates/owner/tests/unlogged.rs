//! Ends that an owner heard while the log was away, and that were lost with it.
//!
//! A worker left in good order, so nobody could ask it again, and its tasks waited for its leases:
//!
//! ```text
//! 12.24 event=run-ended worker=GONE how=stopped
//! 12.26 event=owner-stops reason="another host has followed while the store was out of reach"
//! 30.29 event=run-lost worker=GONE stage=Inherited
//! ```

mod common;

use std::sync::Arc;

use common::{World, case, job, step};
use myrtle_base::Room;
use myrtle_job::{JobId, State, StepSpec, TaskId};

/// The time until tasks are at work again whose runs are known to be over, in milliseconds.
const BEGIN: u64 = 300;

/// A task that goes on until it is cancelled.
fn lasting() -> StepSpec {
    StepSpec { lasting: true, ..step(1) }
}

/// Runs a step of one task; where it is.
fn begin(world: &mut World, spec: StepSpec) -> (JobId, TaskId, Arc<str>) {
    let id = world.submit(job(vec![spec]));
    world.run(500);
    let (name, worker) = world.workers.iter().find(|(_, w)| w.count() > 0).unwrap();
    (id, worker.tasks()[0], name.clone())
}

/// The log is away while a worker ends what it runs and goes; another owner reads the log then.
fn lose(world: &mut World, worker: &Arc<str>) {
    world.run(400);
    world.vanish(worker);
    world.succeed();
    world.run(100);
}

/// Whether a task is at work.
fn at_work(world: &World, task: TaskId) -> bool {
    world.workers.values().any(|w| w.runs(task))
}

case!(what_a_leaving_worker_has_stopped_is_known_to_the_next_owner, world, {
    let (_, task, worker) = begin(&mut world, lasting());
    world.owner().logged = false;
    let listing = &mut world.workers.get_mut(&worker).unwrap().listing;
    (listing.draining, listing.remaining) = (true, Some(1_000));
    lose(&mut world, &worker);
    assert!(!at_work(&world, task), "the next owner has not been told yet");
    world.pass_on(0);
    world.run(BEGIN);
    assert!(at_work(&world, task));
    world.run(12_000);
});

case!(what_is_done_is_not_started_again_by_the_next_owner, world, {
    let (id, task, worker) = begin(&mut world, StepSpec { estimate: 600, ..step(1) });
    world.owner().logged = false;
    lose(&mut world, &worker);
    world.pass_on(0);
    world.run(BEGIN);
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
    assert_eq!(world.judge.starts[&task], 1);
});

case!(ends_that_the_next_owner_can_not_log_either_go_on_to_the_one_after, world, {
    let (_, task, worker) = begin(&mut world, lasting());
    world.owner().logged = false;
    let listing = &mut world.workers.get_mut(&worker).unwrap().listing;
    (listing.draining, listing.remaining) = (true, Some(1_000));
    lose(&mut world, &worker);
    world.owner().logged = false;
    world.pass_on(0);
    world.run(100);
    world.succeed();
    world.pass_on(1);
    world.run(BEGIN);
    assert!(at_work(&world, task));
    world.run(12_000);
});

case!(an_end_of_a_run_that_has_been_followed_by_another_says_nothing, world, {
    let (_, task, worker) = begin(&mut world, lasting());
    world.owner().logged = false;
    let listing = &mut world.workers.get_mut(&worker).unwrap().listing;
    (listing.draining, listing.remaining) = (true, Some(1_000));
    lose(&mut world, &worker);
    world.pass_on(0);
    world.run(BEGIN);
    world.pass_on(0);
    world.run(BEGIN);
    assert!(at_work(&world, task));
    assert_eq!(world.judge.starts[&task], 2);
});

case!(what_the_log_has_taken_is_not_told, world, {
    let (id, ..) = begin(&mut world, StepSpec { estimate: 600, ..step(1) });
    world.run(1_000);
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
    assert!(world.owner().cell.unlogged().is_empty());
});

case!(
    /// The worker on which a gang has failed is met after the next owner was told of it, and tells it again.
    an_end_that_is_told_twice_stops_no_later_run_of_its_gang,
    world,
    {
        let room = Room { cpu: 20_000, mem: 1_000, accel: 0 };
        let gang = StepSpec { gang: true, room, estimate: 60_000, ..step(2) };
        let (_, task, worker) = begin(&mut world, gang);
        world.owner().logged = false;
        world.workers.get_mut(&worker).unwrap().failing = true;
        world.run(400);
        world.workers.get_mut(&worker).unwrap().failing = false;
        world.succeed();
        world.cut(1, &worker, true);
        world.run(200);
        world.pass_on(0);
        world.run(3_000);
        assert_eq!(world.judge.starts[&task], 2, "the gang has begun again");
        world.cut(1, &worker, false);
        world.run(3_000);
        assert_eq!(world.judge.starts[&task], 2, "and goes on");
    }
);
