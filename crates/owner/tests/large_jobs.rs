//! Jobs that are small in bytes and large in tasks or times take little of an owner, and leave room for others.

mod common;

use myrtle_base::Room;
use myrtle_job::{JobId, JobSpec, Repeat, State};

use common::{World, case, job, step};

/// A job of one step, all of whose times are due.
fn due(count: u16, times: u32) -> JobSpec {
    let repeat = Some(Repeat { first_at: 0, interval_ms: 1, count: times });
    JobSpec { repeat, ..job(vec![step(count)]) }
}

/// The most repetitions of the only job that were open at a time while the world ran.
fn most_open(world: &mut World, millis: u64) -> usize {
    let mut most = 0;
    for _ in 0..millis / 10 {
        world.run(10);
        let rounds = world.owner().cell.jobs.values().map(|job| job.progress.rounds.len());
        most = most.max(rounds.sum());
    }
    most
}

case!(times_that_overlap_are_open_up_to_a_number_of_tasks, world, {
    let mut spec = due(10_000, 4_000_000_000);
    spec.steps[0].requires = Some("absent".into());
    world.submit(spec);
    assert_eq!(most_open(&mut world, 2_000), 1);
});

case!(times_that_overlap_are_all_carried_out, world, {
    let id = world.submit(due(1, 600));
    let most = most_open(&mut world, 2_000);
    assert!((2..=256).contains(&most), "{most} were open at a time");
    assert!(world.finish(120_000));
    assert_eq!(world.judge.starts.len(), 600);
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
});

case!(tasks_that_ask_for_no_room_leave_runs_to_other_jobs, world, {
    world.owner().cell.max_runs = 20;
    let mut hog = step(200);
    (hog.room, hog.long_running) = (Room::default(), true);
    world.submit(job(vec![hog]));
    world.run(1_000);
    assert_eq!(world.judge.starts.len(), 20);
    let id = world.submit(job(vec![step(20)]));
    world.run(4_000);
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
});

case!(a_step_of_very_many_tasks_is_done, world, {
    let mut wide = step(4_000);
    wide.room = Room::default();
    let id = world.submit(job(vec![wide]));
    assert!(world.finish(60_000));
    assert_eq!(world.judge.starts.len(), 4_000);
    assert_eq!(world.owner().cell.state(id), Some(State::Completed));
});

case!(large_jobs_keep_no_small_one_out, world, {
    let mut large = job(vec![step(1)]);
    large.steps[0].requires = Some("absent".repeat(20_000));
    let (bytes, now) = (large.memory(), world.now);
    world.owner().cell.job_room.limit = 64 * bytes;
    let mut accepted = Vec::new();
    for n in 0..100 {
        if world.owner().cell.admits(JobId(1_000 + n), bytes, now) {
            accepted.push(world.submit(large.clone()));
        }
    }
    world.run(300);
    assert!((20..=40).contains(&accepted.len()), "{} of 100 were accepted", accepted.len());
    let (small, now) = (job(vec![step(1)]), world.now);
    let cell = &mut world.owner().cell;
    assert!(!cell.admits(JobId(9_999), bytes, now), "the sum counts what was accepted");
    assert!(cell.admits(accepted[0], bytes, now), "a repeat is no new job");
    assert!(cell.admits(JobId(9_999), small.memory(), now));
});
