//! What the placer does not know: true costs of pairs, load, noise, and the lag of measurements.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_base::Room;

/// Services and kinds of tasks.
pub const SERVICES: usize = 3;
pub const KINDS: usize = 6;

/// Seconds between two measurements, and until one is told.
pub const EVERY: u64 = 2;
pub const LAG: u64 = 3;

/// What every worker has.
pub const WORKER: Room = Room { cpu: 32_000, mem: 125_000, accel: 0 };

/// Seconds of a day of the model, in which load rises and falls.
const DAY: f64 = 900.0;

/// Seconds for which one kind of task comes in a wave.
const WAVE: u64 = 120;

/// A deployment.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    /// Its name.
    pub name: &'static str,
    /// Workers.
    pub workers: usize,
    /// The part of the tasks that are watchers.
    pub watchers: f64,
    /// The mean run time of a batch task in seconds.
    pub run_time: f64,
    /// The mean cost of a pair.
    pub cost: f64,
}

impl Site {
    /// Watchers weigh most.
    pub const GAS: Site =
        Site { name: "gas", workers: 48, watchers: 0.15, run_time: 60.0, cost: 0.9 };

    /// Batch weighs most.
    pub const MARKET: Site =
        Site { name: "market", workers: 48, watchers: 0.04, run_time: 120.0, cost: 0.9 };
}

/// A task that comes.
#[derive(Debug, Clone, Copy)]
pub struct Coming {
    /// Its kind.
    pub kind: u16,
    /// What it declares.
    pub room: Room,
    /// Its price.
    pub price: u32,
    /// Seconds of work; none for a watcher.
    pub work: Option<f64>,
}

/// The truth.
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
    /// A fleet of the site.
    pub fn new(site: Site, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut costs = [[0.0; KINDS]; SERVICES];
        for cost in costs.iter_mut().flatten() {
            // Most pairs get along, some do not at all.
            let roll: f64 = rng.random();
            *cost = site.cost * (0.15 + 2.4 * roll * roll);
        }
        let base = std::array::from_fn(|_| rng.random_range(0.3..0.45));
        let phases = (0..site.workers).map(|_| rng.random_range(0.0..1.0)).collect();
        Self { site, base, costs, phases, drift: vec![0.0; site.workers], rng }
    }

    /// The service of a worker.
    pub fn service(&self, worker: usize) -> u16 {
        (worker % SERVICES) as u16
    }

    /// Load drifts by itself.
    pub fn tick(&mut self) {
        for drift in &mut self.drift {
            *drift = *drift * 0.95 + self.rng.random_range(-0.02..0.02);
        }
    }

    /// The tail against the target beside these shares of the processors.
    pub fn tail(&self, worker: usize, now: u64, parts: &[f64; KINDS]) -> f64 {
        let turn = now as f64 / DAY + self.phases[worker];
        let load = 0.85 + 0.15 * (turn * std::f64::consts::TAU).sin() + self.drift[worker];
        let service = self.service(worker) as usize;
        let costs = &self.costs[service];
        let harm: f64 = costs.iter().zip(parts).map(|(c, p)| c * p).sum();
        load * (self.base[service] + harm)
    }

    /// A tail as it is measured.
    pub fn measured(&mut self, tail: f64) -> f64 {
        tail * self.rng.random_range(0.94..1.06)
    }

    /// The next task that comes.
    pub fn coming(&mut self, now: u64) -> Coming {
        let wave = (now / WAVE) as usize % KINDS;
        let any = self.rng.random_range(0..KINDS);
        let kind = if self.rng.random::<f64>() < 0.4 { wave } else { any };
        let cores = [1, 2, 4][self.rng.random_range(0..3)];
        let watcher = self.rng.random::<f64>() < self.site.watchers;
        let cores = if watcher { 1 } else { cores };
        let work = self.site.run_time * self.rng.random_range(0.3..1.7);
        Coming {
            kind: kind as u16,
            room: Room { cpu: cores * 1000, mem: cores * 3000, accel: 0 },
            price: if watcher { 3 } else { 1 },
            work: (!watcher).then_some(work),
        }
    }
}
