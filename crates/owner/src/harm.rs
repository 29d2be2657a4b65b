//! Which filling images disturb which serving ones, learned from what workers report.
//!
//! The logarithm of a serving task's tail over its target is taken to be linear in the processors
//! that each filling image uses beside it. Each serving image has its own model, fitted by
//! recursive least squares, which forgets slowly since loads shift.

use std::collections::BTreeMap;
use std::sync::Arc;

/// How much of its past a model keeps at each sample: about the last two thousand count, which
/// is some twenty seconds of one image on 48 workers.
const KEEP: f64 = 0.9995;

/// The variance that a coefficient may have before anything is known.
const PRIOR: f64 = 1.0;

/// The variance of a sample around the model; a tail is a rough figure of half a second.
const NOISE: f64 = 0.15;

/// Processors that count as one unit of use, in thousandths of a core.
const UNIT: f64 = 10_000.0;

/// The largest variance that forgetting may bring back.
const LOOSEST: f64 = 4.0;

/// What is known of images that disturb each other.
#[derive(Debug, Default, Clone)]
pub struct Harm {
    names: BTreeMap<Arc<str>, usize>,
    models: BTreeMap<Arc<str>, Model>,
}

/// A linear model of one serving image; coefficient 0 is the level without any filler.
#[derive(Debug, Default, Clone)]
struct Model {
    theta: Vec<f64>,
    cover: Vec<Vec<f64>>,
    samples: u64,
}

impl Harm {
    /// Takes in a sample: the serving image's tail over its target, and what fillers used there.
    pub fn learn(&mut self, image: &Arc<str>, ratio: f64, uses: &[(Arc<str>, f64)]) {
        let mut x = vec![0.0; 1 + self.names.len()];
        x[0] = 1.0;
        for (filler, used) in uses {
            let next = self.names.len();
            let at = 1 + *self.names.entry(filler.clone()).or_insert(next);
            if x.len() <= at {
                x.resize(at + 1, 0.0);
            }
            x[at] += used / UNIT;
        }
        let model = self.models.entry(image.clone()).or_default();
        model.update(&x, ratio.max(1e-3).ln());
    }

    /// By how much `cpu` of a filling image raises the logarithm of a serving image's tail.
    pub fn rise(&self, image: &str, filler: &str, cpu: f64) -> f64 {
        let (Some(model), Some(&at)) = (self.models.get(image), self.names.get(filler)) else {
            return 0.0;
        };
        model.theta.get(1 + at).map_or(0.0, |h| h.max(0.0) * cpu / UNIT)
    }

    /// The logarithm of tail over target that a serving image has without any filler.
    pub fn level(&self, image: &str) -> Option<f64> {
        let model = self.models.get(image).filter(|m| m.samples > 20)?;
        model.theta.first().copied()
    }
}

impl Model {
    fn update(&mut self, x: &[f64], y: f64) {
        self.grow(x.len());
        let px: Vec<f64> =
            self.cover.iter().map(|row| row.iter().zip(x).map(|(p, x)| p * x).sum()).collect();
        let spread: f64 = px.iter().zip(x).map(|(p, x)| p * x).sum();
        let denominator = NOISE * KEEP + spread;
        let guess: f64 = self.theta.iter().zip(x).map(|(t, x)| t * x).sum();
        // A single wild sample must not turn the model over.
        let error = (y - guess).clamp(-1.5, 1.5);
        for (theta, p) in self.theta.iter_mut().zip(&px) {
            *theta += p / denominator * error;
        }
        for (row, pi) in self.cover.iter_mut().zip(&px) {
            for (cell, pj) in row.iter_mut().zip(&px) {
                *cell = (*cell - pi * pj / denominator) / KEEP;
            }
        }
        self.bound();
        self.samples += 1;
    }

    /// Forgetting must not make a coefficient looser than the bound.
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

    fn grow(&mut self, n: usize) {
        while self.theta.len() < n {
            self.theta.push(0.0);
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
