//! What a worker has and what a task takes.

use derive_more::{Add, AddAssign, Display};
use serde::{Deserialize, Serialize};

/// Processors, memory and accelerators.
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
    /// Room of the given cores, megabytes and accelerators.
    pub fn new(cores: f64, mem: u32, accel: u32) -> Self {
        Self { cpu: (cores * 1000.0).round() as u32, mem, accel }
    }

    /// Whether this much fits into `free` in every dimension.
    pub fn fits(&self, free: &Room) -> bool {
        self.cpu <= free.cpu && self.mem <= free.mem && self.accel <= free.accel
    }

    /// What is left after taking `other` away, never below zero.
    pub fn less(&self, other: &Room) -> Room {
        Room {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            accel: self.accel.saturating_sub(other.accel),
        }
    }

    /// The larger of both in every dimension.
    pub fn max(&self, other: &Room) -> Room {
        Room {
            cpu: self.cpu.max(other.cpu),
            mem: self.mem.max(other.mem),
            accel: self.accel.max(other.accel),
        }
    }

    /// The share of `whole` that this takes in its fullest dimension, 0.0 to 1.0 and above.
    pub fn share(&self, whole: &Room) -> f64 {
        let part = |a: u32, b: u32| if b == 0 { 0.0 } else { f64::from(a) / f64::from(b) };
        part(self.cpu, whole.cpu).max(part(self.mem, whole.mem)).max(part(self.accel, whole.accel))
    }
}
