//! How large a cell a host can own, by its processors and its link.
//!
//! Load pattern: hosts of unlike strength, of which the strong ones own cells. Small cells are uneven and learn slowly;
//! an owner that has too little link or processor time falls behind. docs/CAPACITY.md holds the figures.

use serde::Deserialize;

/// The link that an owner needs for each worker, in megabits a second: most of it answers to holds.
const LINK_EACH: f64 = 0.031;

/// The processors that an owner needs for each worker, in cores; what plans cost grows faster than the cell.
const CORES_EACH: f64 = 0.001_2;

/// The share of its link that a host gives to a cell; the rest is for clients and for bursts.
const LINK_SHARE: f64 = 0.5;

/// The share of its processors that a host gives to a cell.
const CORES_SHARE: f64 = 0.9;

/// What a host has, as its settings say.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct Capacity {
    /// The share of its processors that it may use, from 0 to 1.
    pub share: f64,
    /// Its processors, in cores.
    pub cores: f64,
    /// Its link, in megabits a second.
    pub link: f64,
}

impl Capacity {
    /// The largest cell that the host can own, in workers.
    pub fn workers(&self) -> usize {
        let by_cores = self.share * self.cores * CORES_SHARE / CORES_EACH;
        let by_link = self.link * LINK_SHARE / LINK_EACH;
        by_cores.min(by_link).max(1.0) as usize
    }
}
