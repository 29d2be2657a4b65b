//! The room that long-running tasks reserve for short ones.

mod common;

use myrtle_base::Room;
use myrtle_job::{JobId, Policy, StepSpec};

use common::{World, job, policy, step};

/// The number of long-running tasks of 8 cores that fill eight workers.
const EIGHT: u16 = 32;

/// The number that fills seven.
const SEVEN: usize = 28;

/// Declares a test with a world of eight workers.
macro_rules! case {
    ($name:ident, $world:ident, $body:block) => {
        #[test]
        fn $name() {
            let mut $world = World::new(7, 8);
            $body
            assert_eq!($world.judge.broken, Vec::<String>::new());
        }
    };
}

/// A step of long-running tasks of 8 cores.
fn long_running(count: u16) -> StepSpec {
    StepSpec { long_running: true, room: Room { cpu: 8_000, ..step(count).room }, ..step(count) }
}

/// Submits short jobs for 24 s, which use 0.16 of the cell.
fn submit_short(world: &mut World, priority: u32) {
    let room = Room { cpu: 16_000, ..step(2).room };
    let short = StepSpec { room, estimate_ms: 1_000, ..step(2) };
    for _ in 0..30 {
        world.submit_as(job(vec![short.clone()]), Policy { priority, max_failures: 3, ..policy() });
        world.run(800);
    }
}

/// The number of active runs of a job.
fn running(world: &World, job: JobId) -> usize {
    let owner = &world.owners.last().unwrap().cell;
    owner.workers.values().flat_map(|w| w.active_runs.keys()).filter(|t| t.job == job).count()
}

case!(tasks_that_never_ran_leave_a_reserve_for_short_jobs, world, {
    submit_short(&mut world, 0);
    let id = world.submit(job(vec![long_running(EIGHT)]));
    world.run(8_000);
    assert_eq!(running(&world, id), SEVEN, "one worker of eight stays free");
});

case!(tasks_that_never_ran_use_the_reserve_once_no_short_jobs_are_submitted, world, {
    submit_short(&mut world, 0);
    let id = world.submit(job(vec![long_running(EIGHT)]));
    world.run(90_000);
    assert_eq!(running(&world, id), usize::from(EIGHT));
});

case!(tasks_leave_no_reserve_for_short_jobs_of_lower_priority, world, {
    submit_short(&mut world, 2);
    let id = world.submit(job(vec![long_running(EIGHT)]));
    world.run(8_000);
    assert_eq!(running(&world, id), usize::from(EIGHT));
});

case!(tasks_that_ran_before_use_the_reserve, world, {
    let id = world.submit(job(vec![long_running(EIGHT)]));
    world.run(60_000);
    assert_eq!(running(&world, id), usize::from(EIGHT));
    world.workers.get_mut("w0").unwrap().listing.draining = true;
    submit_short(&mut world, 0);
    assert_eq!(running(&world, id), SEVEN);
    world.add_worker("w8", 8);
    world.run(3_000);
    assert_eq!(
        running(&world, id),
        usize::from(EIGHT),
        "tasks that ran before don't wait for the reserve"
    );
});
