//! How much of a service's target batch work may use up, following the observed tail.

/// The least and the most of the target that may be planned to be used.
const LEAST: f64 = 0.5;
const MOST: f64 = 0.92;

/// What a measurement beyond the target takes away, and one within gives back.
const DOWN: f64 = 0.02;
const UP: f64 = 0.0002;

/// The planned part of the target: one measurement in a hundred may be beyond.
#[derive(Debug, Clone)]
pub struct Headroom {
    plan: f64,
}

impl Default for Headroom {
    fn default() -> Self {
        Self { plan: 0.8 }
    }
}

impl Headroom {
    /// The part of the target that placements may plan to use.
    pub fn plan(&self) -> f64 {
        self.plan
    }

    /// Takes in a measurement of a tail against its target.
    pub fn seen(&mut self, tail: f64) {
        let step = if tail > 1.0 { -DOWN } else { UP };
        self.plan = (self.plan + step).clamp(LEAST, MOST);
    }
}
