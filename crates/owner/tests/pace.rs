//! Fillers colocated serving tasks of periodic load: latency targets are met and fillers progress.

mod common;

use std::f64::consts::TAU;

use myrtle_base::Room;
use myrtle_job::{JobId, StepSpec, TaskId};

use common::{World, job, step};

/// The latency target of serving tasks, in milliseconds; their tail latency without load is a sixth of it.
const TARGET: u32 = 150;

/// What one filler requests, in thousandths of a core.
const FILLER_CPU: u32 = 3_000;

/// A worker with a serving job and fillers of one image.
struct Colocated {
    world: World,
    serving: JobId,
    filler: JobId,
    fillers: u16,
    /// The pressure that fillers of the image add when they use a whole worker.
    coefficient: f64,
}

impl Colocated {
    fn new(coefficient: f64, fillers: u16) -> Self {
        let mut world = World::new(1, 1);
        let serving = world.submit(job(vec![StepSpec {
            room: Room { cpu: 6_000, mem: 4_000, accel: 0 },
            long_running: true,
            image: Some("serving".into()),
            target_ms: Some(TARGET),
            ..step(4)
        }]));
        world.run(500);
        let filler = world.submit(job(vec![StepSpec {
            room: Room { cpu: FILLER_CPU, mem: 4_000, accel: 0 },
            estimate_ms: 600_000,
            image: Some("filler".into()),
            filler: true,
            has_checkpoints: true,
            ..step(fillers)
        }]));
        Self { world, serving, filler, fillers, coefficient }
    }

    /// Runs for a time in milliseconds; returns for how many of them serving tasks exceeded their target, and the mean
    /// speed of all fillers in percent.
    fn run(&mut self, millis: u64) -> (u64, f64) {
        let (mut over, mut sum, mut samples) = (0, 0.0, 0.0);
        for _ in 0..millis / 100 {
            let worker = self.world.workers.values_mut().next().unwrap();
            let filler = self.filler;
            let speeds = (0..self.fillers)
                .map(|index| worker.pace_of(TaskId { job: filler, round: 0, step: 0, index }));
            let speed: u32 = speeds.flatten().sum();
            let used = f64::from(speed * FILLER_CPU) / 100.0 / 32_000.0;
            let cycle = (TAU * self.world.now as f64 / 10_000.0).sin();
            let pressure = 0.48 + 0.24 * cycle + self.coefficient * used;
            let tail = f64::from(TARGET) / 6.0 / (1.0 - pressure.min(0.99));
            // Workers report whole milliseconds.
            worker.tail = Some(tail.ceil());
            over += if tail > f64::from(TARGET) { 100 } else { 0 };
            sum += f64::from(speed) / f64::from(self.fillers);
            samples += 1.0;
            self.world.run(100);
        }
        (over, sum / samples)
    }
}

#[test]
fn interfering_fillers_run_at_low_load_and_are_throttled_before_the_peak() {
    let mut colocated = Colocated::new(1.5, 3);
    colocated.run(20_000);
    let (over, speed) = colocated.run(40_000);
    assert!(over <= 500, "over the target for {over} of 40,000 ms");
    assert!(speed >= 40.0, "a mean speed of {speed} %");
    assert!(colocated.world.judge.broken.is_empty());
    assert!(colocated.world.owner().cell.state(colocated.serving).is_some());
}

#[test]
fn a_new_owner_recovers_the_learned_model_at_once() {
    let mut colocated = Colocated::new(1.5, 3);
    colocated.run(20_000);
    let task = TaskId { job: colocated.serving, round: 0, step: 0, index: 0 };
    let at = colocated.world.now + 500;
    let forecast = |colocated: &mut Colocated| {
        let cell = &colocated.world.owner().cell;
        (
            cell.load_cycles.predict(task, at).mean,
            cell.interference.added_pressure("serving", "filler", 1.0),
        )
    };
    let before = forecast(&mut colocated);
    colocated.world.owner().awake = false;
    colocated.world.take_over();
    let after = forecast(&mut colocated);
    assert!((before.0 - after.0).abs() < 0.01, "the load forecast: {before:?} {after:?}");
    assert!((before.1 - after.1).abs() < 0.01, "the interference: {before:?} {after:?}");
    let (over, _) = colocated.run(10_000);
    assert!(over <= 500, "over the target for {over} of 10,000 ms");
    assert!(colocated.world.judge.broken.is_empty());
}

#[test]
fn a_speed_limit_without_a_reply_is_sent_again() {
    let mut colocated = Colocated::new(1.5, 3);
    colocated.run(20_000);
    // Four of ten orders are carried out late and get no reply.
    colocated.world.faults.late = 0.4;
    let (over, speed) = colocated.run(40_000);
    assert!(over <= 2_000, "over the target for {over} of 40,000 ms");
    assert!(speed >= 30.0, "a mean speed of {speed} %");
    assert!(colocated.world.judge.broken.is_empty());
}

#[test]
fn load_forecasts_of_ended_jobs_are_not_recovered() {
    let mut colocated = Colocated::new(1.5, 3);
    colocated.run(10_000);
    let (now, serving) = (colocated.world.now, colocated.serving);
    let model = colocated.world.owner().cell.learned_model(now, now).unwrap();
    let task = TaskId { job: serving, round: 0, step: 0, index: 0 };
    let variance = |colocated: &mut Colocated| {
        colocated.world.owner().cell.load_cycles.predict(task, now).variance
    };
    let before = variance(&mut colocated);
    colocated.world.cancel(serving);
    colocated.world.owner().cell.restore_model(&model, now, now).unwrap();
    assert!(variance(&mut colocated) > 10.0 * before);
}

#[test]
fn an_undecodable_learned_model_is_rejected_and_changes_nothing() {
    let mut colocated = Colocated::new(1.5, 3);
    colocated.run(5_000);
    let cell = &mut colocated.world.owner().cell;
    let model = cell.learned_model(0, 0);
    assert!(model.is_some());
    assert!(cell.restore_model(b"not a model", 0, 0).is_err());
    assert_eq!(cell.learned_model(0, 0), model);
}

#[test]
fn light_fillers_run_on_at_the_peak() {
    let mut colocated = Colocated::new(0.15, 4);
    colocated.run(20_000);
    let (over, speed) = colocated.run(40_000);
    assert!(over <= 500, "over the target for {over} of 40,000 ms");
    assert!(speed >= 85.0, "a mean speed of {speed} %");
}
