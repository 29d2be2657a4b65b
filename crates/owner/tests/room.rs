//! Short and long-running tasks that ask for more room than there is.

mod common;

use std::sync::Arc;

use common::{World, case, job, policy, step};
use myrtle_base::Room;
use myrtle_job::{JobId, Policy, State, StepSpec};

/// The time between two short jobs, in milliseconds.
const INTERVAL: u64 = 400;

/// The longest time that a long-running task that gave way may wait beside idle room, in milliseconds.
const MAX_IDLE: u64 = 2_000;

/// A step of long-running tasks of 4 cores; eight of them fill a worker.
fn long_running(count: u16, budget: Option<u16>) -> StepSpec {
    let room = Room { cpu: 4_000, ..step(count).room };
    StepSpec { long_running: true, disruption_budget: budget, room, ..step(count) }
}

/// A short job of two tasks of 4 cores each, with a tight objective.
fn short() -> StepSpec {
    StepSpec { room: Room { cpu: 4_000, ..step(2).room }, estimate_ms: 600, ..step(2) }
}

/// Submits short jobs for a time; returns them.
fn press(world: &mut World, millis: u64) -> Vec<JobId> {
    let end = world.now + millis;
    let mut jobs = Vec::new();
    while world.now < end {
        let queue = Policy { stretch: 1.5, slack_ms: 300, max_failures: 3, ..policy() };
        jobs.push(world.submit_as(job(vec![short()]), queue));
        world.run(INTERVAL);
    }
    jobs
}

/// How many of the jobs are completed.
fn completed(world: &mut World, jobs: &[JobId]) -> usize {
    let cell = &world.owner().cell;
    jobs.iter().filter(|id| cell.state(**id) == Some(State::Completed)).count()
}

/// The number of a job's tasks that run.
fn running(world: &World, job: JobId) -> usize {
    world.workers.values().flat_map(|w| w.tasks()).filter(|t| t.job == job).count()
}

/// Fills eight workers with long-running jobs of eight tasks each, with these budgets.
fn fill(world: &mut World, jobs: u16, budget: Option<u16>) -> Vec<JobId> {
    let ids: Vec<_> = (0..jobs).map(|_| world.submit(job(vec![long_running(8, budget)]))).collect();
    // Long enough for the room that is left before any demand is recorded to be used, too.
    world.run(70_000);
    let up: usize = ids.iter().map(|id| running(world, *id)).sum();
    assert_eq!(up, usize::from(jobs) * 8, "long-running tasks fill the cell first");
    ids
}

case! {
    /// Guards against short jobs that find no room for as long as long-running tasks hold all of it.
    long_running_tasks_give_way_to_short_ones, world, {
        fill(&mut world, 4, Some(2));
        let jobs = press(&mut world, 12_000);
        world.run(2_000);
        let done = completed(&mut world, &jobs);
        assert!(done * 10 >= jobs.len() * 9, "{done} of {} short jobs are completed", jobs.len());
    }
}

/// Asserts that long-running steps of eight tasks give way, and never by more than one task at a time.
fn assert_one_gives_way(world: &mut World, budget: Option<u16>) {
    let ids = fill(world, 4, budget);
    for _ in 0..30 {
        press(world, INTERVAL);
        for id in &ids {
            assert!(running(world, *id) >= 7, "{} of 8 tasks run", running(world, *id));
        }
    }
    assert!(world.owner().cell.counts.gave_way > 0);
}

case! {
    /// Guards against steps that give way by more tasks than their clients allow to be unavailable.
    steps_give_way_within_their_disruption_budgets, world, {
        assert_one_gives_way(&mut world, Some(1));
    }
}

case! {
    /// Guards against steps without a budget that give way by half.
    steps_without_a_budget_give_way_by_one_task_in_eight, world, {
        assert_one_gives_way(&mut world, None);
    }
}

case! {
    /// Guards against steps with a budget of none that give way all the same.
    steps_that_allow_no_task_to_be_unavailable_never_give_way, world, {
        fill(&mut world, 4, Some(0));
        press(&mut world, 8_000);
        assert_eq!(world.owner().cell.counts.gave_way, 0);
    }
}

case! {
    /// Guards against tasks that gave way and wait beside idle room once short jobs have ended.
    tasks_that_gave_way_run_again_once_room_is_idle, world, {
        let ids = fill(&mut world, 4, Some(2));
        let jobs = press(&mut world, 8_000);
        while completed(&mut world, &jobs) < jobs.len() {
            world.run(100);
        }
        world.run(MAX_IDLE);
        let up: usize = ids.iter().map(|id| running(&world, *id)).sum();
        assert_eq!(up, 32, "all long-running tasks run again");
    }
}

case! {
    /// Guards against tasks that are stopped over and over for the same room.
    no_task_gives_way_more_than_once_in_a_while, world, {
        fill(&mut world, 4, Some(2));
        press(&mut world, 14_000);
        // Each of the 32 tasks may do so once in 15 s.
        let gave_way = world.owner().cell.counts.gave_way;
        assert!((1..=32).contains(&gave_way), "{gave_way} tasks gave way");
    }
}

case! {
    /// Guards against short tasks that lose the room that they use to tasks of workers that are lost.
    short_jobs_go_on_after_workers_are_lost, world, {
        fill(&mut world, 3, Some(1));
        press(&mut world, 4_000);
        let lost: Arc<str> = "w0".into();
        world.vanish(&lost);
        // The leases of what ran there have to end first.
        press(&mut world, 14_000);
        let jobs = press(&mut world, 10_000);
        world.run(2_000);
        let done = completed(&mut world, &jobs);
        assert!(done * 10 >= jobs.len() * 8, "{done} of {} short jobs are completed", jobs.len());
    }
}

case! {
    /// Guards against an owner that ends between the stop and what should follow: its successor starts each task once.
    a_takeover_while_tasks_give_way_loses_nothing, world, {
        let ids = fill(&mut world, 4, Some(2));
        for _ in 0..6 {
            press(&mut world, 1_200);
            world.succeed();
        }
        let jobs = press(&mut world, 2_000);
        world.run(20_000);
        assert_eq!(completed(&mut world, &jobs), jobs.len());
        let up: usize = ids.iter().map(|id| running(&world, *id)).sum();
        assert_eq!(up, 32, "all long-running tasks run again");
    }
}

case! {
    /// Guards against a cell with room for all in which tasks are stopped for nothing.
    nothing_gives_way_while_there_is_room, world, {
        fill(&mut world, 2, Some(2));
        let jobs = press(&mut world, 8_000);
        world.run(2_000);
        assert_eq!(world.owner().cell.counts.gave_way, 0);
        assert_eq!(completed(&mut world, &jobs), jobs.len());
    }
}
