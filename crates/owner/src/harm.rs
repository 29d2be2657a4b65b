//! Which filling images disturb which serving ones, learned from what workers report.
//!
//! A serving task's tail grows as `rest / (1 - pressure)`, where its pressure is its own load plus
//! what fillers beside it add: a coefficient of the pair of images times the share of the worker's
//! processors that they use. Each serving image has its own coefficients, fitted by recursive least
//! squares to what is left of the pressure beyond the forecast load.
//! docs/report/DISRUPTION.md holds the measurements.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::lessons::Known;
use crate::swing::Guess;

/// The tail over its target that a task without any load is taken to have. It only sets the scale
/// of pressures: another figure scales the pressures and their limit alike.
const REST: f64 = 1.0 / 6.0;

/// The pressure at which a tail is at its target.
pub(crate) const LIMIT: f64 = 1.0 - REST;

/// Pressures above this are not told apart by tails.
const FULL: f64 = 0.97;

/// How much of its past a model keeps at each report; about two thousand count, which is some
/// twenty seconds of one image on 48 workers.
const KEEP: f64 = 0.9995;

/// The coefficient that is taken for a pair before anything is known: images that do no harm were
/// measured between 0 and 0.25.
const USUAL: f64 = 0.15;

/// The variance of a coefficient before anything is known.
const PRIOR: f64 = 0.5;

/// The variance of a pressure around the model, where nothing changed within the window.
pub(crate) const NOISE: f64 = 0.0016;

/// Errors beyond so many standard deviations count as this many.
const OUTLIER: f64 = 3.0;

/// The largest variance that forgetting may bring back.
const LOOSEST: f64 = 0.5;

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
#[derive(Debug, Clone, Default)]
struct Model {
    theta: Vec<f64>,
    cover: Vec<Vec<f64>>,
}

/// The pressure that a tail shows; `ratio` is the tail over its target.
pub fn pressure(ratio: f64) -> f64 {
    (1.0 - REST / ratio.max(1e-3)).clamp(0.0, FULL)
}

impl Harm {
    /// What uses beside a serving image add to its pressure.
    pub fn pressed(&self, image: &str, uses: &Uses) -> Guess {
        let mean = uses.iter().map(|(name, used)| self.coefficient(image, name) * used).sum();
        let variance = match self.models.get(image) {
            Some(model) => model.variance(&self.row(uses, model.theta.len())),
            None => uses.values().map(|used| PRIOR * used * used).sum(),
        };
        Guess { mean, variance }
    }

    /// Takes in the pressure that a tail showed beyond its task's own load, and how sure that is.
    pub fn learn(&mut self, image: &Arc<str>, beyond: f64, variance: f64, uses: &Uses) {
        if uses.is_empty() || beyond > SATURATED {
            return;
        }
        for name in uses.keys() {
            let next = self.names.len();
            self.names.entry(name.clone()).or_insert(next);
        }
        let x = self.row(uses, self.names.len());
        self.models.entry(image.clone()).or_default().update(&x, beyond, variance);
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

    /// The filling images, and what each of them does to each serving image.
    pub(crate) fn known(&self) -> (Vec<Arc<str>>, Vec<(Arc<str>, Vec<Known>)>) {
        let mut fillers: Vec<_> = self.names.iter().collect();
        fillers.sort_by_key(|(_, at)| **at);
        let known = |model: &Model| {
            let pairs = model.theta.iter().zip(&model.cover).enumerate();
            let known = pairs.map(|(at, (theta, row))| Known {
                coefficient: *theta as f32,
                variance: row[at] as f32,
            });
            known.collect()
        };
        let images = self.models.iter().map(|(image, model)| (image.clone(), known(model)));
        (fillers.into_iter().map(|(name, _)| name.clone()).collect(), images.collect())
    }

    /// Goes on with what was known.
    pub(crate) fn recall(&mut self, fillers: Vec<Arc<str>>, images: Vec<(Arc<str>, Vec<Known>)>) {
        self.names = fillers.into_iter().enumerate().map(|(at, name)| (name, at)).collect();
        self.models = images.into_iter().map(|(image, known)| (image, Model::of(&known))).collect();
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

    /// Uses by the numbers of their images.
    fn row(&self, uses: &Uses, size: usize) -> Vec<f64> {
        let mut x = vec![0.0; size];
        for (name, used) in uses {
            if let Some(cell) = self.names.get(name).and_then(|&at| x.get_mut(at)) {
                *cell += used;
            }
        }
        x
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

impl Model {
    /// A model of what is known of each coefficient by itself.
    fn of(known: &[Known]) -> Self {
        let mut model = Self::default();
        model.grow(known.len());
        for (at, known) in known.iter().enumerate() {
            model.theta[at] = f64::from(known.coefficient);
            model.cover[at][at] = f64::from(known.variance).clamp(0.0, LOOSEST);
        }
        model
    }

    fn variance(&self, x: &[f64]) -> f64 {
        let rows = self.cover.iter().zip(x);
        rows.map(|(row, xi)| xi * dot(row, x)).sum::<f64>().max(0.0)
    }

    fn update(&mut self, x: &[f64], y: f64, noise: f64) {
        self.grow(x.len());
        let px: Vec<f64> = self.cover.iter().map(|row| dot(row, x)).collect();
        let spread = dot(&px, x);
        if spread <= f64::EPSILON {
            return;
        }
        let variance = noise * KEEP + spread;
        let most = OUTLIER * variance.sqrt();
        let error = (y - dot(&self.theta, x)).clamp(-most, most);
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

fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}
