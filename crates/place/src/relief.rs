//! What gives way on one machine when its service suffers: throttle first, evict last.

use myrtle_base::Millis;

/// Measurements beyond the target in a row before anything is done.
const PATIENCE: u32 = 2;

/// Measurements beyond the target in a row, with throttles in force, before a task is evicted.
const LAST: u32 = 5;

/// Measurements well within the target in a row before a throttle is lifted.
const CALM: u32 = 4;

/// The part of the target below which a machine is calm.
const WELL: f64 = 0.75;

/// What a throttled task keeps of its processors, in percent.
const THROTTLED: u8 = 40;

/// What one eviction of a watcher weighs in seconds of lost work.
const WATCHER: f64 = 600.0;

/// A task on the machine.
#[derive(Debug, Clone, Copy)]
pub struct Neighbour {
    /// The caller's number for it.
    pub id: u64,
    /// What its class costs.
    pub price: u32,
    /// What it is expected to add to the service's tail against its target.
    pub harm: f64,
    /// The work that would be lost, since its last checkpoint.
    pub lost: Millis,
    /// Whether it is a standing watcher.
    pub watcher: bool,
}

/// What to do on the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Act {
    /// Let the task keep this percentage of its processors.
    Throttle(u64, u8),
    /// Let it run freely again.
    Free(u64),
    /// Stop it after a checkpoint.
    Evict(u64),
}

/// The state of one machine.
#[derive(Debug, Clone, Default)]
pub struct Relief {
    over: u32,
    calm: u32,
    throttled: Vec<u64>,
}

impl Relief {
    /// Takes in a measurement of the tail against the target.
    pub fn seen(&mut self, tail: f64, neighbours: &[Neighbour]) -> Option<Act> {
        self.throttled.retain(|id| neighbours.iter().any(|t| t.id == *id));
        self.over = if tail > 1.0 { self.over + 1 } else { 0 };
        self.calm = if tail < WELL { self.calm + 1 } else { 0 };
        if self.over >= PATIENCE {
            return self.relieve(neighbours);
        }
        if self.calm >= CALM {
            self.calm = 0;
            return self.throttled.pop().map(Act::Free);
        }
        None
    }

    /// The tasks that are slowed down.
    pub fn throttled(&self) -> &[u64] {
        &self.throttled
    }

    fn relieve(&mut self, neighbours: &[Neighbour]) -> Option<Act> {
        let running = neighbours.iter().filter(|t| !self.throttled.contains(&t.id) && t.harm > 0.0);
        let worst = running.max_by(|a, b| worth(a).total_cmp(&worth(b)));
        if let Some(worst) = worst {
            self.throttled.push(worst.id);
            return Some(Act::Throttle(worst.id, THROTTLED));
        }
        if self.over < LAST {
            return None;
        }
        self.over = 0;
        let cheapest = neighbours.iter().min_by(|a, b| loss(a).total_cmp(&loss(b)))?;
        Some(Act::Evict(cheapest.id))
    }
}

/// How much a throttle brings against what it costs.
fn worth(neighbour: &Neighbour) -> f64 {
    neighbour.harm / f64::from(1 + neighbour.price)
}

/// What an eviction loses, for each part of the harm that goes.
fn loss(neighbour: &Neighbour) -> f64 {
    let watcher = if neighbour.watcher { WATCHER } else { 0.0 };
    let work = neighbour.lost.0 as f64 / 1000.0;
    f64::from(1 + neighbour.price) * (1.0 + work + watcher) / (0.01 + neighbour.harm)
}
