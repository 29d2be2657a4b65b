//! How large a cell a host can own, by its processors and its link.
//!
//! A deployment has hosts of unlike strength. Cells as large as the strong ones carry earn 0.716 of
//! what is owed where six cells of 82 workers earned 0.681 (490 workers, mean of nine days), and a
//! cell of 163 workers at hosts of 0.12 cores and links of 10 megabits a second earns 0.44.

use serde::Deserialize;

/// The link that an owner needs for each worker, in megabits a second. Measured: an owner of 490
/// workers with 14 runs each hears 1.9 MB/s, most of it answers to holds.
const LINK_EACH: f64 = 0.031;

/// The processors that an owner needs for each worker, in cores. Measured: at most 0.075 cores at an
/// owner of 82 workers, with what it does for clients; what plans cost grows faster than the cell,
/// and an owner of 490 workers with 0.5 cores falls behind.
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
