//! Jobs that are over leave the log in two appends; no owner takes what is left of one for a new job.

mod common;
mod removal;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use myrtle_job::{JobId, Key, State};

use removal::log::Topic;
use removal::owner::STATUS;
use removal::{Faults, World, record};

const JOB: JobId = JobId(7);

/// How long a job is kept once it is over, in milliseconds.
const KEPT: u64 = STATUS + STATUS / 2;

/// A world whose job is over and about to be removed, with appends that fail from now on.
fn about_to_remove(faults: Faults) -> World {
    let mut world = World::new(1);
    world.take_over();
    world.submit(JOB);
    world.run(KEPT - 500);
    assert_eq!(world.state(JOB), Some(State::Completed));
    world.faults = faults;
    world
}

/// A world in which an owner of an earlier build removed only the progress of a job accepted `age` ms ago.
fn left_behind(age: u64) -> World {
    let mut world = World::new(1);
    world.logs.submit(JOB, record(world.now - age));
    world.logs.history.insert(JOB);
    world.logs.owners.insert(1, false);
    world
}

// Guards against a job that is run again since its owner ended between the two appends that remove it.
#[rstest]
fn owners_end_between_the_appends(
    #[values(0.0, 0.5, 1.0)] refused: f64,
    #[values(0.0, 0.5)] unanswered: f64,
    #[values(0.0, 0.4)] late: f64,
    #[values(false, true)] cut: bool,
) {
    for after in (0..3_000).step_by(50) {
        let refused = f64::min(refused, 1.0 - unanswered - late);
        let mut world = about_to_remove(Faults { refused, unanswered, late, ..Faults::default() });
        world.run(after);
        if cut {
            world.logs.cut();
        }
        world.succeed();
        world.run(500);
        world.finish();
    }
}

// The same while only one topic is down: an owner ends at any moment of the outage, and its successor begins in it.
#[rstest]
fn owners_end_while_a_topic_is_down(
    #[values(Topic::Jobs, Topic::Progress)] topic: Topic,
    #[values(0, 400, 2_000)] left: u64,
) {
    for after in (0..3_000).step_by(50) {
        let mut world = about_to_remove(Faults { down: Some(topic), ..Faults::default() });
        world.run(after);
        world.succeed();
        world.run(left);
        world.finish();
    }
}

// Guards against a removal that the store held back and that removes a job submitted anew under the same id.
#[test]
fn a_late_removal_leaves_a_job_that_was_submitted_anew() {
    for seed in 0..200 {
        let mut world = World::new(seed);
        world.take_over();
        world.submit(JOB);
        world.faults = Faults { late: 0.6, unanswered: 0.2, again: true, ..Faults::default() };
        world.run(30_000);
        world.finish();
    }
}

// Guards against a job that is shown as unknown, and so may be submitted anew, while the log still holds a part of it.
#[test]
fn a_job_is_known_until_the_log_holds_nothing_of_it() {
    for seed in 0..50 {
        let mut world = World::new(seed);
        world.take_over();
        world.submit(JOB);
        world.run(500);
        world.faults = Faults { refused: 0.7, unanswered: 0.1, late: 0.1, ..Faults::default() };
        while world.state(JOB).is_some() {
            world.run(10);
        }
        let of_job = |key: &Key| key.job() == JOB;
        assert!(!world.logs.newest().iter().any(|(key, ..)| of_job(key)));
        assert!(!world.logs.progress.contains_key(&JOB));
        world.finish();
    }
}

// Guards against removals that cost more than one append to each log.
#[test]
fn a_removal_takes_one_append_to_each_log() {
    let mut world = about_to_remove(Faults::default());
    let [removals, writes] = world.logs.appends;
    world.run(3_000);
    assert_eq!(world.state(JOB), None);
    assert_eq!(world.logs.appends, [removals + 1, writes + 1]);
}

// Guards against jobs whose records are removed before the log says that they are over.
#[test]
fn a_job_whose_end_is_not_logged_keeps_its_records() {
    let mut world = World::new(1);
    world.take_over();
    world.submit(JOB);
    world.run(50);
    world.faults.refused = 1.0;
    world.run(500);
    let owner = world.owners.last_mut().unwrap();
    assert_eq!(owner.cell.jobs[&JOB].progress.state, State::Completed);
    let later = world.now + 10 * KEPT;
    owner.cell.remove_expired(later, later);
    assert!(owner.cell.take_removals().is_empty());
    world.finish();
}

// Guards against a submission that was repeated before its removal and is read only afterwards.
#[rstest]
fn a_repeat_that_is_read_late_starts_nothing(#[values(0.0, 0.8)] unanswered: f64) {
    let mut world = about_to_remove(Faults { unread: 1.0, unanswered, ..Faults::default() });
    world.logs.submit(JOB, record(world.now));
    world.run(3_000);
    assert!(world.logs.newest().is_empty(), "it is removed");
    world.faults.unread = 0.0;
    world.run(3_000);
    world.finish();
}

// Drawn courses: every fault at once, owners that go on beside their successors, several jobs.
#[test]
fn drawn_courses_run_each_accepted_job_once() {
    for seed in 0..400 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(seed);
        world.faults = Faults {
            refused: [0.0, 0.3, 0.9][rng.random_range(0..3)],
            unanswered: [0.0, 0.05][rng.random_range(0..2)],
            late: [0.0, 0.04][rng.random_range(0..2)],
            unread: [0.0, 0.5, 0.95][rng.random_range(0..3)],
            ends: [0.0, 0.001, 0.005][rng.random_range(0..3)],
            cuts: [0.0, 0.002][rng.random_range(0..2)],
            ..Faults::default()
        };
        world.take_over();
        for _ in 0..20 {
            world.submit(JobId(rng.random_range(1..u64::MAX)));
            world.run(rng.random_range(0..1_000));
        }
        println!("seed {seed}");
        world.finish();
    }
}

// Guards against what an earlier build left behind, whenever the owner that finds it ends.
#[test]
fn what_an_earlier_build_left_behind_is_removed() {
    for after in (0..1_500).step_by(10) {
        let mut world = left_behind(2 * KEPT);
        world.take_over();
        world.submit(JobId(9));
        world.faults = Faults { refused: 0.8, unanswered: 0.1, ..Faults::default() };
        world.run(after);
        world.succeed();
        world.run(5_000);
        world.submit(JobId(8));
        world.finish();
        assert_eq!(world.state(JOB), None);
        assert!(world.logs.owners.keys().all(|&fence| fence > 1), "the earlier owner is settled");
    }
}

// Guards against a job whose progress was removed before the history that the store still has, and against owners that
// forget that they don't know.
#[test]
fn an_old_job_without_progress_and_history_is_not_started() {
    let mut world = left_behind(2 * KEPT);
    world.logs.cut();
    for other in 10..13 {
        world.take_over();
        world.submit(JobId(other));
        world.run(5_000);
        assert_eq!(world.state(JOB), Some(State::Queued));
        assert!(world.starts.keys().all(|task| task.job != JOB));
    }
    let now = world.now;
    world.owners.last_mut().unwrap().cell.cancel(JOB, now, now);
    world.run(100);
    world.finish();
}

// Guards against jobs that wait at a change of builds and are taken for removed ones.
#[rstest]
fn a_job_that_waits_while_builds_change_is_started(#[values(false, true)] cut: bool) {
    let mut world = World::new(1);
    world.logs.owners.insert(1, false);
    world.submit(JOB);
    if cut {
        world.logs.cut();
    } else {
        world.now += 2 * KEPT;
    }
    world.take_over();
    world.run(1_000);
    world.finish();
}
