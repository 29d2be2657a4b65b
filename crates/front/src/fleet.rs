//! The hosts and workers of a deployment, from which its cells follow.
//!
//! Load pattern: hosts of unlike capacity start at the same time, and the first to write the cells decides for all;
//! many small cells lose most at high load. So the cells follow from all hosts. docs/CAPACITY.md holds the figures.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::layout::Layout;
use crate::settings::Cells;

/// A host's announcement to the other hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The host's data centre.
    pub data_centre: String,
    /// The host's capacity, in workers.
    pub max_workers: usize,
}

impl Announcement {
    /// The host's capacity class, from 0 to below `classes`; each class doubles the capacity.
    pub fn class(&self, classes: u32) -> u32 {
        self.max_workers.max(1).ilog2().min(classes.saturating_sub(1))
    }
}

/// The hosts and workers of a deployment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    /// The hosts, by name.
    pub hosts: BTreeMap<String, Announcement>,
    /// The number of workers of each data centre.
    pub workers: BTreeMap<String, usize>,
}

impl Fleet {
    /// Divides the workers into cells; the store has `partitions` for them.
    ///
    /// Takes the fewest cells that the hosts can own after the loss of any one host, or else with all hosts, or else as
    /// many as the host with the least capacity needs.
    pub fn layout(&self, cells: Cells, partitions: usize) -> Layout {
        let capacities: BTreeSet<usize> = self.hosts.values().map(|h| h.max_workers).collect();
        let divide = |largest: usize| Layout::new(cells, &self.workers, largest, partitions);
        let fewest_cells = |spare: bool| {
            let layouts = capacities.iter().rev().map(|&largest| divide(largest));
            layouts.into_iter().find(|layout| self.can_own(layout, spare))
        };
        let smallest = || divide(capacities.first().copied().unwrap_or(usize::MAX));
        let layout = fewest_cells(true).or_else(|| fewest_cells(false)).unwrap_or_else(smallest);
        layout.with_hosts(self.hosts_by_centre())
    }

    /// The number of hosts of each data centre.
    fn hosts_by_centre(&self) -> BTreeMap<String, usize> {
        let mut hosts = BTreeMap::new();
        for host in self.hosts.values() {
            *hosts.entry(host.data_centre.clone()).or_default() += 1;
        }
        hosts
    }

    /// Whether the local hosts of each cell have the capacity; with `spare` also without the largest of them.
    fn can_own(&self, layout: &Layout, spare: bool) -> bool {
        if layout.centres().is_empty() {
            return self.can_fit(layout.max_size(), 1, spare, |_| true);
        }
        let spans: BTreeSet<(u32, u32)> =
            layout.centres().values().map(|span| (span.first, span.count)).collect();
        spans.into_iter().all(|(first, count)| {
            let local = |h: &Announcement| layout.is_local(first, &h.data_centre);
            // Remote hosts own the cells of data centres without hosts.
            let unserved = !self.hosts.values().any(local);
            let size = layout.share(&self.workers, first);
            unserved || self.can_fit(size, count as usize, spare, local)
        })
    }

    /// Whether the selected hosts can own this number of cells of this size.
    fn can_fit(
        &self,
        size: usize,
        cells: usize,
        spare: bool,
        among: impl Fn(&Announcement) -> bool,
    ) -> bool {
        let cells_each =
            self.hosts.values().filter(|h| among(h)).map(|h| h.max_workers / size.max(1));
        let (sum, max) = cells_each.fold((0, 0), |(sum, max), n| (sum + n, n.max(max)));
        sum - if spare { max } else { 0 } >= cells
    }
}
