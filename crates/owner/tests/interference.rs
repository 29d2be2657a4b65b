//! Which images slow each other, learned from noisy reports, and how owners act on it.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_base::Room;
use myrtle_job::{JobId, StepSpec, TaskId};
use myrtle_owner::{InterferenceModel, LoadCycles, pressure};

use common::{World, job, step};

/// The target of serving tasks, in milliseconds.
const TARGET: u32 = 150;

/// The tail latency that workers report: 25 ms without pressure, more with load and interference.
fn tail(pressure: f64) -> f64 {
    25.0 / (1.0 - pressure.min(0.99))
}

/// Trains an interference model on two serving steps beside three filler images that come and go.
fn train(seed: u64, windows: usize) -> InterferenceModel {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut model, mut cycles) = (InterferenceModel::default(), LoadCycles::default());
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
            let interference: f64 =
                uses.iter().map(|(n, u)| truth.get(&(&*image, &**n)).unwrap_or(&0.0) * u).sum();
            let noise = rng.random_range(0.9..1.1);
            let shown = pressure(tail(load + interference) * noise / f64::from(TARGET));
            let at = window * 500;
            let (own, beside) = (cycles.predict(task, at), model.expected_pressure(&image, &uses));
            model.learn(&image, shown - own.mean, own.variance + 0.002, &uses);
            cycles.observe(task, at, shown - beside.mean, beside.variance + 0.002);
        }
    }
    model
}

#[test]
fn pairs_that_interfere_stand_out_after_some_hundred_windows() {
    for seed in 0..8 {
        let model = train(seed, 400);
        for (image, bad, good) in [("s1", "f1", "f2"), ("s2", "f2", "f1")] {
            let (bad, good) =
                (model.added_pressure(image, bad, 0.1), model.added_pressure(image, good, 0.1));
            assert!(bad > 0.06, "seed {seed}: {image} {bad}");
            assert!(good < 0.035, "seed {seed}: {image} {good}");
        }
    }
}

#[test]
fn uncertainty_counts_against_a_filler_until_it_is_known() {
    let known = train(1, 400);
    let unknown = InterferenceModel::default();
    assert!(unknown.risk("s1", "f2", 0.1) > known.risk("s1", "f2", 0.1));
    assert!(unknown.risk("s1", "f2", 0.1) > unknown.added_pressure("s1", "f2", 0.1));
}

#[test]
fn images_that_different_fillers_slow_are_unlike() {
    let model = train(2, 400);
    assert_eq!(model.dissimilarity("s1", "s1"), 0.0);
    assert!(model.dissimilarity("s1", "s2") > 0.5);
}

fn serving(image: &str, count: u16) -> StepSpec {
    StepSpec {
        room: Room { cpu: 6_000, mem: 4_000, accel: 0 },
        long_running: true,
        image: Some(image.into()),
        target_ms: Some(TARGET),
        ..step(count)
    }
}

fn filler(image: &str, count: u16) -> StepSpec {
    StepSpec {
        room: Room { cpu: 3_000, mem: 4_000, accel: 0 },
        estimate_ms: 60_000,
        image: Some(image.into()),
        filler: true,
        has_checkpoints: true,
        ..step(count)
    }
}

/// Runs in steps of 100 ms, in each of which workers report tail latencies that rise from `tail` by 1 ms a step, in
/// milliseconds.
fn run_over_target(world: &mut World, tail: f64, steps: u32) {
    for step in 1..=steps {
        let tail = tail + f64::from(step);
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
        let mut images: Vec<_> = w.active_runs.values().filter_map(|f| f.image.clone()).collect();
        images.sort();
        images.dedup();
        images.len() > 1
    });
    assert_eq!(mixed.count(), 0);
}

#[test]
fn fillers_beside_a_task_over_its_target_stop_in_time() {
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
        let limit = worker.pace_of(TaskId { job: fill, round: 0, step: 0, index });
        assert!(matches!(limit, None | Some(0)), "task {index} has speed limit {limit:?}");
    }
}

#[test]
fn latencies_that_vary_around_the_target_do_not_delay_the_stop() {
    let mut world = World::new(1, 1);
    world.submit(job(vec![serving("a", 2)]));
    world.run(500);
    let fill = world.submit(job(vec![filler("f", 3)]));
    world.run(500);
    // Fillers that are known to interfere little are stopped last.
    for _ in 0..3 {
        world.workers.values_mut().for_each(|w| w.tail = Some(60.0));
        world.run(5_000);
        world.submit(job(vec![StepSpec { estimate_ms: 1_000, ..filler("f", 2) }]));
    }
    for look in 0..32 {
        let tail = if look % 8 == 7 { 146.0 } else { 152.0 + f64::from(look % 3) };
        world.workers.values_mut().for_each(|w| w.tail = Some(tail));
        world.run(100);
    }
    let worker = world.workers.values().next().unwrap();
    for index in 0..3 {
        let limit = worker.pace_of(TaskId { job: fill, round: 0, step: 0, index });
        assert!(matches!(limit, None | Some(0)), "task {index} has speed limit {limit:?}");
    }
}

#[test]
fn no_filler_is_added_beside_a_task_over_its_target() {
    let mut world = World::new(1, 1);
    world.submit(job(vec![serving("a", 2)]));
    world.run(500);
    run_over_target(&mut world, 600.0, 10);
    world.submit(job(vec![filler("f", 3)]));
    run_over_target(&mut world, 610.0, 20);
    assert_eq!(world.workers.values().next().unwrap().count(), 2);
}

#[test]
fn long_running_tasks_leave_room_to_short_ones() {
    let mut world = World::new(1, 4);
    world.submit(job(vec![StepSpec {
        room: Room { cpu: 8_000, mem: 1, accel: 0 },
        ..serving("a", 16)
    }]));
    world.run(1_000);
    let free = |world: &mut World| -> u32 {
        world.owner().cell.workers.values().map(|w| w.free().cpu).sum()
    };
    assert_eq!(free(&mut world), 32_000, "a whole worker is reserved for short tasks");
    world.run(3_000);
    assert_eq!(free(&mut world), 0, "long-running tasks use the reserved room after a while");
}
