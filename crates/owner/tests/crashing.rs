//! A task that crashes each worker that starts it is given up, and what ran beside it goes on.
//!
//! Of 48 workers 375 lives started anew in two minutes. Each of the two tasks that were followed was
//! started 34 times, again about 3.4 s after each crash, for as long as anyone looked. A run that was
//! lost with its worker counted for nothing; only ends that a worker listed as failed were counted
//! against a task. All that ran beside such a task began anew each time. Six crashes in a row of one
//! task were on five machines, each 10 ms after a start, so the machines were not the cause; one owner
//! told all of these starts, so no count was lost on the way.
//! The lines, three of many:
//!
//! ```text
//! 23.41 event=placed step=J.0.0 tasks=1 of=1 fence=1 waited_ms=0 age_ms=13953
//! 23.43 event=worker-silent worker=W runs=9
//! 26.89 event=worker-gone worker=W reason="another life is at its address" runs=9 silent_ms=3460
//! ```

mod common;

use std::cell::Cell;

use common::{World, job, step};
use myrtle_job::{JobId, State, StepSpec, TaskId};

/// The most workers that one task may take with it.
const MOST: u32 = 3;

/// Workers enough that three of them down do not fill the others.
const WORKERS: usize = 12;

/// Names a case and gives it a world of twelve workers that are busy.
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

/// Lets time pass while jobs of twelve tasks come, three a second; their names.
fn busy(world: &mut World, millis: u64) -> Vec<JobId> {
    busy_while(world, millis, |_| {})
}

/// The same, with something that happens in between.
fn busy_while(world: &mut World, millis: u64, happen: impl Fn(&mut World)) -> Vec<JobId> {
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

/// All that is asked of an owner: few workers lost, the job of the culprit ended, all others well.
fn judge(world: &mut World, (id, task): (JobId, TaskId), others: &[JobId]) {
    let crashed = world.crashes[&task];
    assert!(crashed <= MOST, "{crashed} workers crashed");
    assert_eq!(world.owner().cell.state(id), Some(State::Failed));
    world.run(5_000);
    let completed = vec![Some(State::Completed); others.len()];
    assert_eq!(states(world, others), completed, "what ran beside it ends well");
}

/// Hands a job in whose task of an index crashes each worker after `delay` milliseconds.
fn submit_culprit(world: &mut World, spec: StepSpec, delay: u64) -> (JobId, TaskId) {
    let id = world.submit(job(vec![spec]));
    let task = TaskId { job: id, round: 0, step: 0, index: 0 };
    world.culprits.insert(task, delay);
    (id, task)
}

/// The states that clients are told.
fn states(world: &mut World, ids: &[JobId]) -> Vec<Option<State>> {
    ids.iter().map(|id| world.owner().cell.state(*id)).collect()
}

case!(a_task_that_crashes_each_worker_that_starts_it_is_given_up, world, {
    let culprit = submit_culprit(&mut world, step(6), 10);
    let others = busy(&mut world, 30_000);
    judge(&mut world, culprit, &others);
});

case!(one_that_works_for_a_while_before_it_does_is_given_up, world, {
    let culprit = submit_culprit(&mut world, step(6), 800);
    let others = busy(&mut world, 30_000);
    judge(&mut world, culprit, &others);
});

case!(one_that_lasts_is_given_up, world, {
    let culprit = submit_culprit(&mut world, StepSpec { lasting: true, ..step(6) }, 10);
    let others = busy(&mut world, 30_000);
    judge(&mut world, culprit, &others);
});

case!(one_that_fills_is_given_up, world, {
    let culprit = submit_culprit(&mut world, StepSpec { filler: true, ..step(6) }, 10);
    let others = busy(&mut world, 30_000);
    judge(&mut world, culprit, &others);
});

case!(one_of_a_gang_is_given_up, world, {
    let culprit = submit_culprit(&mut world, StepSpec { gang: true, ..step(6) }, 10);
    let others = busy(&mut world, 30_000);
    judge(&mut world, culprit, &others);
});

case!(one_that_may_have_copies_gets_none, world, {
    let culprit = submit_culprit(&mut world, StepSpec { copies: true, ..step(6) }, 10);
    let others = busy(&mut world, 30_000);
    judge(&mut world, culprit, &others);
});

case!(it_is_given_up_after_as_many_if_each_crash_is_followed_by_another_owner, world, {
    let culprit = submit_culprit(&mut world, step(6), 10);
    let task = culprit.1;
    let seen = Cell::new(0);
    let others = busy_while(&mut world, 40_000, |world| {
        let crashed = world.crashes.get(&task).copied().unwrap_or_default();
        if crashed > seen.replace(crashed) {
            // The next owner meets the workers, and one of them is another life.
            world.run(1_500);
            world.take_over();
        }
    });
    judge(&mut world, culprit, &others);
});

case!(nothing_is_given_up_when_all_workers_lose_power_three_times_in_a_row, world, {
    let lasting = world.submit(job(vec![StepSpec { lasting: true, ..step(8) }]));
    let mut others = Vec::new();
    for _ in 0..3 {
        others.extend(busy(&mut world, 4_000));
        let all: Vec<_> = world.workers.keys().cloned().collect();
        all.iter().for_each(|id| world.crash(id));
    }
    others.extend(busy(&mut world, 5_000));
    world.run(15_000);
    let completed = vec![Some(State::Completed); others.len()];
    assert_eq!(states(&mut world, &others), completed);
    assert_eq!(world.owner().cell.state(lasting), Some(State::Running));
});

case!(a_task_whose_workers_are_cut_off_time_and_again_is_not_given_up, world, {
    let id = world.submit(job(vec![StepSpec { estimate: 60_000, ..step(1) }]));
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
        // The list goes on showing it; its runs end with their lease.
        let cut = up(&world).expect("it runs somewhere");
        world.workers.get_mut(&cut).unwrap().reachable = false;
        world.run(12_000);
        world.workers.get_mut(&cut).unwrap().reachable = true;
    }
    assert_eq!(world.owner().cell.state(id), Some(State::Running));
});

case!(a_task_is_trusted_again_after_a_long_run, world, {
    let id = world.submit(job(vec![StepSpec { lasting: true, ..step(1) }]));
    let task = TaskId { job: id, round: 0, step: 0, index: 0 };
    for _ in 0..8 {
        world.run(16_000);
        let its: Vec<_> =
            world.workers.iter().filter(|(_, w)| w.runs(task)).map(|(id, _)| id.clone()).collect();
        its.iter().for_each(|id| world.crash(id));
    }
    assert_eq!(world.owner().cell.state(id), Some(State::Running));
});

// A gang of more tasks than there are workers was lost with one of them, and never ran again though all room was
// free: each of its tasks was doubted, and none may begin where another one that is doubted is about to. Seen in
// two of 200 drawn courses of restarts, seeds 23 and 93; all six workers were empty and open to new work.
#[test]
fn a_gang_of_more_tasks_than_workers_that_is_doubted_runs_again() {
    let mut world = World::new(7, 1);
    let id = world.submit(job(vec![StepSpec { gang: true, ..step(7) }]));
    world.run(200);
    let busy = world.workers.iter().find(|(_, w)| w.count() == 7).map(|(id, _)| id.clone());
    world.crash(&busy.expect("the gang runs"));
    assert!(world.finish(20_000), "{:?}", world.owner().cell.explain(id, 0).first());
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
}
