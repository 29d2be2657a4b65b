//! When a new deployment has seen enough hosts and workers to compute its layout, and which hosts count them.
//!
//! Load pattern: all hosts of a fleet start at once without knowledge of the others. If each of them read the lists
//! of all hosts and workers, the reads would grow as the square of the fleet. So only the first few announced hosts
//! of the class with the most capacity read both lists, and others only after a while without a layout; a host gets
//! its rank from the answer to its announcement, without a read.

use std::collections::BTreeMap;

use crate::fleet::{Announcement, Fleet};
use crate::layout::Layout;
use crate::settings::Cells;

/// The number of hosts that count at first; one is enough, and the others stand in if it is lost.
const FIRST_COUNTERS: usize = 3;

/// The rounds without a layout after which the number of counting hosts doubles: 2.8 s.
pub const DOUBLE_EVERY: u32 = 4;

/// The number of repeated counts that must show the same hosts; all hosts start within a second.
const STEADY_HOSTS: u32 = 2;

/// The number of repeated counts that must show the same workers.
const STEADY_WORKERS: u32 = 1;

/// The number of counts after which unsteady lists, or lists without workers, are used: six seconds.
const MAX_COUNTS: u32 = 8;

/// A host's counts of a fleet without a layout.
#[derive(Debug, Default)]
pub struct Survey {
    fleet: Fleet,
    rounds: u32,
    counts: u32,
    steady_hosts: u32,
    steady_workers: u32,
}

impl Survey {
    /// Adds rounds that passed without a layout.
    pub fn add_rounds(&mut self, rounds: u32) {
        self.rounds += rounds;
    }

    /// The number of hosts that count by now, from the class with the most capacity down.
    pub fn counters(&self) -> usize {
        FIRST_COUNTERS << (self.rounds / DOUBLE_EVERY).min(usize::BITS / 2)
    }

    /// Sets the hosts that are announced now.
    pub fn hosts(&mut self, hosts: BTreeMap<String, Announcement>) {
        self.steady_hosts = if hosts == self.fleet.hosts { self.steady_hosts + 1 } else { 0 };
        self.fleet.hosts = hosts;
    }

    /// Sets the number of workers of each data centre; returns the layout if the counts are steady.
    pub fn workers(
        &mut self,
        workers: BTreeMap<String, usize>,
        cells: Cells,
        partitions: usize,
    ) -> Option<Layout> {
        self.counts += 1;
        let same = workers == self.fleet.workers;
        self.steady_workers = if same { self.steady_workers + 1 } else { 0 };
        self.fleet.workers = workers;
        let settled = self.steady_hosts >= STEADY_HOSTS && self.steady_workers >= STEADY_WORKERS;
        let usable = !self.fleet.workers.is_empty() && settled;
        (usable || self.counts > MAX_COUNTS).then(|| self.fleet.layout(cells, partitions))
    }

    /// The fleet as last counted.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }
}
