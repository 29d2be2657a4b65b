//! Forecasts the load that the tasks of a serving step put on themselves.
//!
//! The tasks of a step share their users, so they share one load, and it swings: it is fitted as a
//! mean and a wave. The period is common to the steps of a cell; several are tried side by side,
//! and the one that has foretold best is believed. docs/report/DISRUPTION.md has the measurements.

use std::collections::BTreeMap;
use std::f64::consts::TAU;

use myrtle_job::{JobId, TaskId};

use crate::lessons::Loads;

/// The shortest period that is tried, in seconds: shorter ones pass within a filler's run.
const SHORTEST: f64 = 4.0;

/// The ratio of two neighbouring periods: a fit follows a wave whose period is off by half of it.
const RATIO: f64 = 1.1;

/// How many periods are tried: from 4 to 49 s.
const PERIODS: usize = 27;

/// The mean load that is taken before any was seen; measured: 0.24 to 0.72 of a task's processors.
const USUAL: f64 = 0.48;

/// The variance of the mean before any load was seen.
const MEAN_PRIOR: f64 = 0.02;

/// The variance of each half of the wave before any load was seen; measured: 0.24 at its crest.
const WAVE_PRIOR: f64 = 0.03;

/// The variance of each coefficient of a fit that an earlier owner left.
const RECALLED: f64 = 0.004;

/// How much the variance of each coefficient grows in a second, since services change.
const DRIFT: f64 = 0.000_05;

/// How much of the past a period's errors keep at each report; about a thousand count, which is
/// five seconds of a cell.
const KEEP: f64 = 0.999;

/// Errors beyond so many standard deviations count as this many.
const OUTLIER: f64 = 3.0;

/// The tasks that share a load: those of one step in one repetition of a job.
pub(crate) type StepKey = (JobId, u32, u16);

/// The step of a task.
pub(crate) fn step_of(task: TaskId) -> StepKey {
    (task.job, task.round, task.step)
}

/// What is expected, and the variance around it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Guess {
    /// The expected value.
    pub mean: f64,
    /// The variance of the truth around it.
    pub variance: f64,
}

/// What is known of the loads of a cell's serving steps.
#[derive(Debug, Clone)]
pub struct Swings {
    /// How badly each period has foretold, as a sum of logarithms of likelihoods.
    errors: [f64; PERIODS],
    /// What the waves' time is ahead of the host's steady clock, in milliseconds.
    origin: i64,
    steps: BTreeMap<StepKey, Track>,
}

/// The fits of one step, one for each period.
#[derive(Debug, Clone)]
struct Track {
    fits: [Fit; PERIODS],
    seen: u64,
}

/// A mean and the two halves of a wave, with their covariance.
#[derive(Debug, Clone, Copy)]
struct Fit {
    theta: [f64; 3],
    cover: [[f64; 3]; 3],
}

impl Default for Swings {
    fn default() -> Self {
        Self { errors: [0.0; PERIODS], origin: 0, steps: BTreeMap::new() }
    }
}

impl Swings {
    /// The load of a task at a moment; `at` is in milliseconds of the steady clock.
    pub fn guess(&self, task: TaskId, at: u64) -> Guess {
        let best = self.best();
        let fit = self.steps.get(&step_of(task)).map_or_else(Fit::new, |t| t.fits[best]);
        fit.guess(basis(best, self.origin + at as i64))
    }

    /// Takes in a load that a task of the step showed, with the variance of that figure.
    pub fn see(&mut self, task: TaskId, at: u64, load: f64, variance: f64) {
        let track = self.steps.entry(step_of(task)).or_insert_with(|| Track::new(at));
        let passed = at.saturating_sub(track.seen) as f64 / 1000.0;
        track.seen = track.seen.max(at);
        for (n, fit) in track.fits.iter_mut().enumerate() {
            fit.grow(DRIFT * passed);
            let badness = fit.update(basis(n, self.origin + at as i64), load, variance);
            self.errors[n] = self.errors[n] * KEEP + badness;
        }
    }

    /// Forgets the steps of a job that is over.
    pub fn forget(&mut self, job: JobId) {
        self.steps.retain(|(j, ..), _| *j != job);
    }

    /// What is known, for an owner on another host; steady clocks differ, the time of day hardly.
    pub(crate) fn known(&self, now: u64, wall: u64) -> Loads {
        let best = self.best();
        let steps = self.steps.iter().map(|(key, t)| (*key, t.fits[best].theta.map(|x| x as f32)));
        Loads {
            errors: self.errors.iter().map(|error| *error as f32).collect(),
            ahead: self.origin + now as i64 - wall as i64,
            steps: steps.collect(),
        }
    }

    /// Goes on with what was known.
    pub(crate) fn recall(&mut self, loads: Loads, now: u64, wall: u64) {
        let errors = self.errors.iter_mut().zip(&loads.errors);
        errors.for_each(|(own, error)| *own = f64::from(*error));
        self.origin = loads.ahead + wall as i64 - now as i64;
        let best = self.best();
        for (key, theta) in loads.steps {
            let mut track = Track::new(now);
            track.fits[best] = Fit::recalled(theta);
            self.steps.insert(key, track);
        }
    }

    /// The period that has foretold best.
    fn best(&self) -> usize {
        let errors = self.errors.iter().enumerate();
        errors.min_by(|a, b| a.1.total_cmp(b.1)).map_or(0, |(n, _)| n)
    }
}

impl Track {
    fn new(now: u64) -> Self {
        Self { fits: [Fit::new(); PERIODS], seen: now }
    }
}

impl Fit {
    fn new() -> Self {
        let mut cover = [[0.0; 3]; 3];
        cover[0][0] = MEAN_PRIOR;
        cover[1][1] = WAVE_PRIOR;
        cover[2][2] = WAVE_PRIOR;
        Self { theta: [USUAL, 0.0, 0.0], cover }
    }

    /// A fit of an earlier owner; the hosts' clocks may differ, so it is doubted a little.
    fn recalled(theta: [f32; 3]) -> Self {
        let mut cover = [[0.0; 3]; 3];
        (0..3).for_each(|i| cover[i][i] = RECALLED);
        Self { theta: theta.map(f64::from), cover }
    }

    fn guess(&self, x: [f64; 3]) -> Guess {
        let px = self.spread(x);
        Guess { mean: dot(self.theta, x), variance: dot(px, x).max(0.0) }
    }

    /// Takes in a value; tells how badly it was foretold.
    fn update(&mut self, x: [f64; 3], y: f64, noise: f64) -> f64 {
        let px = self.spread(x);
        let variance = dot(px, x) + noise;
        let most = OUTLIER * variance.sqrt();
        let error = (y - dot(self.theta, x)).clamp(-most, most);
        for i in 0..3 {
            self.theta[i] += px[i] / variance * error;
            for j in 0..3 {
                self.cover[i][j] -= px[i] * px[j] / variance;
            }
        }
        error * error / variance + variance.ln()
    }

    fn grow(&mut self, by: f64) {
        for i in 0..3 {
            self.cover[i][i] += by;
        }
    }

    fn spread(&self, x: [f64; 3]) -> [f64; 3] {
        self.cover.map(|row| dot(row, x))
    }
}

/// A wave's mean, sine and cosine at a moment.
fn basis(period: usize, at: i64) -> [f64; 3] {
    let seconds = SHORTEST * RATIO.powi(period as i32);
    let (sin, cos) = (TAU * at as f64 / 1000.0 / seconds).sin_cos();
    [1.0, sin, cos]
}

fn dot(a: [f64; 3], b: [f64; 3]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}
