//! Maintenance waves whose machines have another worker than when their turns began.

mod common;
mod machines;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use myrtle_job::{Incarnation, StepSpec, WorkerRuns};
use myrtle_owner::{Maintenance, Wave, WaveRecord};

use common::{STEP, World, job, step};
use machines::{Machines, serving_world};

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

// Guards against a worker that joins while the order is under way and is given work which maintenance ends.
#[test]
fn a_worker_that_joins_while_its_order_is_under_way_gets_no_work() {
    for seed in 0..30 {
        let mut world = silent_world(4);
        let mut machines = Machines::new(2, 1, seed);
        machines.travel = 3_000;
        while machines.orders == 0 {
            machines.run(&mut world, 10);
        }
        machines.crash(&mut world, "m0", 50);
        for _ in 0..40 {
            world.submit(job(vec![step(16)]));
            machines.run(&mut world, 100);
        }
        machines.finish(&mut world, 120_000);
    }
}

/// Lets an owner order maintenance of the first machine for a wave of these machines, which begins now.
fn begin(world: &mut World, number: u64, machines: &[&str]) {
    let machines = machines.iter().map(|m| m.to_string()).collect();
    let (now, wave) = (world.now, Wave { number, machines, duration: 60_000, limit: 1 });
    let cell = &mut world.owner().cell;
    cell.add_wave(wave, WaveRecord::default(), now);
    cell.advance_waves(now);
    assert_eq!(cell.advance_waves(now + STEP), [("m0".to_string(), number)]);
}

/// Lets a worker answer a lease renewal that was sent at a time.
fn answer(world: &mut World, life: &Incarnation, sent: u64) {
    let (started_at, now) = (life.start(), world.now + 100);
    let held = WorkerRuns { started_at, clock_ms: now, running: Vec::new(), ended: Vec::new() };
    world.owner().cell.renewed(life, held, sent, now, now);
}

// Guards against an answer that was under way when maintenance began and is taken for one of the worker after it.
#[test]
fn an_answer_to_an_earlier_call_ends_no_turn() {
    let mut world = World::new(5, 2);
    world.run(200);
    let (life, now) = (world.life("w0"), world.now);
    begin(&mut world, 1, &["m0", "m1"]);
    world.owner().cell.maintenance_replied(1, "m0", Maintenance::Begun, now);
    for (sent, orders) in [(now - 50, 0), (now, 0), (now + 50, 1)] {
        answer(&mut world, &life, sent);
        let cell = &mut world.owner().cell;
        cell.advance_waves(now + 100);
        assert_eq!(cell.advance_waves(now + 200).len(), orders, "sent {sent}, begun {now}");
    }
}

// Guards against a worker that gets work again while another wave's order for its machine is under way.
#[test]
fn a_machine_stays_in_maintenance_for_the_other_wave() {
    let mut world = World::new(5, 2);
    world.run(200);
    let (life, now) = (world.life("w0"), world.now);
    let in_maintenance = |world: &mut World| world.owner().cell.workers[&life].in_maintenance;
    for number in [1, 2] {
        begin(&mut world, number, &["m0"]);
        world.now += 100;
    }
    for (number, stays) in [(1, true), (2, false)] {
        world.owner().cell.maintenance_replied(number, "m0", Maintenance::Begun, now);
        answer(&mut world, &life, now + 50);
        world.owner().cell.advance_waves(now + 300);
        assert_eq!(in_maintenance(&mut world), stays, "after the turn of wave {number}");
    }
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
#[rstest]
fn a_machine_of_two_waves_gets_no_work_in_between(#[values(20, 1_500)] travel: u64) {
    let mut world = busy_world(4, 3_000);
    let mut machines = Machines::of(&[&[0, 1], &[0, 2], &[0, 3]], 1, 1);
    machines.travel = travel;
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
        let mut world = serving_world(seed, [0, PATIENCE][rng.random_range(0..2)]);
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
