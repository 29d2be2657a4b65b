//! The interference model: how much each filler image slows each serving image, fitted to the
//! reports of workers.
//!
//! The tail latency of a serving task grows as `rest / (1 - pressure)`. Its pressure is its own
//! load plus what the fillers beside it add: for each pair of images, a coefficient times the share
//! of the worker's processors that the filler uses. The coefficients of a serving image are fitted
//! by recursive least squares to the pressure beyond the forecast load. docs/report/DISRUPTION.md
//! holds the measurements.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::disruption::learned::Estimate;
use crate::disruption::model::{DEFAULT_COEFFICIENT, ImageModel, PRIOR_VARIANCE};
use crate::disruption::sine::Prediction;

/// The ratio of tail latency to target that a task without load is assumed to have. It only sets
/// the scale: another value scales pressures and their limit alike.
const BASE_RATIO: f64 = 1.0 / 6.0;

/// The pressure at which the tail latency equals its target.
pub(crate) const LIMIT: f64 = 1.0 - BASE_RATIO;

/// The highest pressure that is computed from a tail latency; above it, tails don't distinguish
/// pressures.
const MAX_PRESSURE: f64 = 0.97;

/// The variance of a pressure around the model if nothing changed within the window: a standard
/// deviation of 0.04.
pub(crate) const NOISE: f64 = 0.0016;

/// How many standard deviations of a coefficient are added to a filler's risk, so that an unknown
/// image is not taken to be harmless.
const CAUTION: f64 = 0.5;

/// Reports of a pressure above this are not used for learning, since they don't show how far above
/// it is.
const SATURATED: f64 = 0.92;

/// The share of a worker's processors that fillers use, by image.
pub type Usage = BTreeMap<Arc<str>, f64>;

/// The coefficients of all pairs of filler and serving images.
#[derive(Debug, Default, Clone)]
pub struct InterferenceModel {
    /// The index of each filler image in the models.
    indices: BTreeMap<Arc<str>, usize>,
    /// The model of each serving image.
    models: BTreeMap<Arc<str>, ImageModel>,
}

/// The pressure that a tail latency shows; `ratio` is the tail latency divided by its target.
pub fn pressure(ratio: f64) -> f64 {
    (1.0 - BASE_RATIO / ratio.max(1e-3)).clamp(0.0, MAX_PRESSURE)
}

impl InterferenceModel {
    /// The pressure that the fillers' usage is expected to add to a serving image.
    pub fn expected_pressure(&self, image: &str, uses: &Usage) -> Prediction {
        let mean = uses.iter().map(|(name, used)| self.coefficient(image, name) * used).sum();
        let variance = match self.models.get(image) {
            Some(model) => model.variance(&self.usage_row(uses, model.size())),
            None => uses.values().map(|used| PRIOR_VARIANCE * used * used).sum(),
        };
        Prediction { mean, variance }
    }

    /// Updates the model with the pressure that a tail latency showed beyond its task's own load,
    /// and with the variance of that value.
    pub fn learn(&mut self, image: &Arc<str>, beyond: f64, variance: f64, uses: &Usage) {
        if uses.is_empty() || beyond > SATURATED {
            return;
        }
        for name in uses.keys() {
            let next = self.indices.len();
            self.indices.entry(name.clone()).or_insert(next);
        }
        let x = self.usage_row(uses, self.indices.len());
        self.models.entry(image.clone()).or_default().update(&x, beyond, variance);
    }

    /// The pressure that a filler image adds to a serving image when it uses `share` of a worker.
    pub fn added_pressure(&self, image: &str, filler: &str, share: f64) -> f64 {
        self.coefficient(image, filler).max(0.0) * share
    }

    /// The same, plus a share of the coefficient's standard deviation.
    pub fn risk(&self, image: &str, filler: &str, share: f64) -> f64 {
        let doubt = CAUTION * self.std_dev(image, filler);
        (self.coefficient(image, filler) + doubt).max(0.0) * share
    }

    /// The filler images, sorted by index.
    pub(crate) fn fillers(&self) -> Vec<Arc<str>> {
        let mut fillers: Vec<_> = self.indices.iter().collect();
        fillers.sort_by_key(|(_, at)| **at);
        fillers.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// The estimated coefficients of each serving image, in the order of `fillers`.
    pub(crate) fn images(&self) -> Vec<(Arc<str>, Vec<Estimate>)> {
        self.models.iter().map(|(image, model)| (image.clone(), model.estimates())).collect()
    }

    /// Replaces the model by the estimates of an earlier owner.
    pub(crate) fn restore(
        &mut self,
        fillers: Vec<Arc<str>>,
        images: Vec<(Arc<str>, Vec<Estimate>)>,
    ) {
        self.indices = fillers.into_iter().enumerate().map(|(at, name)| (name, at)).collect();
        self.models = images
            .into_iter()
            .map(|(image, estimates)| (image, ImageModel::from_estimates(&estimates)))
            .collect();
    }

    /// How different two serving images are: 0 if the same fillers slow both, 1 if other fillers do
    /// or too little is known.
    pub fn dissimilarity(&self, a: &str, b: &str) -> f64 {
        if a == b {
            return 0.0;
        }
        let (mut diff, mut sum) = (0.0, 0.0);
        for name in self.indices.keys() {
            let (x, y) = (self.coefficient(a, name).max(0.0), self.coefficient(b, name).max(0.0));
            diff += (x - y).abs();
            sum += x.max(y);
        }
        if sum < 2.0 * DEFAULT_COEFFICIENT * self.indices.len().max(1) as f64 {
            1.0
        } else {
            diff / sum
        }
    }

    /// The usage as a row vector by image index.
    fn usage_row(&self, uses: &Usage, size: usize) -> Vec<f64> {
        let mut x = vec![0.0; size];
        for (name, used) in uses {
            if let Some(cell) = self.indices.get(name).and_then(|&at| x.get_mut(at)) {
                *cell += used;
            }
        }
        x
    }

    fn std_dev(&self, image: &str, filler: &str) -> f64 {
        let at = self.indices.get(filler).copied();
        let estimate = at.and_then(|at| self.models.get(image)?.coefficient_variance(at));
        estimate.unwrap_or(PRIOR_VARIANCE).max(0.0).sqrt()
    }

    fn coefficient(&self, image: &str, filler: &str) -> f64 {
        let at = self.indices.get(filler).copied();
        let estimate = at.and_then(|at| self.models.get(image)?.coefficient(at));
        estimate.unwrap_or(DEFAULT_COEFFICIENT)
    }
}
