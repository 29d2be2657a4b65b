//! When a new deployment knows enough of itself to cut its cells, and which hosts find that out.
//!
//! Load pattern: every host of a fleet starts at once and knows no other. Whatever all of them read of all hosts or
//! of all workers grows as the square of the fleet. So the first few of the strongest class that announce themselves
//! read both lists, and others only after a while without cells; a host learns its place from the answer to its
//! announcement, without reading anything.

use std::collections::BTreeMap;

use crate::fleet::{Announced, Fleet};
use crate::layout::Layout;
use crate::settings::Cells;

/// How many hosts count the workers at first; one is enough, others are there if it is lost.
const COUNTERS: usize = 3;

/// Looks without cells after which twice as many hosts count: 2.8 s.
pub const DOUBLED: u32 = 4;

/// Looks in a row that show the same hosts before they count as all: hosts start within a second.
const STEADY_HOSTS: u32 = 2;

/// Looks in a row that show the same workers.
const STEADY_WORKERS: u32 = 1;

/// Looks at lists that do not settle, or show no workers, before they are believed: six seconds.
const PATIENCE: u32 = 8;

/// What a host has seen of a fleet whose cells are not known yet.
#[derive(Debug, Default)]
pub struct Survey {
    fleet: Fleet,
    looks: u32,
    counts: u32,
    steady_hosts: u32,
    steady_workers: u32,
}

impl Survey {
    /// Takes in that the time of so many looks has passed without cells.
    pub fn pass(&mut self, looks: u32) {
        self.looks += looks;
    }

    /// How many hosts count the workers by now: the first ones of the strongest class.
    pub fn counters(&self) -> usize {
        COUNTERS << (self.looks / DOUBLED).min(usize::BITS / 2)
    }

    /// Takes in the hosts that are known now.
    pub fn hosts(&mut self, hosts: BTreeMap<String, Announced>) {
        self.steady_hosts = if hosts == self.fleet.hosts { self.steady_hosts + 1 } else { 0 };
        self.fleet.hosts = hosts;
    }

    /// Takes in how many workers each data centre has now; the cells, if that is enough to cut them.
    pub fn workers(
        &mut self,
        workers: BTreeMap<String, usize>,
        cells: Cells,
        parts: usize,
    ) -> Option<Layout> {
        self.counts += 1;
        let same = workers == self.fleet.workers;
        self.steady_workers = if same { self.steady_workers + 1 } else { 0 };
        self.fleet.workers = workers;
        let settled = self.steady_hosts >= STEADY_HOSTS && self.steady_workers >= STEADY_WORKERS;
        let known = !self.fleet.workers.is_empty() && settled;
        (known || self.counts > PATIENCE).then(|| self.fleet.layout(cells, parts))
    }

    /// The fleet as it was last seen.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }
}
