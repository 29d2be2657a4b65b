//! A job is not given up because workers were lost on which none of its tasks has begun.
//!
//! Guards against a start that its worker never carried out but that counts as a crash under the task: three such
//! losses end the job as failed, though nothing of it was ever started.

mod common;

use std::sync::Arc;

use common::find::first_task;
use common::{World, job, step};
use myrtle_job::{JobId, State, TaskId};
use myrtle_owner::{Outcome, Stage};

/// The number of losses after which a job is given up today.
const LOSSES: usize = 3;

/// How long a worker is down, in milliseconds.
const DOWNTIME: u64 = 100;

/// The longest wait for the next assignment, in milliseconds.
const LIMIT: u64 = 20_000;

/// A world of twelve workers with one job of one task.
fn world() -> (World, JobId, TaskId) {
    let mut world = World::new(7, 12);
    world.run(2_000);
    let id = world.submit(job(vec![step(1)]));
    (world, id, first_task(id))
}

/// Checks that the task has not begun yet, and that its job completes.
fn check(mut world: World, id: JobId) {
    assert_eq!(world.judge.starts.get(&first_task(id)), None, "the task has not begun");
    world.faults.queued = 0.0;
    world.workers.values_mut().for_each(|w| w.no_starts = None);
    world.run(10_000);
    let cell = &world.owner().cell;
    assert_eq!(cell.state(id), Some(State::Completed), "{:?}", cell.jobs[&id].progress.crashes);
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

/// The number of a task's newest run; 0 once its job is over.
fn last_run(world: &mut World, task: TaskId) -> u32 {
    let progress = &world.owner().cell.jobs[&task.job].progress;
    progress.task(task).filter(|_| !progress.state.over()).map_or(0, |t| t.last_run)
}

/// Runs until the start of a task is on its way to a worker.
fn run_until_sent(world: &mut World, task: TaskId) -> Arc<str> {
    let sent = |world: &mut World| {
        let (worker, stage) = world.assigned(task)?;
        (stage == Stage::Sent).then_some(worker)
    };
    world.run_until(LIMIT, sent).expect("the start is sent")
}

#[test]
fn starts_that_were_still_at_their_host_when_the_worker_restarted() {
    let (mut world, id, task) = world();
    world.faults.queued = 1.0;
    for _ in 0..LOSSES {
        let worker = run_until_sent(&mut world, task);
        world.restart(&worker, DOWNTIME);
        world.run(2 * DOWNTIME);
    }
    check(world, id);
}

#[test]
fn starts_that_were_answered_by_the_next_incarnation() {
    let (mut world, id, task) = world();
    for _ in 0..LOSSES {
        // The record of the run waits for the log while the worker restarts.
        world.owner().logged = false;
        let written = |world: &mut World| {
            let (worker, stage) = world.assigned(task)?;
            (stage == Stage::Written).then_some(worker)
        };
        let worker = world.run_until(LIMIT, written).expect("the run is planned");
        // A lease renewal every 80 ms would report the restart first.
        while !world.now.is_multiple_of(80) {
            world.run(10);
        }
        world.restart(&worker, 0);
        world.owner().logged = true;
        let sent = |world: &mut World| {
            let assigned = world.assigned(task);
            assigned.is_none_or(|(_, stage)| stage != Stage::Written).then_some(())
        };
        world.run_until(DOWNTIME, sent).expect("the start is sent");
    }
    check(world, id);
}

#[test]
fn starts_that_got_no_reply_from_workers_that_were_cut_off_before() {
    let (mut world, id, task) = world();
    for _ in 0..LOSSES {
        let cut_off = |world: &mut World| {
            world.workers.values_mut().for_each(|w| w.no_starts = Some(Outcome::Unknown));
            let (worker, stage) = world.assigned(task)?;
            (stage == Stage::Unanswered).then_some(worker)
        };
        let worker = world.run_until(LIMIT, cut_off).expect("the start got no reply");
        world.restart(&worker, DOWNTIME);
        let run = last_run(&mut world, task);
        let lost = |world: &mut World| {
            world.workers.values_mut().for_each(|w| w.no_starts = Some(Outcome::Unknown));
            (last_run(world, task) != run).then_some(())
        };
        world.run_until(LIMIT, lost).expect("the run is lost");
    }
    check(world, id);
}
