//! The resources of a worker and the needs of a task.

use derive_more::{Add, AddAssign, Display};
use serde::{Deserialize, Serialize};

/// An amount of processors, memory and accelerators.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Add,
    AddAssign,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{} cores, {mem} MB, {accel} accelerators", *cpu as f64 / 1000.0)]
pub struct Room {
    /// Thousandths of a processor core.
    pub cpu: u32,
    /// Memory in megabytes.
    pub mem: u32,
    /// Whole accelerators.
    pub accel: u32,
}

impl Room {
    /// An amount of cores, megabytes of memory and accelerators.
    pub fn new(cores: f64, mem: u32, accel: u32) -> Self {
        Self { cpu: (cores * 1000.0).round() as u32, mem, accel }
    }

    /// Whether this amount fits into `free` in every dimension.
    pub fn fits(&self, free: &Room) -> bool {
        self.cpu <= free.cpu && self.mem <= free.mem && self.accel <= free.accel
    }

    /// How many of this amount fit into `free`; `u32::MAX` if it is nothing.
    pub fn count_in(&self, free: &Room) -> u32 {
        let count = |one: u32, all: u32| all.checked_div(one).unwrap_or(u32::MAX);
        count(self.cpu, free.cpu).min(count(self.mem, free.mem)).min(count(self.accel, free.accel))
    }

    /// The difference to `other`, at least 0 in every dimension.
    pub fn minus(&self, other: &Room) -> Room {
        Room {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            accel: self.accel.saturating_sub(other.accel),
        }
    }

    /// The maximum in every dimension.
    pub fn max(&self, other: &Room) -> Room {
        Room {
            cpu: self.cpu.max(other.cpu),
            mem: self.mem.max(other.mem),
            accel: self.accel.max(other.accel),
        }
    }

    /// The largest ratio to `whole` of any dimension, above 1.0 if this amount doesn't fit.
    pub fn share(&self, whole: &Room) -> f64 {
        let ratio = |a: u32, b: u32| if b == 0 { 0.0 } else { f64::from(a) / f64::from(b) };
        ratio(self.cpu, whole.cpu)
            .max(ratio(self.mem, whole.mem))
            .max(ratio(self.accel, whole.accel))
    }
}
