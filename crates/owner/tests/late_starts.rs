//! Starts without reply that the next incarnation of a worker carries out, seconds after their tasks have ended.
//!
//! Fault: a task ran again after its end was recorded, or beside its next run. A start got no reply, was sent again
//! and answered; the task completed, the worker restarted, and the first start reached the next process. The stop
//! that prevents it there was given once at most: not when that process answered before the earlier one was known to
//! have ended, not when the worker had been forgotten meanwhile, and never again after it got no reply.

mod common;

use std::sync::Arc;

use common::{Faults, World, case, job, listing, step};
use myrtle_job::{
    Incarnation, JobId, Listing, OrderReply, Replacement, Running, State, StepSpec, TaskId,
    WorkerRuns,
};
use myrtle_owner::{Order, Outcome};

/// How long a worker takes to restart, in milliseconds.
const RESTART: u64 = 200;

/// The longest that a start is delayed in these tests, in milliseconds.
const MAX_DELAY: u64 = 12_000;

/// Faults under which only late orders exist that are still under way.
const OUTLIVE: Faults = Faults { unanswered: 0.0, late: 0.0, queued: 0.0, outlive: true };

/// Runs tasks whose first starts are delayed; they are sent again, answered, and completed within 1.5 s.
fn complete_with_late_starts(world: &mut World) {
    world.faults = Faults { late: 1.0, ..OUTLIVE };
    let short = StepSpec { estimate_ms: 300, ..step(8) };
    let jobs: Vec<JobId> = (0..4).map(|_| world.submit(job(vec![short.clone()]))).collect();
    world.run(100);
    world.faults = OUTLIVE;
    world.run(1_400);
    let cell = &world.owner().cell;
    let states: Vec<_> = jobs.iter().map(|id| cell.state(*id)).collect();
    assert_eq!(states, vec![Some(State::Completed); 4]);
}

/// Restarts all workers under their ids.
fn restart_all(world: &mut World) {
    let ids: Vec<Arc<str>> = world.workers.keys().cloned().collect();
    ids.iter().for_each(|id| world.restart(id, RESTART));
}

// Guards against a process that answers before its predecessor is known to have ended: its clock was set back, so the
// list shows the later start for the earlier one.
case!(starts_are_stopped_at_a_process_with_an_earlier_start, world, {
    complete_with_late_starts(&mut world);
    world.set_back = 30_000;
    restart_all(&mut world);
    world.run(MAX_DELAY);
});

// Guards against a stop that is lost on its way to the next process and not sent again.
case!(stops_are_sent_again_until_the_next_process_replies, world, {
    complete_with_late_starts(&mut world);
    world.faults = Faults { late: 1.0, ..OUTLIVE };
    restart_all(&mut world);
    world.run(RESTART + 100);
    world.faults = OUTLIVE;
    world.run(MAX_DELAY);
});

// Guards against starts that are stopped at the next process and forgotten at those after it.
case!(starts_are_stopped_at_each_process_of_a_row, world, {
    complete_with_late_starts(&mut world);
    for round in 0..6 {
        world.set_back = round % 2 * 30_000;
        restart_all(&mut world);
        world.run(RESTART + 300);
    }
    world.run(MAX_DELAY);
});

/// The stops among the orders that a cell gives now.
fn stops(world: &mut World) -> Vec<(Incarnation, TaskId, u32)> {
    let stop = |order| match order {
        Order::Stop { worker, task, run } => Some((worker, task, run)),
        _ => None,
    };
    world.owner().cell.orders().into_iter().filter_map(stop).collect()
}

/// Has a cell start a task, and returns it with its worker; the start waits at the host.
fn start_one(world: &mut World) -> (TaskId, Incarnation) {
    world.run(500);
    world.faults.queued = 1.0;
    let id = world.submit(job(vec![step(1)]));
    world.run(50);
    let task = TaskId { job: id, round: 0, step: 0, index: 0 };
    let workers = &world.owner().cell.workers;
    let worker = workers.iter().find(|(_, w)| w.active_runs.contains_key(&task)).unwrap().0;
    (task, worker.clone())
}

/// The entry of a worker that started at another time.
fn entry(world: &World, worker: &Incarnation) -> Listing {
    let old = &world.workers[worker.id()].listing;
    let started_at = worker.start();
    Listing { started_at, offset: old.offset + 1, ..listing(old.address.port() - 1_000) }
}

// Guards against a worker that is forgotten, with the starts that it did not reply to, and comes back.
case!(starts_are_stopped_at_a_worker_that_was_forgotten, world, {
    let (task, worker) = start_one(&mut world);
    let now = world.now;
    let next = worker.with_start(worker.start() + 5_000);
    let entry = entry(&world, &next);
    let cell = &mut world.owner().cell;
    cell.start_replied(&worker, task, 1, Outcome::Unknown, now);
    cell.replaced(&worker, Replacement::Other, now);
    cell.expire(now);
    assert!(!cell.has_worker(worker.id()));
    cell.apply_listing(worker.id(), entry, now + 1_000);
    assert_eq!(stops(&mut world), vec![(next, task, 1)]);
});

// Guards against a start of which it is known only after the restart that it got no reply.
case!(starts_are_stopped_that_fail_after_the_restart, world, {
    let (task, worker) = start_one(&mut world);
    let now = world.now;
    let next = worker.with_start(worker.start() + 5_000);
    let running =
        vec![Running { task, run: 1, checkpoint: String::new(), percent: 50.0, metric: None }];
    let report = |running| WorkerRuns {
        started_at: worker.start(),
        clock_ms: now,
        running,
        ended: Vec::new(),
    };
    let cell = &mut world.owner().cell;
    cell.renewed(&worker, report(running), now - 1, now, now);
    cell.renewed(&worker, report(Vec::new()), now + 10, now + 10, now);
    cell.replaced(&worker, Replacement::Restarted(next.start()), now + 20);
    assert_eq!(stops(&mut world), vec![]);
    world.owner().cell.start_replied(&worker, task, 1, Outcome::Unknown, now + 30);
    assert_eq!(stops(&mut world), vec![(next, task, 1)]);
});

// Guards against stops that go on for ever, or to the process that has the run.
case!(stops_end_with_a_reply_or_with_the_start, world, {
    let (task, worker) = start_one(&mut world);
    let now = world.now;
    let [second, third] = [5_000, 6_000].map(|later| worker.with_start(worker.start() + later));
    let cell = &mut world.owner().cell;
    cell.start_replied(&worker, task, 1, Outcome::Unknown, now);
    let starts = cell.resend(now + 10_000);
    assert!(starts.iter().all(|order| matches!(order, Order::Start { .. })), "{starts:?}");
    assert_eq!(stops(&mut world), vec![]);

    let cell = &mut world.owner().cell;
    cell.replaced(&worker, Replacement::Restarted(second.start()), now + 10_000);
    cell.stop_replied(&second, task, 1, Outcome::Replied(OrderReply::Done), now + 10_010);
    cell.replaced(&second, Replacement::Restarted(third.start()), now + 10_020);
    assert_eq!(stops(&mut world), vec![(second, task, 1), (third.clone(), task, 1)]);

    world.owner().cell.replaced(&third, Replacement::Restarted(third.start() + 1), now + 60_000);
    assert_eq!(stops(&mut world), vec![]);
});
