//! Forecasts the load of the tasks of a serving step.
//!
//! The tasks of a step share their users and so one load, which rises and falls periodically: the
//! load cycle, fitted as a mean and a sinusoid. All steps of a cell share one period; several are
//! fitted side by side, and the one with the smallest prediction error is used.
//! docs/report/DISRUPTION.md has the measurements.

use std::collections::BTreeMap;
use std::f64::consts::TAU;

use myrtle_job::{JobId, TaskId};

use crate::disruption::learned::LearnedLoads;
use crate::disruption::sine::{Fit, Prediction};
use crate::placing::step::{StepKey, step_of};

/// The shortest period that is fitted, in seconds; shorter cycles pass within a filler's run.
const MIN_PERIOD_S: f64 = 4.0;

/// The ratio of neighbouring periods: a fit follows a cycle whose period is off by half of it.
const PERIOD_RATIO: f64 = 1.1;

/// The number of periods that are fitted: from 4 to 49 s.
const PERIODS: usize = 27;

/// How much the variance of each coefficient grows in a second, since services change.
const DRIFT_PER_S: f64 = 0.000_05;

/// The forgetting factor of a period's error at each report: about a thousand reports count, which
/// is five seconds of a cell.
const FORGETTING: f64 = 0.999;

/// The load cycles of a cell's serving steps.
#[derive(Debug, Clone)]
pub struct LoadCycles {
    /// The prediction error of each period: the larger, the less likely it made the reported loads.
    errors: [f64; PERIODS],
    /// How far the clock of the load cycles is ahead of the host's steady clock, in milliseconds.
    cycle_offset: i64,
    /// The fits of each step.
    steps: BTreeMap<StepKey, StepFits>,
    /// The basis of all periods at the last reported time, kept since all reports of a worker have
    /// the same time.
    bases: (i64, [[f64; 3]; PERIODS]),
}

/// The fits of one step, one for each period.
#[derive(Debug, Clone)]
struct StepFits {
    fits: [Fit; PERIODS],
    /// When its load was last reported.
    reported_at: u64,
}

impl Default for LoadCycles {
    fn default() -> Self {
        Self {
            errors: [0.0; PERIODS],
            cycle_offset: 0,
            steps: BTreeMap::new(),
            bases: all_bases(0),
        }
    }
}

impl LoadCycles {
    /// The forecast load of a task; `at` is in milliseconds of the steady clock.
    pub fn predict(&self, task: TaskId, at: u64) -> Prediction {
        let best = self.best();
        let fit = self.steps.get(&step_of(task)).map_or_else(Fit::new, |t| t.fits[best]);
        fit.predict(basis(best, self.cycle_offset + at as i64))
    }

    /// Updates the cycles with the load that a task of the step showed, and the variance of that
    /// value.
    pub fn observe(&mut self, task: TaskId, at: u64, load: f64, variance: f64) {
        let moment = self.cycle_offset + at as i64;
        if self.bases.0 != moment {
            self.bases = all_bases(moment);
        }
        let step = self.steps.entry(step_of(task)).or_insert_with(|| StepFits::new(at));
        let elapsed_s = at.saturating_sub(step.reported_at) as f64 / 1000.0;
        step.reported_at = step.reported_at.max(at);
        for (n, fit) in step.fits.iter_mut().enumerate() {
            fit.add_variance(DRIFT_PER_S * elapsed_s);
            let loss = fit.update(self.bases.1[n], load, variance);
            self.errors[n] = self.errors[n] * FORGETTING + loss;
        }
    }

    /// Removes the steps of a job that has ended.
    pub fn forget(&mut self, job: JobId) {
        self.retain(|j| j != job);
    }

    /// Keeps only the steps of jobs for which `keep` is true.
    pub(crate) fn retain(&mut self, keep: impl Fn(JobId) -> bool) {
        self.steps.retain(|(job, ..), _| keep(*job));
    }

    /// The load cycles for an owner on another host; they are relative to the time of day, as
    /// steady clocks of hosts differ.
    pub(crate) fn learned(&self, now: u64, wall: u64) -> LearnedLoads {
        let best = self.best();
        let steps = self.steps.iter().map(|(key, t)| (*key, t.fits[best].theta.map(|x| x as f32)));
        LearnedLoads {
            errors: self.errors.iter().map(|error| *error as f32).collect(),
            wall_offset: self.cycle_offset + now as i64 - wall as i64,
            steps: steps.collect(),
        }
    }

    /// Restores the load cycles of an earlier owner.
    pub(crate) fn restore(&mut self, loads: LearnedLoads, now: u64, wall: u64) {
        let errors = self.errors.iter_mut().zip(&loads.errors);
        errors.for_each(|(own, error)| *own = f64::from(*error));
        self.cycle_offset = loads.wall_offset + wall as i64 - now as i64;
        let best = self.best();
        for (key, theta) in loads.steps {
            let mut step = StepFits::new(now);
            step.fits[best] = Fit::restored(theta);
            self.steps.insert(key, step);
        }
    }

    /// The index of the period with the smallest prediction error.
    fn best(&self) -> usize {
        let errors = self.errors.iter().enumerate();
        errors.min_by(|a, b| a.1.total_cmp(b.1)).map_or(0, |(n, _)| n)
    }
}

impl StepFits {
    fn new(now: u64) -> Self {
        Self { fits: [Fit::new(); PERIODS], reported_at: now }
    }
}

/// A time and the basis of all periods at that time.
fn all_bases(at: i64) -> (i64, [[f64; 3]; PERIODS]) {
    (at, std::array::from_fn(|period| basis(period, at)))
}

/// The basis of a period at a time: 1, sine and cosine.
fn basis(period: usize, at: i64) -> [f64; 3] {
    let seconds = MIN_PERIOD_S * PERIOD_RATIO.powi(period as i32);
    let (sin, cos) = (TAU * at as f64 / 1000.0 / seconds).sin_cos();
    [1.0, sin, cos]
}
