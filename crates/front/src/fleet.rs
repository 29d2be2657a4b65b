//! What the cells of a deployment follow from: its workers, and what its hosts carry.
//!
//! Load pattern: hosts of any strength start at the same time, and whichever cuts the cells decides for all; many small
//! cells lose most at high load. So they follow from all hosts. docs/CAPACITY.md holds the figures.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::layout::Layout;
use crate::settings::Cells;

/// What a host tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// Its data centre.
    pub data_centre: String,
    /// The largest cell that it can own, in workers.
    pub carries: usize,
}

impl Announced {
    /// The host's class of strength, from 0 to below `classes`: one more for each doubling of what it carries.
    pub fn class(&self, classes: u32) -> u32 {
        self.carries.max(1).ilog2().min(classes.saturating_sub(1))
    }
}

/// The hosts and workers of a deployment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    /// The hosts, by name.
    pub hosts: BTreeMap<String, Announced>,
    /// How many workers each data centre has.
    pub workers: BTreeMap<String, usize>,
}

impl Fleet {
    /// The cells of the fleet, of which the store has room for `parts`.
    ///
    /// The fewest that its hosts can own, also after any one of them is lost; where there are too few
    /// hosts for that, the fewest that they can own; else as many as its weakest host calls for.
    pub fn layout(&self, cells: Cells, parts: usize) -> Layout {
        let strengths: BTreeSet<usize> = self.hosts.values().map(|h| h.carries).collect();
        let cut = |largest: usize| Layout::new(cells, &self.workers, largest, parts);
        let fewest = |spare: bool| {
            let layouts = strengths.iter().rev().map(|&largest| cut(largest));
            layouts.into_iter().find(|layout| self.owns(layout, spare))
        };
        let weakest = || cut(strengths.first().copied().unwrap_or(usize::MAX));
        let layout = fewest(true).or_else(|| fewest(false)).unwrap_or_else(weakest);
        layout.with_hosts(self.hosts_by_centre())
    }

    /// How many hosts each data centre has.
    fn hosts_by_centre(&self) -> BTreeMap<String, usize> {
        let mut hosts = BTreeMap::new();
        for host in self.hosts.values() {
            *hosts.entry(host.data_centre.clone()).or_default() += 1;
        }
        hosts
    }

    /// Whether the hosts that look after the cells can own them, also without the strongest of them if
    /// one is to be `spare`.
    fn owns(&self, layout: &Layout, spare: bool) -> bool {
        if layout.centres().is_empty() {
            return self.carry(layout.size(), 1, spare, |_| true);
        }
        let spans: BTreeSet<(u32, u32)> =
            layout.centres().values().map(|span| (span.first, span.count)).collect();
        spans.into_iter().all(|(first, count)| {
            let home = |h: &Announced| layout.at_home(first, &h.data_centre);
            // Data centres without hosts are looked after by those of others.
            let nobody = !self.hosts.values().any(home);
            let size = layout.share(&self.workers, first);
            nobody || self.carry(size, count as usize, spare, home)
        })
    }

    /// Whether some of the hosts can own so many cells of a size.
    fn carry(
        &self,
        size: usize,
        cells: usize,
        spare: bool,
        of: impl Fn(&Announced) -> bool,
    ) -> bool {
        let each = self.hosts.values().filter(|h| of(h)).map(|h| h.carries / size.max(1));
        let (sum, most) = each.fold((0, 0), |(sum, most), n| (sum + n, n.max(most)));
        sum - if spare { most } else { 0 } >= cells
    }
}
