//! A load as a mean and a sinusoid of a given period, fitted by recursive least squares.

use crate::disruption::least_squares::{clamp_error, dot};

/// The assumed mean load before any report, as a share of a task's processors.
const MEAN_LOAD: f64 = 0.48;

/// The variance of the mean before any report.
const MEAN_VARIANCE: f64 = 0.02;

/// The variance of the sine and cosine coefficients before any report.
const SINE_VARIANCE: f64 = 0.03;

/// The variance of each coefficient of a restored fit: a standard deviation of 0.06, since the
/// hosts' clocks may differ.
const RESTORED_VARIANCE: f64 = 0.004;

/// A predicted value and its variance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prediction {
    /// The expected value.
    pub mean: f64,
    /// The variance of the true value around it.
    pub variance: f64,
}

/// A mean and the sine and cosine coefficients of one period, with their covariance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fit {
    /// The mean, sine and cosine coefficients.
    pub(crate) theta: [f64; 3],
    /// Their covariance.
    covariance: [[f64; 3]; 3],
}

impl Fit {
    /// A fit before any report.
    pub(crate) fn new() -> Self {
        let mut covariance = [[0.0; 3]; 3];
        covariance[0][0] = MEAN_VARIANCE;
        covariance[1][1] = SINE_VARIANCE;
        covariance[2][2] = SINE_VARIANCE;
        Self { theta: [MEAN_LOAD, 0.0, 0.0], covariance }
    }

    /// A fit with the coefficients of an earlier owner and some variance.
    pub(crate) fn restored(theta: [f32; 3]) -> Self {
        let mut covariance = [[0.0; 3]; 3];
        (0..3).for_each(|i| covariance[i][i] = RESTORED_VARIANCE);
        Self { theta: theta.map(f64::from), covariance }
    }

    /// The load at a time with the basis `x`: 1, sine and cosine.
    pub(crate) fn predict(&self, x: [f64; 3]) -> Prediction {
        let cross = self.cross_covariance(x);
        Prediction { mean: dot(&self.theta, &x), variance: dot(&cross, &x).max(0.0) }
    }

    /// Updates the fit with a value; returns the negative log-likelihood that the fit gave it, up
    /// to a factor and a constant.
    pub(crate) fn update(&mut self, x: [f64; 3], y: f64, noise: f64) -> f64 {
        let cross = self.cross_covariance(x);
        let variance = dot(&cross, &x) + noise;
        let error = clamp_error(y - dot(&self.theta, &x), variance);
        for i in 0..3 {
            self.theta[i] += cross[i] / variance * error;
            for j in 0..3 {
                self.covariance[i][j] -= cross[i] * cross[j] / variance;
            }
        }
        error * error / variance + variance.ln()
    }

    /// Adds `by` to the variance of each coefficient.
    pub(crate) fn add_variance(&mut self, by: f64) {
        for i in 0..3 {
            self.covariance[i][i] += by;
        }
    }

    /// The covariance of the coefficients with the load at a time.
    fn cross_covariance(&self, x: [f64; 3]) -> [f64; 3] {
        self.covariance.map(|row| dot(&row, &x))
    }
}
