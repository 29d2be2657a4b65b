//! Places by learned costs: services keep their targets, and batch work uses the rest.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::baseline::candidates;
use crate::{Costs, Fleet, Headroom, Machine, Placer, Sample, TaskRequest};

/// How many machines are sampled before the whole fleet is searched.
const SAMPLES: usize = 24;

/// The weight of the measured tail against the modelled one; the measurement is delayed.
const MEASURED_WEIGHT: f64 = 0.5;

/// Places tasks by the learned costs of pairs of a service and a kind.
#[derive(Debug)]
pub struct Learned {
    costs: Costs,
    headroom: Headroom,
    rng: ChaCha8Rng,
}

impl Learned {
    /// A policy without measurements, for this many services and kinds.
    pub fn new(services: usize, kinds: usize, seed: u64) -> Self {
        Self {
            costs: Costs::new(services, kinds),
            headroom: Headroom::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Updates the model by a measurement.
    pub fn update(&mut self, sample: &Sample) {
        self.headroom.update(sample.tail_ratio);
        self.costs.update(sample);
    }

    /// The learned costs.
    pub fn costs(&self) -> &Costs {
        &self.costs
    }

    /// The expected ratios of tail latency to target on a machine, without and with the task.
    fn predict(&self, machine: &Machine, request: &TaskRequest) -> (f64, f64) {
        let cores = f64::from(machine.room.cpu.max(1));
        let shares = machine.kinds.iter().map(|(k, cpu)| (*k, f64::from(*cpu) / cores));
        let model = self.costs.predict(machine.service, shares);
        let measured = if machine.tail_ratio > 0.0 { machine.tail_ratio } else { model };
        let now = model.max(model * (1.0 - MEASURED_WEIGHT) + measured * MEASURED_WEIGHT);
        let more =
            self.costs.cost(machine.service, request.kind) * machine.cpu_share(&request.room);
        (now, now + more)
    }

    /// The cost of a machine, or nothing if the service would miss its target.
    fn cost(&self, machine: &Machine, request: &TaskRequest) -> Option<f64> {
        let (now, then) = self.predict(machine, request);
        // A service that was never measured has no requests, so it can't be slowed.
        let over = machine.tail_ratio > 0.0 && then > self.headroom.plan();
        if over && !request.urgent {
            return None;
        }
        // Prefers machines where the task slows the service least; among equals, the fuller one.
        let rise = then - now;
        let penalty = if over { 10.0 * then } else { 0.0 };
        Some(penalty + rise + 0.1 * then - 0.05 * machine.used_share())
    }

    fn sampled(&mut self, fleet: &Fleet, request: &TaskRequest) -> Option<u32> {
        let n = fleet.machines.len();
        let mut best: Option<(f64, u32)> = None;
        for _ in 0..SAMPLES.min(n * 2) {
            let at = self.rng.random_range(0..n) as u32;
            let machine = &fleet.machines[at as usize];
            if request.avoid == Some(at) || !machine.accepts(request) {
                continue;
            }
            let Some(cost) = self.cost(machine, request) else { continue };
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, at));
            }
        }
        best.map(|b| b.1)
    }
}

impl Placer for Learned {
    fn place(&mut self, fleet: &Fleet, request: &TaskRequest) -> Option<u32> {
        if fleet.machines.is_empty() {
            return None;
        }
        if let Some(at) = self.sampled(fleet, request) {
            return Some(at);
        }
        let costs =
            candidates(fleet, request).filter_map(|(n, m)| Some((self.cost(m, request)?, n)));
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|c| c.1)
    }
}
