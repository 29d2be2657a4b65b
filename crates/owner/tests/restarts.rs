//! Workers that restart under the same id: they have no runs of the previous incarnation, and their clocks and the
//! sequence numbers of their ended runs start again.
//!
//! Fault: completed tasks ran again, and tasks were started after as many failures as their queue allows. Seventeen
//! workers lost power together and were back under their ids within a second. Their owner contacted them, found
//! nothing running, and logged no change of incarnation:
//!
//! ```text
//! 5.001 event=worker-silent worker=W runs=8
//! 5.765 event=worker-met worker=W running=0 silent_ms=875
//! 7.372 event=run-absent task=J.0.1.7 run=2 worker=W stage=Up at=17347
//! ```
//!
//! The last run had completed at 7.06, without a `run-ended`. The owner kept its state of a worker by id alone. The
//! next incarnation numbered its ended runs from 1, so the owner took them for ones received before and had the worker
//! delete them; leases were computed by the previous clock, 16.6 s where 10 s are the maximum. The state of a worker
//! is therefore kept per incarnation, by id and start.

mod common;

use std::sync::Arc;

use common::jobs::ended;
use common::{Faults, World, job, step};
use myrtle_job::{EndReason, JobId, State, StepSpec, TaskId, WorkerRuns};
use myrtle_owner::UncertainRuns;

/// How long a worker takes to restart, in milliseconds.
const RESTART: u64 = 600;

/// The longest that a job with a ready task may have no run, in milliseconds; a limit of the platform.
const MAX_IDLE: u64 = 3_000;

/// How long workers run before the fault, in milliseconds: each has reported some twenty ended runs.
const WARM_UP: u64 = 6_000;

/// Declares a test in a world of four workers that have already run tasks.
macro_rules! case {
    ($(#[$doc:meta])* $name:ident, $world:ident, $body:block) => {
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut $world = World::new(7, 4);
            submit_jobs(&mut $world, WARM_UP);
            $body
            assert_eq!($world.judge.broken, Vec::<String>::new());
        }
    };
}

/// Submits five jobs of two steps a second for a time in milliseconds; returns their ids.
fn submit_jobs(world: &mut World, millis: u64) -> Vec<JobId> {
    let submit = |world: &mut World| {
        let second = StepSpec { after: vec![0], estimate_ms: 300, ..step(2) };
        let id = world.submit(job(vec![StepSpec { estimate_ms: 500, ..step(4) }, second]));
        world.run(200);
        id
    };
    (0..millis / 200).map(|_| submit(world)).collect()
}

/// Restarts all workers under their ids.
fn restart_all(world: &mut World) {
    let ids: Vec<Arc<str>> = world.workers.keys().cloned().collect();
    ids.iter().for_each(|id| world.restart(id, RESTART));
}

/// Asserts that jobs complete within 15 s.
fn assert_completed(world: &mut World, jobs: &[JobId]) {
    world.run(15_000);
    let cell = &world.owner().cell;
    let states: Vec<_> = jobs.iter().map(|id| cell.state(*id)).collect();
    assert_eq!(states, vec![Some(State::Completed); jobs.len()]);
}

case!(tasks_completed_on_a_restarted_worker_do_not_run_again, world, {
    restart_all(&mut world);
    let jobs = submit_jobs(&mut world, 4_000);
    assert_completed(&mut world, &jobs);
});

case!(failures_on_a_restarted_worker_are_counted, world, {
    restart_all(&mut world);
    world.run(RESTART + 100);
    world.workers.values_mut().for_each(|w| w.failing = true);
    let id = world.submit(job(vec![step(1)]));
    world.run(8_000);
    assert_eq!(world.owner().cell.state(id), Some(State::Failed));
    assert_eq!(world.judge.overspent(), vec![]);
});

case!(no_lease_is_computed_by_the_previous_clock, world, {
    restart_all(&mut world);
    submit_jobs(&mut world, 2_000);
    assert!(world.judge.overlong.is_empty(), "{:?}", world.judge.overlong);
});

case!(a_step_starts_once_its_predecessors_are_completed, world, {
    restart_all(&mut world);
    world.run(RESTART + 100);
    let (first, second) = (StepSpec { estimate_ms: 4_000, ..step(4) }, step(2));
    let id = world.submit(job(vec![first, StepSpec { after: vec![0], ..second }]));
    let task = |step, index| TaskId { job: id, round: 0, step, index };
    let start = world.now;
    while world.now < start + 10_000 && !(0..4).all(|index| world.judge.ended_well(task(0, index)))
    {
        world.run(10);
    }
    world.run(MAX_IDLE);
    assert!(world.judge.starts.contains_key(&task(1, 0)), "the second step did not start");
});

// Fault: starts that the platform delays are executed by the next incarnation, which has not received the stops sent
// to the previous one.
case!(delayed_starts_are_stopped_at_the_next_incarnation, world, {
    world.faults = Faults { late: 1.0, outlive: true, ..Faults::default() };
    let jobs: Vec<JobId> = (0..4).map(|_| world.submit(job(vec![step(4)]))).collect();
    world.run(300);
    world.faults = Faults { outlive: true, ..Faults::default() };
    restart_all(&mut world);
    assert_completed(&mut world, &jobs);
});

// Fault: the list still shows the previous incarnation, whose clock was ahead. If the owner took it for a newer one,
// it would end the current one, whose tasks would run twice.
case!(a_stale_entry_with_a_later_start_does_not_end_the_current_incarnation, world, {
    world.set_back = 30_000;
    let long = StepSpec { estimate_ms: 4_000, ..step(8) };
    for id in world.workers.keys().cloned().collect::<Vec<_>>() {
        let old = world.workers[&id].listing.clone();
        world.restart(&id, RESTART);
        world.run(RESTART + 1_000);
        world.submit(job(vec![long.clone()]));
        world.run(500);
        world.stale.insert(id, (world.now + 1_000, old));
        world.run(1_500);
    }
    assert!(world.finish(20_000));
});

case!(tasks_of_an_unreachable_restarted_worker_move_at_once, world, {
    world.run(5_000);
    let id = world.submit(job(vec![StepSpec { estimate_ms: 3_000, ..step(1) }]));
    world.run(200);
    let busy = world.workers.iter().find(|(_, w)| w.count() > 0).unwrap().0.clone();
    world.cut(0, &busy, true);
    world.restart(&busy, RESTART);
    world.run(RESTART + 3_000 + 1_000);
    assert_eq!(
        world.owner().cell.state(id),
        Some(State::Completed),
        "the task waited for the end of the lease"
    );
});

case!(a_reply_of_another_incarnation_ends_no_run_of_this_one, world, {
    let id = world.submit(job(vec![StepSpec { estimate_ms: 3_000, ..step(1) }]));
    world.run(200);
    let task = TaskId { job: id, round: 0, step: 0, index: 0 };
    let busy = world.workers.iter().find(|(_, w)| w.runs(task)).unwrap().0.clone();
    let (now, incarnation) = (world.now, world.life(&busy));
    let seq = world.owner().cell.workers[&incarnation].received_ends + 1;
    let start = incarnation.start() + 1_000;
    let ended = vec![ended(seq, task, 1, EndReason::Failed)];
    let held = WorkerRuns { started_at: start, clock_ms: 5, running: vec![], ended };
    let cell = &mut world.owner().cell;
    cell.renewed(&incarnation, held, now - 1, now, now);
    assert!(cell.jobs[&id].progress.task(task).unwrap().failed_runs.is_empty());
    assert!(!cell.workers.contains_key(&incarnation), "the incarnation has not ended");
    assert!(
        cell.workers[&incarnation.with_start(start)].clock.is_none(),
        "the next incarnation has not replied yet"
    );
});

case!(the_log_keeps_no_traces_of_ended_incarnations, world, {
    let before: Vec<_> = world.traces.keys().cloned().collect();
    assert!(!before.is_empty());
    restart_all(&mut world);
    submit_jobs(&mut world, 2_000);
    let left: Vec<_> =
        before.iter().filter(|incarnation| world.traces.contains_key(incarnation)).collect();
    assert!(left.is_empty(), "{left:?}");
});

// Fault: older records identify workers by id alone. If the owner took them for ended incarnations, it would count
// their runs as lost and start the tasks again.
case!(records_without_a_start_apply_to_the_current_incarnation, world, {
    let id = world.submit(job(vec![StepSpec { estimate_ms: 4_000, ..step(8) }]));
    world.run(500);
    world.owner().awake = false;
    world.forget_starts();
    world.take_over();
    assert!(world.finish(10_000));
    let starts = world.judge.starts.iter().filter(|(task, _)| task.job == id);
    assert!(starts.clone().all(|(_, count)| *count == 1), "{:?}", starts.collect::<Vec<_>>());
    assert!(world.owner().cell.jobs[&id].progress.crashes.is_empty());
    assert_eq!(world.owner().cell.counts.restarts, 0);
});

#[test]
fn restarts_of_workers_whose_entries_lack_a_start_are_detected() {
    let mut world = World::new(7, 4);
    world.untold = true;
    world.take_over();
    submit_jobs(&mut world, 3_000);
    for _ in 0..2 {
        restart_all(&mut world);
        let jobs = submit_jobs(&mut world, 3_000);
        assert_completed(&mut world, &jobs);
    }
    assert_eq!(world.judge.broken, Vec::<String>::new());
    assert!(world.judge.overlong.is_empty(), "{:?}", world.judge.overlong);
}

#[test]
fn no_run_stays_uncertain_after_restarts() {
    let mut world = World::new(7, 4);
    for _ in 0..3 {
        submit_jobs(&mut world, 3_000);
        restart_all(&mut world);
    }
    world.run(15_000);
    let now = world.now;
    assert_eq!(world.owner().cell.uncertain(now), UncertainRuns::default());
}
