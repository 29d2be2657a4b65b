//! Loads that swing are foretold from noisy reports.

use std::f64::consts::TAU;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_job::{JobId, TaskId};
use myrtle_owner::Swings;

/// The time between two reports, in milliseconds.
const EVERY: u64 = 800;

/// The variance of a report.
const NOISE: f64 = 0.0016;

fn task(job: u64) -> TaskId {
    TaskId { job: JobId(job), round: 0, step: 0, index: 0 }
}

/// A load that swings by `swing` around 0.48 with a period in seconds.
fn load(job: u64, period: f64, swing: f64, at: u64) -> f64 {
    0.48 + swing * (TAU * (at as f64 / 1000.0 / period) + job as f64 * 1.7).sin()
}

/// What is known after some time of reports of five steps.
fn seen(seed: u64, millis: u64, truth: impl Fn(u64, u64) -> f64) -> Swings {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut swings = Swings::default();
    for at in (0..millis).step_by(EVERY as usize) {
        for job in 1..=5 {
            let shown = truth(job, at) + rng.random_range(-0.06..0.06);
            swings.see(task(job), at, shown, NOISE);
        }
    }
    swings
}

/// The largest error of forecasts over the next two seconds.
fn worst(swings: &Swings, from: u64, truth: impl Fn(u64, u64) -> f64) -> f64 {
    let moments = (0..=2_000).step_by(250).map(|ahead| from + ahead);
    let errors = moments.flat_map(|at| {
        let truth = &truth;
        (1..=5).map(move |job| (swings.guess(task(job), at).mean - truth(job, at)).abs())
    });
    errors.fold(0.0, f64::max)
}

/// Names a load and how well it has to be foretold after a time in seconds.
macro_rules! case {
    ($name:ident, period $period:expr, swing $swing:expr, after $after:expr, within $within:expr) => {
        #[test]
        fn $name() {
            let truth = |job, at| load(job, $period, $swing, at);
            for seed in 0..4 {
                let swings = seen(seed, $after * 1_000, truth);
                let worst = worst(&swings, $after * 1_000, truth);
                assert!(worst < $within, "seed {seed}: {worst}");
            }
        }
    };
}

case!(a_short_wave_is_foretold_after_two_periods, period 10.0, swing 0.24, after 20, within 0.1);
case!(a_long_wave_is_foretold_after_two_periods, period 20.0, swing 0.24, after 40, within 0.1);
case!(a_load_that_stays_is_foretold, period 10.0, swing 0.0, after 10, within 0.06);

#[test]
fn single_spikes_hardly_move_a_forecast() {
    let truth = |job, at| load(job, 10.0, 0.24, at);
    let swings = seen(1, 20_000, truth);
    let mut spiked = swings.clone();
    spiked.see(task(1), 20_000, 0.95, NOISE);
    let (before, after) = (swings.guess(task(1), 21_000), spiked.guess(task(1), 21_000));
    assert!((before.mean - after.mean).abs() < 0.08, "{before:?} {after:?}");
}

#[test]
fn a_step_that_was_never_seen_is_guessed_with_doubt() {
    let swings = seen(1, 20_000, |job, at| load(job, 10.0, 0.24, at));
    let (known, unknown) = (swings.guess(task(1), 20_000), swings.guess(task(9), 20_000));
    assert!(unknown.variance > 10.0 * known.variance);
    let mut forgotten = swings;
    forgotten.forget(JobId(1));
    assert_eq!(forgotten.guess(task(1), 20_000).variance, unknown.variance);
}
