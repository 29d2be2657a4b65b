//! A task that crashes each worker that starts it (a culprit) is given up, and the tasks beside it go on.
//!
//! Guards against a culprit that is started again and again, about 3.4 s after each crash, and each time ends all runs
//! on its worker: if only ends that a worker reports as failed count against a task, a run that was lost with its
//! worker counts for nothing.

mod common;

use std::cell::Cell;

use common::{World, job, step};
use myrtle_job::{JobId, State, StepSpec, TaskId};

/// The most workers that one task may crash.
const LIMIT: u32 = 3;

/// The number of workers: enough that the others are not full while three are down.
const WORKERS: usize = 12;

/// Declares a test with a world of twelve workers, in which no guarantee may be violated.
macro_rules! case {
    ($(#[$doc:meta])* $name:ident, $world:ident, $body:block) => {
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut $world = World::new(7, WORKERS);
            $world.run(2_000);
            $body
            assert_eq!($world.judge.broken, Vec::<String>::new());
        }
    };
}

/// Submits three jobs of twelve tasks a second for a while, and returns their ids.
fn run_busy(world: &mut World, millis: u64) -> Vec<JobId> {
    run_busy_with(world, millis, |_| {})
}

/// As `run_busy`, with a call of `happen` in each step.
fn run_busy_with(world: &mut World, millis: u64, happen: impl Fn(&mut World)) -> Vec<JobId> {
    let submit = |world: &mut World| {
        let id = world.submit(job(vec![step(12)]));
        for _ in 0..33 {
            world.run(10);
            happen(world);
        }
        id
    };
    (0..millis / 330).map(|_| submit(world)).collect()
}

/// Checks that few workers crashed, the culprit's job has failed and all others have completed.
fn check(world: &mut World, (id, task): (JobId, TaskId), others: &[JobId]) {
    let crashed = world.crashes[&task];
    assert!(crashed <= LIMIT, "{crashed} workers crashed");
    assert_eq!(world.owner().cell.state(id), Some(State::Failed));
    world.run(5_000);
    let completed = vec![Some(State::Completed); others.len()];
    assert_eq!(states(world, others), completed, "the other jobs complete");
}

/// Submits a job whose first task crashes each worker after `delay` milliseconds.
fn submit_culprit(world: &mut World, spec: StepSpec, delay: u64) -> (JobId, TaskId) {
    let id = world.submit(job(vec![spec]));
    let task = TaskId { job: id, round: 0, step: 0, index: 0 };
    world.culprits.insert(task, delay);
    (id, task)
}

/// The states of jobs as shown to clients.
fn states(world: &mut World, ids: &[JobId]) -> Vec<Option<State>> {
    ids.iter().map(|id| world.owner().cell.state(*id)).collect()
}

case!(a_task_that_crashes_each_worker_that_starts_it_is_given_up, world, {
    let culprit = submit_culprit(&mut world, step(6), 10);
    let others = run_busy(&mut world, 30_000);
    check(&mut world, culprit, &others);
});

case!(a_task_that_crashes_workers_after_a_while_is_given_up, world, {
    let culprit = submit_culprit(&mut world, step(6), 800);
    let others = run_busy(&mut world, 30_000);
    check(&mut world, culprit, &others);
});

case!(a_long_running_culprit_is_given_up, world, {
    let culprit = submit_culprit(&mut world, StepSpec { long_running: true, ..step(6) }, 10);
    let others = run_busy(&mut world, 30_000);
    check(&mut world, culprit, &others);
});

case!(a_filler_culprit_is_given_up, world, {
    let culprit = submit_culprit(&mut world, StepSpec { filler: true, ..step(6) }, 10);
    let others = run_busy(&mut world, 30_000);
    check(&mut world, culprit, &others);
});

case!(a_gang_culprit_is_given_up, world, {
    let culprit = submit_culprit(&mut world, StepSpec { gang: true, ..step(6) }, 10);
    let others = run_busy(&mut world, 30_000);
    check(&mut world, culprit, &others);
});

case!(a_culprit_that_may_have_copies_is_given_up, world, {
    let culprit = submit_culprit(&mut world, StepSpec { speculative: true, ..step(6) }, 10);
    let others = run_busy(&mut world, 30_000);
    check(&mut world, culprit, &others);
});

case!(a_culprit_is_given_up_if_a_new_owner_follows_each_crash, world, {
    let culprit = submit_culprit(&mut world, step(6), 10);
    let task = culprit.1;
    let seen = Cell::new(0);
    let others = run_busy_with(&mut world, 40_000, |world| {
        let crashed = world.crashes.get(&task).copied().unwrap_or_default();
        if crashed > seen.replace(crashed) {
            // The successor connects to the workers, one of which is another incarnation.
            world.run(1_500);
            world.take_over();
        }
    });
    check(&mut world, culprit, &others);
});

case!(no_task_is_given_up_if_all_workers_lose_power_three_times_in_a_row, world, {
    let long_running = world.submit(job(vec![StepSpec { long_running: true, ..step(8) }]));
    let mut others = Vec::new();
    for _ in 0..3 {
        others.extend(run_busy(&mut world, 4_000));
        let all: Vec<_> = world.workers.keys().cloned().collect();
        all.iter().for_each(|id| world.crash(id));
    }
    others.extend(run_busy(&mut world, 5_000));
    world.run(15_000);
    let completed = vec![Some(State::Completed); others.len()];
    assert_eq!(states(&mut world, &others), completed);
    assert_eq!(world.owner().cell.state(long_running), Some(State::Running));
});

case!(a_task_whose_workers_are_cut_off_repeatedly_is_not_given_up, world, {
    let id = world.submit(job(vec![StepSpec { estimate_ms: 60_000, ..step(1) }]));
    let task = TaskId { job: id, round: 0, step: 0, index: 0 };
    for _ in 0..7 {
        let up = |world: &World| {
            let found = world.workers.iter().find(|(_, w)| w.reachable && w.runs(task));
            found.map(|(id, _)| id.clone())
        };
        for _ in 0..500 {
            world.run(10);
            if up(&world).is_some() {
                break;
            }
        }
        // The worker stays listed, and its runs end with their lease.
        let cut = up(&world).expect("it runs somewhere");
        world.workers.get_mut(&cut).unwrap().reachable = false;
        world.run(12_000);
        world.workers.get_mut(&cut).unwrap().reachable = true;
    }
    assert_eq!(world.owner().cell.state(id), Some(State::Running));
});

case!(a_task_is_trusted_again_after_a_long_run, world, {
    let id = world.submit(job(vec![StepSpec { long_running: true, ..step(1) }]));
    let task = TaskId { job: id, round: 0, step: 0, index: 0 };
    for _ in 0..8 {
        world.run(16_000);
        let workers: Vec<_> =
            world.workers.iter().filter(|(_, w)| w.runs(task)).map(|(id, _)| id.clone()).collect();
        workers.iter().for_each(|id| world.crash(id));
    }
    assert_eq!(world.owner().cell.state(id), Some(State::Running));
});

// Guards against a gang of more tasks than workers that never runs again after it was lost with one of them, though
// all room is free: each of its tasks is a suspect, and no suspect may begin where another one is about to.
#[test]
fn a_gang_of_more_tasks_than_workers_runs_again_after_a_crash() {
    let mut world = World::new(7, 1);
    let id = world.submit(job(vec![StepSpec { gang: true, ..step(7) }]));
    world.run(200);
    let busy = world.workers.iter().find(|(_, w)| w.count() == 7).map(|(id, _)| id.clone());
    world.crash(&busy.expect("the gang runs"));
    assert!(world.finish(20_000), "{:?}", world.owner().cell.explain(id, 0).first());
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
}
