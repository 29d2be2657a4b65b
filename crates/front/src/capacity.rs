//! The largest cell that a host can own, by its processors and its link.
//!
//! Load pattern: hosts have unlike capacities, and those with more own cells. Small cells are uneven and learn
//! slowly; an owner that has too little bandwidth or processor time falls behind. docs/CAPACITY.md holds the figures.

use serde::Deserialize;

/// The bandwidth that an owner needs per worker, in megabits a second, most of it for answers to lease renewals.
const LINK_PER_WORKER: f64 = 0.031;

/// The processors that an owner needs per worker, in cores; the cost of planning grows faster than the cell.
const CORES_PER_WORKER: f64 = 0.001_2;

/// The share of its bandwidth that a host uses for a cell; the rest is for clients and bursts.
const LINK_SHARE: f64 = 0.5;

/// The share of its processors that a host uses for a cell.
const CORES_SHARE: f64 = 0.9;

/// The processors and the link of a host, from its settings.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct Capacity {
    /// The share of the processors that the host may use, from 0 to 1.
    pub share: f64,
    /// The processors, in cores.
    pub cores: f64,
    /// The link's bandwidth, in megabits a second.
    pub link: f64,
}

impl Capacity {
    /// The largest cell that the host can own, in workers.
    pub fn workers(&self) -> usize {
        let by_cores = self.share * self.cores * CORES_SHARE / CORES_PER_WORKER;
        let by_link = self.link * LINK_SHARE / LINK_PER_WORKER;
        by_cores.min(by_link).max(1.0) as usize
    }
}
