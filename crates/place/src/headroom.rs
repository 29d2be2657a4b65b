//! Adapts the share of a service's target latency that batch work may use to the measured tail.

/// Bounds of the planned share of the target.
const MIN_PLAN: f64 = 0.5;
const MAX_PLAN: f64 = 0.92;

/// Decrease after a measurement above the target, and increase after one within it.
const DECREASE: f64 = 0.02;
const INCREASE: f64 = 0.0002;

/// The planned share of the target; it settles where one measurement in a hundred is above the
/// target.
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
    /// The share of the target that placements may plan to use.
    pub fn plan(&self) -> f64 {
        self.plan
    }

    /// Updates the plan by a measured ratio of tail latency to target.
    pub fn update(&mut self, tail: f64) {
        let step = if tail > 1.0 { -DECREASE } else { INCREASE };
        self.plan = (self.plan + step).clamp(MIN_PLAN, MAX_PLAN);
    }
}
