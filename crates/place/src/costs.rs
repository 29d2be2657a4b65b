//! What a kind of task costs a service beside it, learned from late measurements.
//!
//! A service's tail against its target is modelled as a base plus, for each kind beside it, the
//! kind's cost times the share of the processors that it was given. Each measurement moves the
//! base and the costs of the kinds that were there by a normalised step, bounded so that one bad
//! sample teaches little, and costs of kinds that are not seen fade back to the prior.

/// The cost of a kind that was never seen.
const PRIOR: f64 = 0.6;

/// The tail of a service alone against its target, before it was seen.
const BASE: f64 = 0.4;

/// The part of an error that one measurement corrects.
const RATE: f64 = 0.15;

/// The most that one measurement moves a cost.
const STEP: f64 = 0.15;

/// How fast a cost fades to the prior for each measurement without its kind.
const FADE: f64 = 0.0005;

/// One measurement and what was on the machine when it was taken.
#[derive(Debug, Clone, Default)]
pub struct Sample {
    /// The service.
    pub service: u16,
    /// Shares of the processors by kind at the time of the measurement.
    pub parts: Vec<(u16, f64)>,
    /// The measured tail against the target.
    pub tail: f64,
}

/// Learned costs for every pair of a service and a kind.
#[derive(Debug, Clone)]
pub struct Costs {
    kinds: usize,
    base: Vec<f64>,
    table: Vec<f64>,
}

impl Costs {
    /// Nothing learned yet, for this many services and kinds.
    pub fn new(services: usize, kinds: usize) -> Self {
        Self { kinds, base: vec![BASE; services], table: vec![PRIOR; services * kinds] }
    }

    /// What a full machine of `kind` would add to the service's tail against its target.
    pub fn of(&self, service: u16, kind: u16) -> f64 {
        let at = service as usize * self.kinds + kind as usize;
        self.table.get(at).copied().unwrap_or(PRIOR)
    }

    /// The expected tail against the target beside these shares.
    pub fn expect(&self, service: u16, parts: impl Iterator<Item = (u16, f64)>) -> f64 {
        let base = self.base.get(service as usize).copied().unwrap_or(BASE);
        parts.fold(base, |sum, (kind, part)| sum + self.of(service, kind) * part)
    }

    /// Takes in a measurement.
    pub fn learn(&mut self, sample: &Sample) {
        let error = sample.tail - self.expect(sample.service, sample.parts.iter().copied());
        let norm = 0.25 + sample.parts.iter().map(|p| p.1 * p.1).sum::<f64>();
        let service = sample.service as usize;
        let step = |part: f64| (RATE * error * part / norm).clamp(-STEP, STEP);
        if let Some(base) = self.base.get_mut(service) {
            *base = (*base + step(0.2)).max(0.05);
        }
        for kind in 0..self.kinds {
            let part = sample.parts.iter().find(|p| p.0 as usize == kind).map_or(0.0, |p| p.1);
            let Some(cost) = self.table.get_mut(service * self.kinds + kind) else { return };
            match part > 0.0 {
                true => *cost = (*cost + step(part)).max(0.0),
                false => *cost += (PRIOR - *cost) * FADE,
            }
        }
    }
}
