//! Checks which workers get work while some of them fail runs though they answer.

mod common;

use std::sync::Arc;

use common::{World, case, job, policy, step};
use myrtle_job::{Policy, State, decode, encode};
use myrtle_owner::Cell;

/// How long the cell has to finish the jobs of a test, in milliseconds.
const LIMIT: u64 = 60_000;

/// Submits a job of ten tasks on each 100 ms, with this number of attempts.
fn press(world: &mut World, millis: u64, attempts: u32) {
    let end = world.now + millis;
    while world.now < end {
        let queue = Policy { max_failures: attempts, ..policy() };
        world.submit_as(job(vec![step(10)]), queue);
        world.run(100);
    }
}

/// Names of the workers `w0`, `w1` and so on.
fn names(range: std::ops::Range<usize>) -> Vec<Arc<str>> {
    range.map(|n| format!("w{n}").into()).collect()
}

/// Sets the share of failing runs on workers, in percent.
fn fail(world: &mut World, workers: &[Arc<str>], percent: u64) {
    for name in workers {
        world.workers.get_mut(name).unwrap().failing_percent = percent;
    }
}

/// Runs that were started on workers.
fn starts(world: &World, workers: &[Arc<str>]) -> u32 {
    workers.iter().map(|name| world.workers[name].ever).sum()
}

/// Jobs that failed.
fn failed(world: &mut World) -> usize {
    let jobs = &world.owner().cell.jobs;
    jobs.values().filter(|j| j.logged_state == State::Failed).count()
}

/// Workers that accept new work.
fn open(cell: &Cell, now: u64) -> usize {
    cell.workers.values().filter(|w| w.accepts_work(now)).count()
}

/// A world of 20 workers that have done work, of which two now fail everything, with the names of these.
fn two_failing(seed: u64) -> (World, Vec<Arc<str>>) {
    let mut world = World::new(seed, 20);
    press(&mut world, 3_000, 50);
    let failing = names(0..2);
    fail(&mut world, &failing, 100);
    (world, failing)
}

/// A world of 20 workers, with the last ten in another data centre.
fn two_centres(seed: u64) -> World {
    let mut world = World::new(seed, 20);
    for name in names(10..20) {
        world.workers.get_mut(&name).unwrap().listing.data_centre = "e".into();
    }
    world
}

/// Guards against workers that keep getting work though they fail all of it, as three failures in a row did once a task
/// of another kind succeeded between them.
#[test]
fn workers_that_fail_everything_get_little() {
    let (mut world, failing) = two_failing(1);
    press(&mut world, 2_000, 50);
    let before = starts(&world, &failing);
    press(&mut world, 10_000, 50);
    let more = starts(&world, &failing) - before;
    // Two workers of twenty would get 100 of the 1,000 tasks.
    assert!(more < 20, "{more} starts on workers that fail everything");
}

/// Guards against workers that are left without work for good after a spell.
#[test]
fn workers_that_are_sound_again_get_work_again() {
    let (mut world, failing) = two_failing(2);
    press(&mut world, 5_000, 50);
    fail(&mut world, &failing, 0);
    press(&mut world, 10_000, 50);
    let before = starts(&world, &failing);
    press(&mut world, 5_000, 50);
    let more = starts(&world, &failing) - before;
    assert!(more > 25, "{more} of about 50 starts on workers that are sound again");
}

/// Guards against last attempts that go to workers like those of the first ones: half of the workers of a data centre
/// fail two runs in five, and tasks have two attempts.
#[test]
fn last_attempts_avoid_a_data_centre_that_fails() {
    let mut all = 0;
    for seed in 0..5 {
        let mut world = two_centres(seed);
        press(&mut world, 3_000, 2);
        fail(&mut world, &names(0..5), 40);
        press(&mut world, 10_000, 2);
        fail(&mut world, &names(0..5), 0);
        world.run(5_000);
        all += failed(&mut world);
    }
    // Three in a hundred jobs may fail; without the rule 70 of these do.
    assert!(all <= 15, "{all} of 500 jobs failed");
}

case! {
    /// Guards against tasks that fail by their own fault and leave the cell without workers.
    faults_of_tasks_are_not_held_against_workers, world, {
        let all = names(0..4);
        fail(&mut world, &all, 20);
        for _ in 0..100 {
            press(&mut world, 100, 50);
            let now = world.now;
            assert_eq!(open(&world.owner().cell, now), 4);
        }
    }
}

/// Guards against evidence that takes away more room than the cell can spare: most workers fail.
#[test]
fn at_most_a_quarter_of_the_room_is_withheld() {
    let mut world = World::new(3, 16);
    press(&mut world, 2_000, 50);
    fail(&mut world, &names(0..12), 90);
    for _ in 0..50 {
        press(&mut world, 100, 50);
        let now = world.now;
        assert!(open(&world.owner().cell, now) >= 12);
    }
    fail(&mut world, &names(0..12), 0);
    assert!(world.finish(LIMIT));
}

/// Guards against slow workers that get as much as others while there is room elsewhere.
#[test]
fn slow_workers_get_less() {
    let mut world = World::new(4, 20);
    press(&mut world, 4_000, 3);
    let slow = names(0..3);
    slow.iter().for_each(|name| world.workers.get_mut(name).unwrap().slowdown = 4);
    press(&mut world, 6_000, 3);
    let before = starts(&world, &slow);
    for _ in 0..80 {
        world.submit(job(vec![step(2)]));
        world.run(100);
    }
    let more = starts(&world, &slow) - before;
    // Three workers of twenty would get 24 of the 160 tasks.
    assert!(more < 8, "{more} starts on slow workers");
}

/// Guards against a takeover that sends work back to workers that were known to fail.
#[test]
fn the_next_owner_knows_which_workers_fail() {
    let (mut world, failing) = two_failing(5);
    press(&mut world, 4_000, 50);
    let before = starts(&world, &failing);
    world.succeed();
    press(&mut world, 1_500, 50);
    let more = starts(&world, &failing) - before;
    assert!(more <= 2, "{more} starts in the first seconds of the next owner");
}

/// Guards against learned models of earlier versions that are not read, and of this version that earlier ones can't
/// read: the layout only grows at its end.
#[test]
fn a_learned_model_without_evidence_about_workers_is_read() {
    // No fillers, no images, and loads without errors, steps or an offset, as the version before wrote them.
    let old = encode(&(
        Vec::<String>::new(),
        Vec::<u8>::new(),
        (Vec::<f32>::new(), 0i64, Vec::<u8>::new()),
    ));
    let mut world = World::new(6, 1);
    let now = world.now;
    world.owner().cell.restore_model(&old, now, now).unwrap();

    let mut world = World::new(6, 8);
    press(&mut world, 2_000, 50);
    fail(&mut world, &names(0..1), 100);
    press(&mut world, 2_000, 50);
    let now = world.now;
    let new = world.owner().cell.learned_model(now, now).expect("there is evidence");
    type Old = (Vec<String>, Vec<u8>, (Vec<f32>, i64, Vec<u8>));
    decode::<Old>(&new).expect("an earlier version reads the part that it knows");
}
