//! Workers whose room shrinks and grows while they run, and that start whatever they are told to.

mod common;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use common::{Faults, World, job, step};
use myrtle_base::Room;
use myrtle_job::StepSpec;

/// How many workers there are.
const WORKERS: usize = 6;

/// The room of a worker of so many cores.
fn room(cores: u32) -> Room {
    Room { cpu: cores * 1_000, mem: cores * 4_000, accel: 0 }
}

/// A world whose workers guard nothing.
fn unguarded(seed: u64) -> World {
    let mut world = World::new(seed, WORKERS);
    world.workers.values_mut().for_each(|w| w.unguarded = true);
    world.run(2_000);
    world
}

/// Resizes a worker by its number.
fn resize(world: &mut World, worker: usize, cores: u32) {
    let now = world.now;
    world.workers.values_mut().nth(worker).unwrap().resize(room(cores), now);
}

/// How many runs there are on a worker.
fn runs(world: &World, worker: usize) -> usize {
    world.workers.values().nth(worker).unwrap().count()
}

#[test]
fn a_room_that_grows_is_used_within_a_heartbeat() {
    let mut world = unguarded(1);
    (0..WORKERS).for_each(|worker| resize(&mut world, worker, 4));
    world.run(500);
    world.submit(job(vec![StepSpec { estimate: 20_000, ..step(24) }]));
    world.run(1_500);
    assert_eq!((0..WORKERS).map(|worker| runs(&world, worker)).sum::<usize>(), 12);
    resize(&mut world, 0, 32);
    world.run(1_000);
    assert_eq!(runs(&world, 0), 14);
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

#[test]
fn a_room_that_shrinks_takes_nothing_until_enough_has_ended() {
    let mut world = unguarded(2);
    world.submit(job(vec![StepSpec { estimate: 6_000, ..step(48) }]));
    world.run(1_000);
    (0..WORKERS).for_each(|worker| resize(&mut world, worker, 8));
    world.submit(job(vec![StepSpec { estimate: 1_000, ..step(24) }]));
    assert!(world.finish(30_000));
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

/// A room shrinks while the record of a start is on its way for seconds.
#[test]
fn what_was_placed_before_the_room_shrank_does_not_start_after_it() {
    let mut world = unguarded(3);
    world.owner().logged = false;
    world.submit(job(vec![StepSpec { estimate: 1_000, ..step(24) }]));
    world.run(200);
    (0..WORKERS).for_each(|worker| resize(&mut world, worker, 2));
    world.run(6_000);
    world.owner().logged = true;
    assert!(world.finish(60_000));
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

/// Plays a drawn course of rooms, jobs, owners and orders that are late or lost.
fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = unguarded(seed);
    world.faults = Faults { unanswered: 0.05, late: 0.0, queued: 0.1, ..Faults::default() };
    for _ in 0..60 {
        match rng.random_range(0..10) {
            0..4 => {
                let worker = rng.random_range(0..WORKERS);
                resize(&mut world, worker, rng.random_range(1..40));
            }
            4 => drop(world.take_over()),
            5 => world.owner().logged = rng.random(),
            _ => {
                let estimate = rng.random_range(200..3_000);
                let lasting = rng.random_bool(0.05);
                world.submit(job(vec![StepSpec { estimate, lasting, ..step(12) }]));
            }
        }
        world.run(rng.random_range(50..900));
    }
    assert_eq!(world.judge.broken, Vec::<String>::new(), "seed {seed}");
}

#[test]
fn no_start_goes_over_a_room_in_ten_courses() {
    (0..10).for_each(play);
}

#[test]
#[ignore = "by hand: cargo test -p myrtle-owner --test rooms -- --ignored"]
fn no_start_goes_over_a_room_in_two_hundred_courses() {
    (10..210).for_each(play);
}
