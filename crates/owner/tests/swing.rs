//! Forecasts of periodic loads from noisy reports.

use std::f64::consts::TAU;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_job::{JobId, TaskId};
use myrtle_owner::LoadCycles;

/// The time between two reports, in milliseconds.
const REPORT_INTERVAL: u64 = 800;

/// The variance of the noise in a report.
const VARIANCE: f64 = 0.0016;

fn task(job: u64) -> TaskId {
    TaskId { job: JobId(job), round: 0, step: 0, index: 0 }
}

/// The load at a time in milliseconds: a sine of an amplitude around 0.48, with a period in seconds.
fn load(job: u64, period: f64, amplitude: f64, at: u64) -> f64 {
    0.48 + amplitude * (TAU * (at as f64 / 1000.0 / period) + job as f64 * 1.7).sin()
}

/// The load cycles learned from reports of five steps over a time in milliseconds.
fn learn(seed: u64, millis: u64, truth: impl Fn(u64, u64) -> f64) -> LoadCycles {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut cycles = LoadCycles::default();
    for at in (0..millis).step_by(REPORT_INTERVAL as usize) {
        for job in 1..=5 {
            let reported = truth(job, at) + rng.random_range(-0.06..0.06);
            cycles.observe(task(job), at, reported, VARIANCE);
        }
    }
    cycles
}

/// The largest forecast error over the next two seconds.
fn max_error(cycles: &LoadCycles, from: u64, truth: impl Fn(u64, u64) -> f64) -> f64 {
    let times = (0..=2_000).step_by(250).map(|ahead| from + ahead);
    let errors = times.flat_map(|at| {
        let truth = &truth;
        (1..=5).map(move |job| (cycles.predict(task(job), at).mean - truth(job, at)).abs())
    });
    errors.fold(0.0, f64::max)
}

/// Declares a test of a load: its period in seconds, its amplitude, and the largest error after a time in seconds.
macro_rules! case {
    ($name:ident, period $period:expr, amplitude $amplitude:expr, after $after:expr, within $within:expr) => {
        #[test]
        fn $name() {
            let truth = |job, at| load(job, $period, $amplitude, at);
            for seed in 0..4 {
                let cycles = learn(seed, $after * 1_000, truth);
                let error = max_error(&cycles, $after * 1_000, truth);
                assert!(error < $within, "seed {seed}: {error}");
            }
        }
    };
}

case!(a_short_cycle_is_forecast_after_two_periods, period 10.0, amplitude 0.24, after 20, within 0.1);
case!(a_long_cycle_is_forecast_after_two_periods, period 20.0, amplitude 0.24, after 40, within 0.1);
case!(a_constant_load_is_forecast, period 10.0, amplitude 0.0, after 10, within 0.06);

#[test]
fn a_single_spike_hardly_changes_a_forecast() {
    let truth = |job, at| load(job, 10.0, 0.24, at);
    let cycles = learn(1, 20_000, truth);
    let mut spiked = cycles.clone();
    spiked.observe(task(1), 20_000, 0.95, VARIANCE);
    let (before, after) = (cycles.predict(task(1), 21_000), spiked.predict(task(1), 21_000));
    assert!((before.mean - after.mean).abs() < 0.08, "{before:?} {after:?}");
}

#[test]
fn the_forecast_of_an_unseen_step_has_a_high_variance() {
    let cycles = learn(1, 20_000, |job, at| load(job, 10.0, 0.24, at));
    let (known, unknown) = (cycles.predict(task(1), 20_000), cycles.predict(task(9), 20_000));
    assert!(unknown.variance > 10.0 * known.variance);
    let mut forgotten = cycles;
    forgotten.forget(JobId(1));
    assert_eq!(forgotten.predict(task(1), 20_000).variance, unknown.variance);
}
