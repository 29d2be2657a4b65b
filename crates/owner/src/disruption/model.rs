//! The interference coefficients of one serving image, fitted by recursive least squares.

use crate::disruption::learned::Estimate;
use crate::disruption::least_squares::{clamp_error, dot};

/// The forgetting factor of a model at each report: about two thousand reports count, some twenty
/// seconds of one image on 48 workers.
const FORGETTING: f64 = 0.9995;

/// The coefficient of a pair before any report, that of images that slow no others.
pub(crate) const DEFAULT_COEFFICIENT: f64 = 0.15;

/// The variance of a coefficient before any report.
pub(crate) const PRIOR_VARIANCE: f64 = 0.5;

/// The largest variance of a coefficient that forgetting may bring back.
const MAX_VARIANCE: f64 = 0.5;

/// The coefficients of one serving image, one for each filler image, and their covariance.
#[derive(Debug, Clone, Default)]
pub(crate) struct ImageModel {
    theta: Vec<f64>,
    covariance: Vec<Vec<f64>>,
}

impl ImageModel {
    /// A model of independent estimates, one for each coefficient.
    pub(crate) fn from_estimates(estimates: &[Estimate]) -> Self {
        let mut model = Self::default();
        model.grow(estimates.len());
        for (at, estimate) in estimates.iter().enumerate() {
            model.theta[at] = f64::from(estimate.coefficient);
            model.covariance[at][at] = f64::from(estimate.variance).clamp(0.0, MAX_VARIANCE);
        }
        model
    }

    /// The coefficient of a filler image, by its index; none if the image was never reported.
    pub(crate) fn coefficient(&self, at: usize) -> Option<f64> {
        self.theta.get(at).copied()
    }

    /// The variance of the same coefficient.
    pub(crate) fn coefficient_variance(&self, at: usize) -> Option<f64> {
        self.covariance.get(at)?.get(at).copied()
    }

    /// The number of filler images that have coefficients.
    pub(crate) fn size(&self) -> usize {
        self.theta.len()
    }

    /// The estimate of each coefficient by itself, without covariances.
    pub(crate) fn estimates(&self) -> Vec<Estimate> {
        let pairs = self.theta.iter().zip(&self.covariance).enumerate();
        let estimates = pairs.map(|(at, (theta, row))| Estimate {
            coefficient: *theta as f32,
            variance: row[at] as f32,
        });
        estimates.collect()
    }

    /// The variance of the pressure that usage `x` is expected to add.
    pub(crate) fn variance(&self, x: &[f64]) -> f64 {
        let rows = self.covariance.iter().zip(x);
        rows.map(|(row, xi)| xi * dot(row, x)).sum::<f64>().max(0.0)
    }

    /// Updates the coefficients with a pressure `y` that usage `x` added, and its variance.
    pub(crate) fn update(&mut self, x: &[f64], y: f64, noise: f64) {
        self.grow(x.len());
        let cross: Vec<f64> = self.covariance.iter().map(|row| dot(row, x)).collect();
        let usage_variance = dot(&cross, x);
        if usage_variance <= f64::EPSILON {
            return;
        }
        let variance = noise * FORGETTING + usage_variance;
        let error = clamp_error(y - dot(&self.theta, x), variance);
        for (theta, p) in self.theta.iter_mut().zip(&cross) {
            *theta += p / variance * error;
        }
        for (row, pi) in self.covariance.iter_mut().zip(&cross) {
            for (cell, pj) in row.iter_mut().zip(&cross) {
                *cell = (*cell - pi * pj / variance) / FORGETTING;
            }
        }
        self.limit_variance();
    }

    /// Scales the covariance down so that forgetting raises no variance above its bound.
    fn limit_variance(&mut self) {
        for i in 0..self.covariance.len() {
            let variance = self.covariance[i][i];
            if variance <= MAX_VARIANCE {
                continue;
            }
            let scale = (MAX_VARIANCE / variance).sqrt();
            for j in 0..self.covariance.len() {
                self.covariance[i][j] *= scale;
                self.covariance[j][i] *= scale;
            }
        }
    }

    /// Adds coefficients until there are `n`, one for each filler image.
    fn grow(&mut self, n: usize) {
        while self.theta.len() < n {
            self.theta.push(DEFAULT_COEFFICIENT);
            for row in &mut self.covariance {
                row.push(0.0);
            }
            let at = self.theta.len() - 1;
            let mut row = vec![0.0; at + 1];
            row[at] = PRIOR_VARIANCE;
            self.covariance.push(row);
        }
    }
}
