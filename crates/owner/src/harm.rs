//! Which filling images disturb which serving ones, learned from what workers report.
//!
//! A serving task's tail grows as `base / (1 - pressure)`, where its pressure is its own load plus
//! what fillers beside it add: a coefficient of the pair of images times the share of the worker's
//! processors that they use. A task's own load moves slowly, so the coefficients are fitted to the
//! differences between two windows, where it all but cancels. Each serving image has its own
//! model, fitted by recursive least squares. docs/report/DISRUPTION.md holds the measurements.

use std::collections::BTreeMap;
use std::sync::Arc;

/// How much of its past a model keeps at each sample; about two thousand count, which is some
/// twenty seconds of one image on 48 workers.
const KEEP: f64 = 0.9995;

/// The coefficient that is taken for a pair before anything is known: images that do no harm were
/// measured between 0 and 0.25.
const USUAL: f64 = 0.15;

/// The variance of a coefficient before anything is known.
const PRIOR: f64 = 0.5;

/// The variance of a difference of pressures around the model: measured as 0.09 squared, more
/// where tails are told in few milliseconds.
const NOISE: f64 = 0.012;

/// The largest variance that forgetting may bring back.
const LOOSEST: f64 = 0.5;

/// The lowest share of its processors that a serving task uses, by which the base of its tail is
/// told from the lowest tail seen.
const LOWEST_LOAD: f64 = 0.24;

/// The lowest tail over its target that is taken before any was seen.
const FIRST_FLOOR: f64 = 0.22;

/// How fast the lowest tail is forgotten, as a share of the distance for each sample.
const FLOOR_RISE: f64 = 0.0002;

/// Pressures above this are not told apart by tails.
const FULL: f64 = 0.97;

/// How many standard deviations are counted against a filler.
const CAUTION: f64 = 0.5;

/// Pressures above this one say little of how far above they are.
const SATURATED: f64 = 0.92;

/// Uses by image, as shares of a worker's processors.
pub type Uses = BTreeMap<Arc<str>, f64>;

/// What is known of images that disturb each other.
#[derive(Debug, Default, Clone)]
pub struct Harm {
    names: BTreeMap<Arc<str>, usize>,
    models: BTreeMap<Arc<str>, Model>,
}

/// What is known of one serving image.
#[derive(Debug, Clone)]
struct Model {
    floor: f64,
    theta: Vec<f64>,
    cover: Vec<Vec<f64>>,
}

impl Harm {
    /// The pressure that a tail shows; `ratio` is the tail over its target.
    pub fn pressure(&mut self, image: &Arc<str>, ratio: f64) -> f64 {
        let model = self.models.entry(image.clone()).or_default();
        model.floor = model.floor.min(ratio);
        model.floor += FLOOR_RISE * (ratio.min(1.0) - model.floor);
        (1.0 - model.base() / ratio.max(1e-3)).clamp(0.0, FULL)
    }

    /// The pressure at which an image's tail is at its target.
    pub fn limit(&self, image: &str) -> f64 {
        self.models.get(image).map_or(1.0 - FIRST_FLOOR, |m| 1.0 - m.base())
    }

    /// Takes in how a serving task's pressure changed while uses beside it changed.
    pub fn learn(&mut self, image: &Arc<str>, from: f64, to: f64, before: &Uses, after: &Uses) {
        if from.min(to) > SATURATED {
            return;
        }
        for name in before.keys().chain(after.keys()) {
            let next = self.names.len();
            self.names.entry(name.clone()).or_insert(next);
        }
        let mut x = vec![0.0; self.names.len()];
        for (name, used) in after {
            x[self.names[name]] += used;
        }
        for (name, used) in before {
            x[self.names[name]] -= used;
        }
        self.models.entry(image.clone()).or_default().update(&x, to - from);
    }

    /// The pressure that a filling image adds to a serving one when it uses `share` of a worker.
    pub fn rise(&self, image: &str, filler: &str, share: f64) -> f64 {
        self.coefficient(image, filler).max(0.0) * share
    }

    /// The same, with doubt counted against the filler.
    pub fn risk(&self, image: &str, filler: &str, share: f64) -> f64 {
        let doubt = CAUTION * self.deviation(image, filler);
        (self.coefficient(image, filler) + doubt).max(0.0) * share
    }

    /// How unlike two serving images are: 0 if the same fillers disturb both, 1 if others do or
    /// too little is known.
    pub fn unlike(&self, a: &str, b: &str) -> f64 {
        if a == b {
            return 0.0;
        }
        let (mut apart, mut sum) = (0.0, 0.0);
        for name in self.names.keys() {
            let (x, y) = (self.coefficient(a, name).max(0.0), self.coefficient(b, name).max(0.0));
            apart += (x - y).abs();
            sum += x.max(y);
        }
        if sum < 2.0 * USUAL * self.names.len().max(1) as f64 { 1.0 } else { apart / sum }
    }

    fn deviation(&self, image: &str, filler: &str) -> f64 {
        let at = self.names.get(filler).copied();
        let known = at.and_then(|at| self.models.get(image)?.cover.get(at)?.get(at).copied());
        known.unwrap_or(PRIOR).max(0.0).sqrt()
    }

    fn coefficient(&self, image: &str, filler: &str) -> f64 {
        let at = self.names.get(filler).copied();
        let known = at.and_then(|at| self.models.get(image)?.theta.get(at).copied());
        known.unwrap_or(USUAL)
    }
}

impl Default for Model {
    fn default() -> Self {
        Self { floor: FIRST_FLOOR, theta: Vec::new(), cover: Vec::new() }
    }
}

impl Model {
    fn base(&self) -> f64 {
        self.floor * (1.0 - LOWEST_LOAD)
    }

    fn update(&mut self, x: &[f64], y: f64) {
        self.grow(x.len());
        let px: Vec<f64> =
            self.cover.iter().map(|row| row.iter().zip(x).map(|(p, x)| p * x).sum()).collect();
        let spread: f64 = px.iter().zip(x).map(|(p, x)| p * x).sum();
        if spread <= f64::EPSILON {
            return;
        }
        let denominator = NOISE * KEEP + spread;
        let guess: f64 = self.theta.iter().zip(x).map(|(t, x)| t * x).sum();
        let error = y - guess;
        for (theta, p) in self.theta.iter_mut().zip(&px) {
            *theta += p / denominator * error;
        }
        for (row, pi) in self.cover.iter_mut().zip(&px) {
            for (cell, pj) in row.iter_mut().zip(&px) {
                *cell = (*cell - pi * pj / denominator) / KEEP;
            }
        }
        self.bound();
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
