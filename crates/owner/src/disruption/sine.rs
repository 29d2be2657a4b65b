//! A load as a mean and a wave of a known period, fitted by recursive least squares.

use crate::disruption::squares::{bounded, dot};

/// The mean load that is taken before any was seen, as a share of a task's processors.
const USUAL: f64 = 0.48;

/// The variance of the mean before any load was seen.
const MEAN_PRIOR: f64 = 0.02;

/// The variance of each half of the wave before any load was seen.
const WAVE_PRIOR: f64 = 0.03;

/// The variance of each coefficient of a fit that an earlier owner left: a standard deviation of
/// 0.06, since the hosts' clocks may differ.
const RECALLED: f64 = 0.004;

/// What is expected, and the variance around it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Guess {
    /// The expected value.
    pub mean: f64,
    /// The variance of the truth around it.
    pub variance: f64,
}

/// A mean and the two halves of a wave, fitted by recursive least squares.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fit {
    /// The mean, and the sine and cosine halves of the wave.
    pub(crate) theta: [f64; 3],
    /// Their covariance.
    cover: [[f64; 3]; 3],
}

impl Fit {
    /// A fit before any load was seen.
    pub(crate) fn new() -> Self {
        let mut cover = [[0.0; 3]; 3];
        cover[0][0] = MEAN_PRIOR;
        cover[1][1] = WAVE_PRIOR;
        cover[2][2] = WAVE_PRIOR;
        Self { theta: [USUAL, 0.0, 0.0], cover }
    }

    /// A fit that an earlier owner left, which is doubted a little.
    pub(crate) fn recalled(theta: [f32; 3]) -> Self {
        let mut cover = [[0.0; 3]; 3];
        (0..3).for_each(|i| cover[i][i] = RECALLED);
        Self { theta: theta.map(f64::from), cover }
    }

    /// The load at a moment that has these values of a mean, sine and cosine.
    pub(crate) fn guess(&self, x: [f64; 3]) -> Guess {
        let px = self.spread(x);
        Guess { mean: dot(&self.theta, &x), variance: dot(&px, &x).max(0.0) }
    }

    /// Takes in a value; tells how badly it was foretold.
    pub(crate) fn update(&mut self, x: [f64; 3], y: f64, noise: f64) -> f64 {
        let px = self.spread(x);
        let variance = dot(&px, &x) + noise;
        let error = bounded(y - dot(&self.theta, &x), variance);
        for i in 0..3 {
            self.theta[i] += px[i] / variance * error;
            for j in 0..3 {
                self.cover[i][j] -= px[i] * px[j] / variance;
            }
        }
        error * error / variance + variance.ln()
    }

    /// Adds to the variance of each coefficient.
    pub(crate) fn grow(&mut self, by: f64) {
        for i in 0..3 {
            self.cover[i][i] += by;
        }
    }

    /// The covariance of the coefficients with the load at a moment.
    fn spread(&self, x: [f64; 3]) -> [f64; 3] {
        self.cover.map(|row| dot(&row, &x))
    }
}
