//! Workers that start again under the id that they had: they hold nothing of before, and their clocks and the
//! numbers of their ends begin anew.
//!
//! Tasks that had ended well ran once more, and tasks were started after as many failures as their queue
//! allows. Seventeen workers had lost power together and were back under their ids within a second. Their
//! owner met them with nothing running, and logged no change of incarnation:
//!
//! ```text
//! 5.001 event=worker-silent worker=W runs=8
//! 5.765 event=worker-met worker=W running=0 silent_ms=875
//! 7.372 event=run-absent task=J.0.1.7 run=2 worker=W stage=Up at=17347
//! ```
//!
//! The last run had ended well at 7.06, and no `run-ended` tells of that. All that was known of a worker was known
//! by its id. The next incarnation numbered its ends from 1, so they counted as taken in long ago, and the worker
//! was told to forget them; leases were reckoned by the clock of before, 16.6 s where 10 s are the most. Now what is
//! known of a worker is known of one incarnation, by id and start.

mod common;

use std::sync::Arc;

use common::jobs::ended;
use common::{Faults, World, job, step};
use myrtle_job::{EndReason, JobId, State, StepSpec, TaskId, WorkerRuns};
use myrtle_owner::UncertainRuns;

/// How long workers are away, in milliseconds.
const AWAY: u64 = 600;

/// How long nothing of a job may run though a task's turn has come, in milliseconds; the platform's figure.
const IDLE: u64 = 3_000;

/// How long workers have been at work before, in milliseconds: each has told of some twenty ends.
const BEFORE: u64 = 6_000;

/// Names a case and gives it a world of four workers that have been at work.
macro_rules! case {
    ($(#[$doc:meta])* $name:ident, $world:ident, $body:block) => {
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut $world = World::new(7, 4);
            busy(&mut $world, BEFORE);
            $body
            assert_eq!($world.judge.broken, Vec::<String>::new());
        }
    };
}

/// Lets time pass while jobs of two steps come, five a second; their names.
fn busy(world: &mut World, millis: u64) -> Vec<JobId> {
    let submit = |world: &mut World| {
        let second = StepSpec { after: vec![0], estimate_ms: 300, ..step(2) };
        let id = world.submit(job(vec![StepSpec { estimate_ms: 500, ..step(4) }, second]));
        world.run(200);
        id
    };
    (0..millis / 200).map(|_| submit(world)).collect()
}

/// All workers lose power and are back under their ids.
fn restart_all(world: &mut World) {
    let ids: Vec<Arc<str>> = world.workers.keys().cloned().collect();
    ids.iter().for_each(|id| world.restart(id, AWAY));
}

/// Asks that jobs end well in time.
fn completed(world: &mut World, jobs: &[JobId]) {
    world.run(15_000);
    let cell = &world.owner().cell;
    let states: Vec<_> = jobs.iter().map(|id| cell.state(*id)).collect();
    assert_eq!(states, vec![Some(State::Completed); jobs.len()]);
}

case!(what_ended_well_on_a_worker_that_came_back_is_not_started_again, world, {
    restart_all(&mut world);
    let jobs = busy(&mut world, 4_000);
    completed(&mut world, &jobs);
});

case!(failures_on_a_worker_that_came_back_are_counted, world, {
    restart_all(&mut world);
    world.run(AWAY + 100);
    world.workers.values_mut().for_each(|w| w.failing = true);
    let id = world.submit(job(vec![step(1)]));
    world.run(8_000);
    assert_eq!(world.owner().cell.state(id), Some(State::Failed));
    assert_eq!(world.judge.overspent(), vec![]);
});

case!(no_lease_is_reckoned_by_the_clock_of_before, world, {
    restart_all(&mut world);
    busy(&mut world, 2_000);
    assert!(world.judge.overlong.is_empty(), "{:?}", world.judge.overlong);
});

case!(a_step_begins_once_those_before_it_have_ended_well, world, {
    restart_all(&mut world);
    world.run(AWAY + 100);
    let (first, second) = (StepSpec { estimate_ms: 4_000, ..step(4) }, step(2));
    let id = world.submit(job(vec![first, StepSpec { after: vec![0], ..second }]));
    let task = |step, index| TaskId { job: id, round: 0, step, index };
    let began = world.now;
    while world.now < began + 10_000 && !(0..4).all(|index| world.judge.ended_well(task(0, index)))
    {
        world.run(10);
    }
    world.run(IDLE);
    assert!(world.judge.starts.contains_key(&task(1, 0)), "nothing runs of what could run");
});

// Starts that the platform holds back are carried out by the next incarnation, which knows of no stop that the one
// before was told.
case!(starts_that_are_held_back_are_barred_at_the_next_incarnation, world, {
    world.faults = Faults { late: 1.0, outlive: true, ..Faults::default() };
    let jobs: Vec<JobId> = (0..4).map(|_| world.submit(job(vec![step(4)]))).collect();
    world.run(300);
    world.faults = Faults { outlive: true, ..Faults::default() };
    restart_all(&mut world);
    completed(&mut world, &jobs);
});

// The list goes on to show the incarnation before, whose clock was ahead. Believed, it would end the one that is
// there, and what runs there would run twice.
case!(an_old_entry_with_a_later_start_says_nothing_of_the_one_that_is_there, world, {
    world.set_back = 30_000;
    let long = StepSpec { estimate_ms: 4_000, ..step(8) };
    for id in world.workers.keys().cloned().collect::<Vec<_>>() {
        let old = world.workers[&id].listing.clone();
        world.restart(&id, AWAY);
        world.run(AWAY + 1_000);
        world.submit(job(vec![long.clone()]));
        world.run(500);
        world.stale.insert(id, (world.now + 1_000, old));
        world.run(1_500);
    }
    assert!(world.finish(20_000));
});

case!(what_ran_on_a_worker_that_came_back_behind_a_cut_goes_on_elsewhere_at_once, world, {
    world.run(5_000);
    let id = world.submit(job(vec![StepSpec { estimate_ms: 3_000, ..step(1) }]));
    world.run(200);
    let busy = world.workers.iter().find(|(_, w)| w.count() > 0).unwrap().0.clone();
    world.cut(0, &busy, true);
    world.restart(&busy, AWAY);
    world.run(AWAY + 3_000 + 1_000);
    assert_eq!(world.owner().cell.state(id), Some(State::Completed), "it waited for a lease");
});

case!(an_answer_of_another_incarnation_says_nothing_of_this_ones_runs, world, {
    let id = world.submit(job(vec![StepSpec { estimate_ms: 3_000, ..step(1) }]));
    world.run(200);
    let task = TaskId { job: id, round: 0, step: 0, index: 0 };
    let busy = world.workers.iter().find(|(_, w)| w.runs(task)).unwrap().0.clone();
    let (now, incarnation) = (world.now, world.life(&busy));
    let number = world.owner().cell.workers[&incarnation].received_ends + 1;
    let start = incarnation.start() + 1_000;
    let ended = vec![ended(number, task, 1, EndReason::Failed)];
    let held = WorkerRuns { started_at: start, clock_ms: 5, running: vec![], ended };
    let cell = &mut world.owner().cell;
    cell.renewed(&incarnation, held, now - 1, now, now);
    assert!(cell.jobs[&id].progress.task(task).unwrap().failed_runs.is_empty());
    assert!(!cell.workers.contains_key(&incarnation), "it is over");
    assert!(
        cell.workers[&incarnation.with_start(start)].clock.is_none(),
        "the next one is still to be asked"
    );
});

case!(the_log_holds_nothing_of_incarnations_that_are_over, world, {
    let before: Vec<_> = world.traces.keys().cloned().collect();
    assert!(!before.is_empty());
    restart_all(&mut world);
    busy(&mut world, 2_000);
    let left: Vec<_> =
        before.iter().filter(|incarnation| world.traces.contains_key(incarnation)).collect();
    assert!(left.is_empty(), "{left:?}");
});

// Records of before name workers by their ids only. Taken for incarnations that are over, their runs would be
// counted as lost and start again.
case!(what_the_log_holds_by_ids_only_is_of_the_worker_that_is_there, world, {
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
fn workers_whose_entries_tell_no_start_are_used_and_known_to_start_anew() {
    let mut world = World::new(7, 4);
    world.untold = true;
    world.take_over();
    busy(&mut world, 3_000);
    for _ in 0..2 {
        restart_all(&mut world);
        let jobs = busy(&mut world, 3_000);
        completed(&mut world, &jobs);
    }
    assert_eq!(world.judge.broken, Vec::<String>::new());
    assert!(world.judge.overlong.is_empty(), "{:?}", world.judge.overlong);
}

#[test]
fn no_run_is_left_in_no_known_state() {
    let mut world = World::new(7, 4);
    for _ in 0..3 {
        busy(&mut world, 3_000);
        restart_all(&mut world);
    }
    world.run(15_000);
    let now = world.now;
    assert_eq!(world.owner().cell.uncertain(now), UncertainRuns::default());
}
