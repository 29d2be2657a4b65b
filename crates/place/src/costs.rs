//! Learns from delayed measurements how much each kind of task slows a service beside it.
//!
//! The ratio of a service's tail latency to its target is modelled as a base plus, for each kind
//! beside it, the kind's cost times the share of the processors that it was given. Each measurement
//! moves the base and the costs of the kinds that were present by a normalised step, bounded so
//! that one outlier has little effect, and costs of absent kinds decay towards the prior.

/// The cost of a kind without measurements.
const PRIOR: f64 = 0.6;

/// The ratio of tail latency to target of a service alone, without measurements.
const BASE: f64 = 0.4;

/// The fraction of an error that one measurement corrects.
const LEARNING_RATE: f64 = 0.15;

/// The largest change of a cost by one measurement.
const MAX_STEP: f64 = 0.15;

/// The fraction by which a cost approaches the prior for each measurement without its kind.
const DECAY: f64 = 0.0005;

/// One measurement and the kinds that were on the machine when it was taken.
#[derive(Debug, Clone, Default)]
pub struct Sample {
    /// The number of the service.
    pub service: u16,
    /// Shares of the processors by kind at the time of the measurement.
    pub shares: Vec<(u16, f64)>,
    /// The measured ratio of tail latency to target.
    pub tail_ratio: f64,
}

/// Learned costs for every pair of a service and a kind.
#[derive(Debug, Clone)]
pub struct Costs {
    kinds: usize,
    base: Vec<f64>,
    table: Vec<f64>,
}

impl Costs {
    /// A model without measurements, for this many services and kinds.
    pub fn new(services: usize, kinds: usize) -> Self {
        Self { kinds, base: vec![BASE; services], table: vec![PRIOR; services * kinds] }
    }

    /// What a kind adds to the service's ratio of tail latency to target when it uses the whole
    /// machine.
    pub fn cost(&self, service: u16, kind: u16) -> f64 {
        let at = service as usize * self.kinds + kind as usize;
        self.table.get(at).copied().unwrap_or(PRIOR)
    }

    /// The expected ratio of tail latency to target beside these shares.
    pub fn predict(&self, service: u16, parts: impl Iterator<Item = (u16, f64)>) -> f64 {
        let base = self.base.get(service as usize).copied().unwrap_or(BASE);
        parts.fold(base, |sum, (kind, share)| sum + self.cost(service, kind) * share)
    }

    /// Updates the model by a measurement.
    pub fn update(&mut self, sample: &Sample) {
        let error = sample.tail_ratio - self.predict(sample.service, sample.shares.iter().copied());
        let norm = 0.25 + sample.shares.iter().map(|p| p.1 * p.1).sum::<f64>();
        let service = sample.service as usize;
        let step = |share: f64| (LEARNING_RATE * error * share / norm).clamp(-MAX_STEP, MAX_STEP);
        if let Some(base) = self.base.get_mut(service) {
            *base = (*base + step(0.2)).max(0.05);
        }
        for kind in 0..self.kinds {
            let share = sample.shares.iter().find(|p| p.0 as usize == kind).map_or(0.0, |p| p.1);
            let Some(cost) = self.table.get_mut(service * self.kinds + kind) else { return };
            match share > 0.0 {
                true => *cost = (*cost + step(share)).max(0.0),
                false => *cost += (PRIOR - *cost) * DECAY,
            }
        }
    }
}
