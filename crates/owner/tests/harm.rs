//! Which images disturb which, learned from noisy reports; and what is done about it.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_base::Room;
use myrtle_job::{JobId, StepSpec, TaskId};
use myrtle_owner::{Harm, Swings, pressure};

use common::{World, job, step};

/// The target of serving tasks, in milliseconds.
const TARGET: u32 = 150;

/// A tail as workers tell it: 25 ms at rest, more with load and what presses on it.
fn tail(pressure: f64) -> f64 {
    25.0 / (1.0 - pressure.min(0.99))
}

/// Feeds learners what two serving steps show while three filling images come and go.
fn learned(seed: u64, windows: usize) -> Harm {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut harm, mut swings) = (Harm::default(), Swings::default());
    let truth: BTreeMap<(&str, &str), f64> =
        [(("s1", "f1"), 1.5), (("s2", "f2"), 1.2), (("s1", "f3"), 0.1), (("s2", "f3"), 0.1)].into();
    let names: Vec<Arc<str>> = ["f1", "f2", "f3"].map(Arc::from).to_vec();
    for (job, image) in [(1, "s1"), (2, "s2")] {
        let image: Arc<str> = image.into();
        let task = TaskId { job: JobId(job), round: 0, step: 0, index: 0 };
        let mut load: f64 = 0.4;
        for window in 0..windows as u64 {
            load = (load + rng.random_range(-0.04..0.04)).clamp(0.24, 0.7);
            let mut uses: BTreeMap<Arc<str>, f64> = BTreeMap::new();
            for name in &names {
                if rng.random_bool(0.4) {
                    uses.insert(name.clone(), rng.random_range(0.05..0.15));
                }
            }
            let pressed: f64 =
                uses.iter().map(|(n, u)| truth.get(&(&*image, &**n)).unwrap_or(&0.0) * u).sum();
            let noise = rng.random_range(0.9..1.1);
            let shown = pressure(tail(load + pressed) * noise / f64::from(TARGET));
            let at = window * 500;
            let (own, beside) = (swings.guess(task, at), harm.pressed(&image, &uses));
            harm.learn(&image, shown - own.mean, own.variance + 0.002, &uses);
            swings.see(task, at, shown - beside.mean, beside.variance + 0.002);
        }
    }
    harm
}

#[test]
fn harmful_pairs_stand_out_after_some_hundred_windows() {
    for seed in 0..8 {
        let harm = learned(seed, 400);
        for (image, bad, good) in [("s1", "f1", "f2"), ("s2", "f2", "f1")] {
            let (bad, good) = (harm.rise(image, bad, 0.1), harm.rise(image, good, 0.1));
            assert!(bad > 0.06, "seed {seed}: {image} {bad}");
            assert!(good < 0.035, "seed {seed}: {image} {good}");
        }
    }
}

#[test]
fn doubt_counts_against_a_filler_until_it_is_known() {
    let known = learned(1, 400);
    let unknown = Harm::default();
    assert!(unknown.risk("s1", "f2", 0.1) > known.risk("s1", "f2", 0.1));
    assert!(unknown.risk("s1", "f2", 0.1) > unknown.rise("s1", "f2", 0.1));
}

#[test]
fn images_that_the_same_fillers_disturb_are_alike() {
    let harm = learned(2, 400);
    assert_eq!(harm.unlike("s1", "s1"), 0.0);
    assert!(harm.unlike("s1", "s2") > 0.5);
}

fn serving(image: &str, count: u16) -> StepSpec {
    StepSpec {
        room: Room { cpu: 6_000, mem: 4_000, accel: 0 },
        lasting: true,
        image: Some(image.into()),
        target: Some(TARGET),
        ..step(count)
    }
}

fn filler(image: &str, count: u16) -> StepSpec {
    StepSpec {
        room: Room { cpu: 3_000, mem: 4_000, accel: 0 },
        estimate: 60_000,
        image: Some(image.into()),
        filler: true,
        saves: true,
        ..step(count)
    }
}

/// Lets time pass in tenths of a second, in each of which tails are told that are a little over
/// `tail`, each longer than the last, in milliseconds.
fn run_over_target(world: &mut World, tail: f64, looks: u32) {
    for look in 1..=looks {
        let tail = tail + f64::from(look);
        world.workers.values_mut().for_each(|w| w.tail = Some(tail));
        world.run(100);
    }
}

#[test]
fn serving_tasks_of_one_image_stay_together() {
    let mut world = World::new(1, 6);
    for image in ["a", "b"] {
        world.submit(job(vec![serving(image, 8)]));
        world.run(500);
    }
    let cell = &world.owner().cell;
    let mixed = cell.workers.values().filter(|w| {
        let mut images: Vec<_> = w.flights.values().filter_map(|f| f.image.clone()).collect();
        images.sort();
        images.dedup();
        images.len() > 1
    });
    assert_eq!(mixed.count(), 0);
}

#[test]
fn fillers_beside_a_task_over_its_target_halt_before_the_time_allowed() {
    let mut world = World::new(1, 1);
    let id = world.submit(job(vec![serving("a", 2)]));
    world.run(500);
    let fill = world.submit(job(vec![filler("f", 3)]));
    world.run(500);
    let victim = TaskId { job: id, round: 0, step: 0, index: 0 };
    run_over_target(&mut world, 600.0, 30);
    let worker = world.workers.values().next().unwrap();
    assert!(worker.runs(victim));
    for index in 0..3 {
        let pace = worker.pace_of(TaskId { job: fill, round: 0, step: 0, index });
        assert!(matches!(pace, None | Some(0)), "task {index} has pace {pace:?}");
    }
}

#[test]
fn figures_that_scatter_around_the_target_do_not_put_the_halt_off() {
    let mut world = World::new(1, 1);
    world.submit(job(vec![serving("a", 2)]));
    world.run(500);
    let fill = world.submit(job(vec![filler("f", 3)]));
    world.run(500);
    // Fillers that are known to be light go on for longest.
    for _ in 0..3 {
        world.workers.values_mut().for_each(|w| w.tail = Some(60.0));
        world.run(5_000);
        world.submit(job(vec![StepSpec { estimate: 1_000, ..filler("f", 2) }]));
    }
    for look in 0..32 {
        let tail = if look % 8 == 7 { 146.0 } else { 152.0 + f64::from(look % 3) };
        world.workers.values_mut().for_each(|w| w.tail = Some(tail));
        world.run(100);
    }
    let worker = world.workers.values().next().unwrap();
    for index in 0..3 {
        let pace = worker.pace_of(TaskId { job: fill, round: 0, step: 0, index });
        assert!(matches!(pace, None | Some(0)), "task {index} has pace {pace:?}");
    }
}

#[test]
fn nothing_is_added_beside_a_task_that_is_over_its_target() {
    let mut world = World::new(1, 1);
    world.submit(job(vec![serving("a", 2)]));
    world.run(500);
    run_over_target(&mut world, 600.0, 10);
    world.submit(job(vec![filler("f", 3)]));
    run_over_target(&mut world, 610.0, 20);
    assert_eq!(world.workers.values().next().unwrap().count(), 2);
}

#[test]
fn lasting_tasks_leave_room_to_short_ones() {
    let mut world = World::new(1, 4);
    world.submit(job(vec![StepSpec {
        room: Room { cpu: 8_000, mem: 1, accel: 0 },
        ..serving("a", 16)
    }]));
    world.run(1_000);
    let free = |world: &mut World| -> u32 {
        world.owner().cell.workers.values().map(|w| w.free().cpu).sum()
    };
    assert_eq!(free(&mut world), 32_000, "a whole worker is kept for short tasks");
    world.run(3_000);
    assert_eq!(free(&mut world), 0, "but lasting tasks do not wait for ever");
}
