//! Maintenance waves whose machines have another worker than when their turns began.

mod common;
mod machines;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use myrtle_job::StepSpec;

use common::{World, job, step};
use machines::Machines;

/// How long an owner waits for the reply of a machine that is down, in milliseconds.
const PATIENCE: u64 = 900;

/// A world of so many workers whose machines are silent while they are down.
fn silent_world(count: usize) -> World {
    let mut world = World::new(5, count);
    world.patience = PATIENCE;
    world
}

/// The same with a task of some milliseconds on each worker.
fn busy_world(count: usize, millis: u64) -> World {
    let mut world = silent_world(count);
    let mut long = StepSpec { estimate_ms: millis, ..step(count as u16) };
    long.room.cpu = 20_000;
    world.submit(job(vec![long]));
    world.run(500);
    world
}

// Guards against a worker that joined before the order and is taken for the one after maintenance, and that is given
// work which maintenance ends.
#[rstest]
fn a_machine_that_crashes_while_it_is_drained_has_its_own_turn(
    #[values(200, 1_000, 5_000)] after: u64,
    #[values(100, 3_000)] downtime: u64,
    #[values(1, 2)] crashes: u32,
    #[values(false, true)] same_id: bool,
) {
    let mut world = busy_world(4, 9_000);
    let mut machines = Machines::of(&[&[0, 1, 2]], 1, 1);
    machines.same_id = same_id;
    machines.run(&mut world, after);
    for _ in 0..crashes {
        machines.crash(&mut world, "m0", downtime);
        machines.run(&mut world, downtime + 500);
    }
    world.submit(job(vec![step(64)]));
    machines.finish(&mut world, 120_000);
}

// The same where the machine service refuses the order for a while and the worker crashes meanwhile.
#[rstest]
fn a_machine_that_crashes_while_its_order_is_refused_has_its_own_turn(
    #[values(100, 1_100, 4_000, 8_900, 9_100, 9_500)] after: u64,
    #[values(100, 3_000)] downtime: u64,
    #[values(false, true)] same_id: bool,
) {
    let mut world = silent_world(4);
    let mut machines = Machines::of(&[&[0, 1]], 1, 1);
    machines.same_id = same_id;
    machines.busy_until = world.now + 9_000;
    machines.run(&mut world, after);
    machines.crash(&mut world, "m0", downtime);
    machines.finish(&mut world, 60_000);
}

// Guards against a wave that takes the worker after another wave's maintenance for that after its own; no disruption
// is needed.
#[rstest]
fn waves_that_share_a_machine_keep_to_their_limits(
    #[values(false, true)] same_id: bool,
    #[values(20, 1_500)] travel: u64,
) {
    let mut world = silent_world(4);
    let mut machines = Machines::of(&[&[0, 1], &[0, 2]], 1, 1);
    machines.same_id = same_id;
    machines.travel = travel;
    machines.finish(&mut world, 60_000);
}

// Guards against a worker that gets work again when one wave's turn ends, though another wave is about to maintain it.
#[test]
fn a_machine_of_two_waves_gets_no_work_in_between() {
    let mut world = busy_world(4, 3_000);
    let mut machines = Machines::of(&[&[0, 1], &[0, 2], &[0, 3]], 1, 1);
    for _ in 0..30 {
        world.submit(job(vec![step(4)]));
        machines.run(&mut world, 500);
    }
    machines.finish(&mut world, 60_000);
}

// Guards against a machine that stays down since its worker crashes right after maintenance.
#[rstest]
fn a_machine_that_crashes_after_maintenance_comes_back(
    #[values(2_010, 2_050, 2_100, 2_300)] after: u64,
    #[values(false, true)] same_id: bool,
) {
    let mut world = silent_world(3);
    let mut machines = Machines::new(3, 1, 1);
    machines.same_id = same_id;
    while machines.begun.is_empty() {
        machines.run(&mut world, 10);
    }
    machines.run(&mut world, after);
    machines.crash(&mut world, "m0", 1_000);
    machines.finish(&mut world, 60_000);
}

// Each kind of course: waves that share machines, crashes at any moment, owners that end, replies that are lost or
// late, orders that are refused, long-running tasks beside short ones.
#[test]
fn drawn_courses_keep_to_the_rules() {
    for seed in 0..150 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(seed, 8);
        world.patience = [0, PATIENCE][rng.random_range(0..2)];
        let mut serving = StepSpec { long_running: true, ..step(6) };
        serving.disruption_budget = Some(2);
        world.submit(job(vec![serving]));
        world.run(1_000);
        let waves: Vec<Vec<usize>> = (0..rng.random_range(1..4))
            .map(|_| (0..6).filter(|_| rng.random_bool(0.6)).collect())
            .filter(|wave: &Vec<usize>| !wave.is_empty())
            .collect();
        let waves: Vec<&[usize]> = waves.iter().map(Vec::as_slice).collect();
        let mut machines = Machines::of(&waves, rng.random_range(1..3), seed);
        machines.travel = [10, 200, 1_500][rng.random_range(0..3)];
        machines.lost = [0.0, 0.3][rng.random_range(0..2)];
        machines.same_id = rng.random_bool(0.5);
        machines.busy_until = world.now + [0, 5_000][rng.random_range(0..2)];
        for _ in 0..rng.random_range(1..20) {
            machines.run(&mut world, rng.random_range(0..1_500));
            match rng.random_range(0..6) {
                0 => machines.succeed(&mut world),
                1 => drop(world.submit(job(vec![step(8)]))),
                _ => {
                    let machine = format!("m{}", rng.random_range(0..8));
                    machines.crash(&mut world, &machine, rng.random_range(10..4_000));
                }
            }
        }
        println!("seed {seed}");
        machines.finish(&mut world, 300_000);
    }
}
