//! Ground truth hidden from the placer: interference costs, load, noise and measurement lag.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_base::Room;

/// Number of services.
pub const SERVICES: usize = 3;
/// Number of task kinds.
pub const KINDS: usize = 6;

/// Seconds between two measurements of a worker.
pub const SAMPLE_INTERVAL: u64 = 2;
/// Seconds until a measurement reaches the placer.
pub const SAMPLE_LAG: u64 = 3;

/// The room of every worker.
pub const WORKER: Room = Room { cpu: 32_000, mem: 125_000, accel: 0 };

/// Seconds of a model day, the period of the load cycle.
const DAY: f64 = 900.0;

/// Seconds for which one kind of task arrives more often than the others.
const PEAK: u64 = 120;

/// A deployment to simulate.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    /// Name in the report.
    pub name: &'static str,
    /// Number of workers.
    pub workers: usize,
    /// The share of arriving tasks that are watchers.
    pub watchers: f64,
    /// The mean run time of a batch task in seconds.
    pub run_time: f64,
    /// The mean interference cost of a service and a kind of task.
    pub cost: f64,
}

impl Site {
    /// A site with many watchers.
    pub const GAS: Site =
        Site { name: "gas", workers: 48, watchers: 0.15, run_time: 60.0, cost: 0.9 };

    /// A site with mostly batch tasks.
    pub const MARKET: Site =
        Site { name: "market", workers: 48, watchers: 0.04, run_time: 120.0, cost: 0.9 };
}

/// A task that arrives.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// The kind of task.
    pub kind: u16,
    /// The room it declares.
    pub room: Room,
    /// The price of its class.
    pub price: u32,
    /// Seconds of work at full speed; none for a watcher.
    pub work: Option<f64>,
}

/// Ground truth of one simulated fleet.
#[derive(Debug)]
pub struct Truth {
    site: Site,
    base: [f64; SERVICES],
    costs: [[f64; KINDS]; SERVICES],
    phases: Vec<f64>,
    drift: Vec<f64>,
    rng: ChaCha8Rng,
}

impl Truth {
    /// Draws a fleet for the site from the seed.
    pub fn new(site: Site, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut costs = [[0.0; KINDS]; SERVICES];
        for cost in costs.iter_mut().flatten() {
            // Squared, so that most pairs interfere little and a few a lot.
            let roll: f64 = rng.random();
            *cost = site.cost * (0.15 + 2.4 * roll * roll);
        }
        let base = std::array::from_fn(|_| rng.random_range(0.3..0.45));
        let phases = (0..site.workers).map(|_| rng.random_range(0.0..1.0)).collect();
        Self { site, base, costs, phases, drift: vec![0.0; site.workers], rng }
    }

    /// Returns the service that a worker runs.
    pub fn service(&self, worker: usize) -> u16 {
        (worker % SERVICES) as u16
    }

    /// Advances the random drift of the load by a second.
    pub fn tick(&mut self) {
        for drift in &mut self.drift {
            *drift = *drift * 0.95 + self.rng.random_range(-0.02..0.02);
        }
    }

    /// Returns tail latency over target, given the processor share of each kind beside the service.
    pub fn tail(&self, worker: usize, now: u64, shares: &[f64; KINDS]) -> f64 {
        let phase = now as f64 / DAY + self.phases[worker];
        let load = 0.85 + 0.15 * (phase * std::f64::consts::TAU).sin() + self.drift[worker];
        let service = self.service(worker) as usize;
        let costs = &self.costs[service];
        let interference: f64 = costs.iter().zip(shares).map(|(c, p)| c * p).sum();
        load * (self.base[service] + interference)
    }

    /// Adds measurement noise to a tail ratio.
    pub fn sampled(&mut self, tail: f64) -> f64 {
        tail * self.rng.random_range(0.94..1.06)
    }

    /// Draws the next task.
    pub fn arrival(&mut self, now: u64) -> Arrival {
        let peak = (now / PEAK) as usize % KINDS;
        let any = self.rng.random_range(0..KINDS);
        let kind = if self.rng.random::<f64>() < 0.4 { peak } else { any };
        let cores = [1, 2, 4][self.rng.random_range(0..3)];
        let watcher = self.rng.random::<f64>() < self.site.watchers;
        let cores = if watcher { 1 } else { cores };
        let work = self.site.run_time * self.rng.random_range(0.3..1.7);
        Arrival {
            kind: kind as u16,
            room: Room { cpu: cores * 1000, mem: cores * 3000, accel: 0 },
            price: if watcher { 3 } else { 1 },
            work: (!watcher).then_some(work),
        }
    }
}
