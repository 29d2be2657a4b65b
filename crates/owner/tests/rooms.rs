//! Workers whose room shrinks and grows while they run, and that start every run they are ordered to.

mod common;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use common::{Faults, World, job, step};
use myrtle_base::Room;
use myrtle_job::StepSpec;

/// The number of workers.
const WORKERS: usize = 6;

/// The room of a worker with `cores`.
fn room(cores: u32) -> Room {
    Room { cpu: cores * 1_000, mem: cores * 4_000, accel: 0 }
}

/// A world whose workers accept runs beyond their room.
fn unguarded(seed: u64) -> World {
    let mut world = World::new(seed, WORKERS);
    world.workers.values_mut().for_each(|w| w.unguarded = true);
    world.run(2_000);
    world
}

/// Changes the room of the worker with this index.
fn resize(world: &mut World, worker: usize, cores: u32) {
    let now = world.now;
    world.workers.values_mut().nth(worker).unwrap().resize(room(cores), now);
}

/// The number of runs on a worker.
fn runs(world: &World, worker: usize) -> usize {
    world.workers.values().nth(worker).unwrap().count()
}

#[test]
fn room_that_grows_is_used_within_a_second() {
    let mut world = unguarded(1);
    (0..WORKERS).for_each(|worker| resize(&mut world, worker, 4));
    world.run(500);
    world.submit(job(vec![StepSpec { estimate_ms: 20_000, ..step(24) }]));
    world.run(1_500);
    assert_eq!((0..WORKERS).map(|worker| runs(&world, worker)).sum::<usize>(), 12);
    resize(&mut world, 0, 32);
    world.run(1_000);
    assert_eq!(runs(&world, 0), 14);
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

#[test]
fn room_that_shrinks_takes_no_runs_until_enough_have_ended() {
    let mut world = unguarded(2);
    world.submit(job(vec![StepSpec { estimate_ms: 6_000, ..step(48) }]));
    world.run(1_000);
    (0..WORKERS).for_each(|worker| resize(&mut world, worker, 8));
    world.submit(job(vec![StepSpec { estimate_ms: 1_000, ..step(24) }]));
    assert!(world.finish(30_000));
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

/// Room shrinks while the log takes seconds to store the record of a start.
#[test]
fn runs_placed_before_the_room_shrank_do_not_start_beyond_it() {
    let mut world = unguarded(3);
    world.owner().logged = false;
    world.submit(job(vec![StepSpec { estimate_ms: 1_000, ..step(24) }]));
    world.run(200);
    (0..WORKERS).for_each(|worker| resize(&mut world, worker, 2));
    world.run(6_000);
    world.owner().logged = true;
    assert!(world.finish(60_000));
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

/// Runs a random sequence of resizes, jobs, changes of owner, and orders that are queued or lose their replies.
fn run_random(seed: u64) {
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
                let long_running = rng.random_bool(0.05);
                world.submit(job(vec![StepSpec {
                    estimate_ms: estimate,
                    long_running,
                    ..step(12)
                }]));
            }
        }
        world.run(rng.random_range(50..900));
    }
    assert_eq!(world.judge.broken, Vec::<String>::new(), "seed {seed}");
}

#[test]
fn no_start_exceeds_the_room_in_ten_random_sequences() {
    (0..10).for_each(run_random);
}

#[test]
#[ignore = "by hand: cargo test -p myrtle-owner --test rooms -- --ignored"]
fn no_start_exceeds_the_room_in_two_hundred_random_sequences() {
    (10..210).for_each(run_random);
}
