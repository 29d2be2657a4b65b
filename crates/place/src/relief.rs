//! Chooses which task on a machine to slow when its service exceeds its target: throttles first,
//! evicts last.

use myrtle_base::Millis;

/// Consecutive measurements above the target before a task is throttled.
const THROTTLE_AFTER: u32 = 2;

/// Consecutive measurements above the target, with throttles in force, before a task is evicted.
const EVICT_AFTER: u32 = 5;

/// Consecutive measurements well within the target before a throttle is lifted.
const LIFT_AFTER: u32 = 4;

/// The ratio of tail latency to target below which a measurement is well within it.
const CALM_BELOW: f64 = 0.75;

/// The share of its processors that a throttled task keeps, in percent.
const THROTTLED_PERCENT: u8 = 40;

/// The weight of evicting a watcher, in seconds of lost work.
const WATCHER_WEIGHT: f64 = 600.0;

/// A task on the machine.
#[derive(Debug, Clone, Copy)]
pub struct Neighbour {
    /// The caller's number for it.
    pub id: u64,
    /// The price of its class.
    pub price: u32,
    /// What it is expected to add to the service's ratio of tail latency to target.
    pub slowdown: f64,
    /// The work since its last checkpoint, which an eviction would lose.
    pub unsaved: Millis,
    /// Whether it is a long-running watcher.
    pub watcher: bool,
}

/// An action on the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Limits the task to this percentage of its processors.
    Throttle(u64, u8),
    /// Lifts the task's throttle.
    Lift(u64),
    /// Stops the task after a checkpoint.
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
    /// Chooses an action, if any, after a measured ratio of tail latency to target.
    pub fn observe(&mut self, tail: f64, neighbours: &[Neighbour]) -> Option<Action> {
        self.throttled.retain(|id| neighbours.iter().any(|t| t.id == *id));
        self.over = if tail > 1.0 { self.over + 1 } else { 0 };
        self.calm = if tail < CALM_BELOW { self.calm + 1 } else { 0 };
        if self.over >= THROTTLE_AFTER {
            return self.choose_task(neighbours);
        }
        if self.calm >= LIFT_AFTER {
            self.calm = 0;
            return self.throttled.pop().map(Action::Lift);
        }
        None
    }

    /// The throttled tasks.
    pub fn throttled(&self) -> &[u64] {
        &self.throttled
    }

    fn choose_task(&mut self, neighbours: &[Neighbour]) -> Option<Action> {
        let running =
            neighbours.iter().filter(|t| !self.throttled.contains(&t.id) && t.slowdown > 0.0);
        let chosen = running.max_by(|a, b| throttle_benefit(a).total_cmp(&throttle_benefit(b)));
        if let Some(chosen) = chosen {
            self.throttled.push(chosen.id);
            return Some(Action::Throttle(chosen.id, THROTTLED_PERCENT));
        }
        if self.over < EVICT_AFTER {
            return None;
        }
        self.over = 0;
        let cheapest =
            neighbours.iter().min_by(|a, b| eviction_loss(a).total_cmp(&eviction_loss(b)))?;
        Some(Action::Evict(cheapest.id))
    }
}

/// The benefit of a throttle relative to the price of the task.
fn throttle_benefit(neighbour: &Neighbour) -> f64 {
    neighbour.slowdown / f64::from(1 + neighbour.price)
}

/// The loss by an eviction relative to the slowdown that it ends.
fn eviction_loss(neighbour: &Neighbour) -> f64 {
    let watcher = if neighbour.watcher { WATCHER_WEIGHT } else { 0.0 };
    let work = neighbour.unsaved.0 as f64 / 1000.0;
    f64::from(1 + neighbour.price) * (1.0 + work + watcher) / (0.01 + neighbour.slowdown)
}
