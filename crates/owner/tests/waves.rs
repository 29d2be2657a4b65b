//! Maintenance waves, also across owners that end at any moment of a turn.

mod common;
mod machines;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use myrtle_owner::{Maintenance, WaveRecord};

use common::{World, job, step};
use machines::{Machines, serving_world};

// Guards against a successor that doesn't count the machines which its predecessor has had taken down.
#[rstest]
fn a_successor_counts_the_machines_that_are_down(
    #[values(0, 20, 100, 400, 1_000, 1_900, 2_100)] after: u64,
    #[values(1, 2)] limit: usize,
    #[values(false, true)] same_id: bool,
) {
    let mut world = World::new(5, 6);
    let mut machines = Machines::new(6, limit, 1);
    machines.same_id = same_id;
    while machines.begun.is_empty() {
        machines.run(&mut world, 10);
    }
    machines.run(&mut world, after);
    machines.succeed(&mut world);
    machines.finish(&mut world, 60_000);
}

// Guards against an order that is carried out after the successor has taken down another machine.
#[test]
fn a_successor_counts_machines_whose_order_is_under_way() {
    let mut world = World::new(5, 4);
    let mut machines = Machines::new(4, 1, 1);
    machines.travel = 3_000;
    while machines.orders == 0 {
        machines.run(&mut world, 10);
    }
    machines.succeed(&mut world);
    machines.finish(&mut world, 120_000);
}

#[test]
fn owners_in_a_row_keep_to_the_limit() {
    let mut world = World::new(5, 6);
    let mut machines = Machines::new(6, 1, 1);
    for _ in 0..8 {
        machines.run(&mut world, 700);
        machines.succeed(&mut world);
    }
    machines.finish(&mut world, 90_000);
}

// Each kind of course: owners end at random moments, replies are lost or late, machines run long-running tasks.
#[test]
fn drawn_courses_keep_to_the_limit() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = serving_world(seed, 0);
        let mut machines = Machines::new(6, rng.random_range(1..4), seed);
        machines.travel = [10, 200, 1_500][rng.random_range(0..3)];
        machines.lost = [0.0, 0.3][rng.random_range(0..2)];
        machines.same_id = rng.random_bool(0.5);
        for _ in 0..rng.random_range(1..6) {
            machines.run(&mut world, rng.random_range(0..4_000));
            machines.succeed(&mut world);
        }
        println!("seed {seed}");
        machines.finish(&mut world, 240_000);
    }
}

// Guards against a worker that gets no work any more, though the platform knows no maintenance for its machine.
#[test]
fn a_worker_whose_machine_is_not_in_the_wave_gets_work_again() {
    let mut world = World::new(5, 1);
    let wave = Machines::new(1, 1, 1).wave();
    let now = world.now;
    world.owner().cell.add_wave(wave, WaveRecord::default(), now);
    world.run(200);
    let now = world.now;
    assert!(world.owner().cell.advance_waves(now).is_empty(), "its worker is drained first");
    assert_eq!(world.owner().cell.advance_waves(now), [("m0".to_string(), 1)]);
    world.owner().cell.maintenance_replied(1, "m0", Maintenance::Dropped, now);
    world.submit(job(vec![step(2)]));
    assert!(world.finish(5_000));
}

// Guards against orders that are sent again while one is under way, and at a fixed pace however often they fail.
#[test]
fn a_service_that_fails_is_sent_fewer_orders() {
    let mut world = World::new(5, 12);
    let mut machines = Machines::new(12, 12, 1);
    machines.lost = 1.0;
    machines.run(&mut world, 10_000);
    assert!(machines.orders <= 12 * 6, "{} orders", machines.orders);
}

// Guards against a wave of many machines at once whose orders the platform refuses, as they are more than it takes.
#[test]
fn a_wide_wave_is_ordered_at_the_pace_that_the_platform_takes() {
    let mut world = World::new(5, 100);
    let mut machines = Machines::new(100, 100, 1);
    machines.run(&mut world, 1_000);
    assert!((20..=50).contains(&machines.orders), "{} orders in a second", machines.orders);
    machines.finish(&mut world, 20_000);
}
