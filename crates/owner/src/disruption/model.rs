//! What filling images do to one serving image, fitted by recursive least squares.

use crate::disruption::lessons::Known;
use crate::disruption::squares::{bounded, dot};

/// How much of its past a model keeps at each report; about two thousand count, which is some
/// twenty seconds of one image on 48 workers.
const KEEP: f64 = 0.9995;

/// The coefficient that is taken for a pair before anything is known, as of images that do no harm.
pub(crate) const USUAL: f64 = 0.15;

/// The variance of a coefficient before anything is known.
pub(crate) const PRIOR: f64 = 0.5;

/// The largest variance of a coefficient that forgetting may bring back.
const LOOSEST: f64 = 0.5;

/// The coefficients of one serving image, one for each filling image, and their covariance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Model {
    theta: Vec<f64>,
    cover: Vec<Vec<f64>>,
}

impl Model {
    /// A model of what is known of each coefficient by itself.
    pub(crate) fn of(known: &[Known]) -> Self {
        let mut model = Self::default();
        model.grow(known.len());
        for (at, known) in known.iter().enumerate() {
            model.theta[at] = f64::from(known.coefficient);
            model.cover[at][at] = f64::from(known.variance).clamp(0.0, LOOSEST);
        }
        model
    }

    /// The coefficient of a filling image, by its number; nothing if that was never seen.
    pub(crate) fn coefficient(&self, at: usize) -> Option<f64> {
        self.theta.get(at).copied()
    }

    /// The variance of that coefficient.
    pub(crate) fn variance_of(&self, at: usize) -> Option<f64> {
        self.cover.get(at)?.get(at).copied()
    }

    /// How many filling images it has coefficients of.
    pub(crate) fn size(&self) -> usize {
        self.theta.len()
    }

    /// What is known of each coefficient by itself.
    pub(crate) fn known(&self) -> Vec<Known> {
        let pairs = self.theta.iter().zip(&self.cover).enumerate();
        let known = pairs.map(|(at, (theta, row))| Known {
            coefficient: *theta as f32,
            variance: row[at] as f32,
        });
        known.collect()
    }

    /// The variance of the pressure that uses are expected to add.
    pub(crate) fn variance(&self, x: &[f64]) -> f64 {
        let rows = self.cover.iter().zip(x);
        rows.map(|(row, xi)| xi * dot(row, x)).sum::<f64>().max(0.0)
    }

    /// Takes in a pressure `y` that uses `x` added, and its variance.
    pub(crate) fn update(&mut self, x: &[f64], y: f64, noise: f64) {
        self.grow(x.len());
        let px: Vec<f64> = self.cover.iter().map(|row| dot(row, x)).collect();
        let spread = dot(&px, x);
        if spread <= f64::EPSILON {
            return;
        }
        let variance = noise * KEEP + spread;
        let error = bounded(y - dot(&self.theta, x), variance);
        for (theta, p) in self.theta.iter_mut().zip(&px) {
            *theta += p / variance * error;
        }
        for (row, pi) in self.cover.iter_mut().zip(&px) {
            for (cell, pj) in row.iter_mut().zip(&px) {
                *cell = (*cell - pi * pj / variance) / KEEP;
            }
        }
        self.bound();
    }

    /// Keeps forgetting from making a coefficient looser than the bound.
    fn bound(&mut self) {
        for i in 0..self.cover.len() {
            let variance = self.cover[i][i];
            if variance <= LOOSEST {
                continue;
            }
            let scale = (LOOSEST / variance).sqrt();
            for j in 0..self.cover.len() {
                self.cover[i][j] *= scale;
                self.cover[j][i] *= scale;
            }
        }
    }

    /// Makes room for the coefficients of `n` filling images.
    fn grow(&mut self, n: usize) {
        while self.theta.len() < n {
            self.theta.push(USUAL);
            for row in &mut self.cover {
                row.push(0.0);
            }
            let at = self.theta.len() - 1;
            let mut row = vec![0.0; at + 1];
            row[at] = PRIOR;
            self.cover.push(row);
        }
    }
}
