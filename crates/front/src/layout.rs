//! The division of a deployment's workers into cells.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use myrtle_job::{JobId, RecordError, decode};

use crate::settings::Cells;

/// The cells of a deployment; without data centres there is one cell for all workers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    centres: BTreeMap<String, Span>,
    /// The number of workers of each cell when the layout was written.
    sizes: Vec<usize>,
    /// The number of hosts of each data centre when the layout was written.
    hosts: BTreeMap<String, usize>,
}

/// The range of cell numbers of a data centre; several data centres may share one cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The first cell.
    pub first: u32,
    /// The number of cells.
    pub count: u32,
}

/// The stored form without numbers of hosts.
#[derive(Debug, Deserialize)]
struct WithoutHosts {
    centres: BTreeMap<String, Span>,
    sizes: Vec<usize>,
}

/// The stored form without shared cells.
#[derive(Debug, Deserialize)]
struct WithoutSharing {
    centres: BTreeMap<String, u32>,
    size: usize,
}

impl Layout {
    /// Divides the workers of each data centre into cells of at most `largest` workers, or of more if the store has too
    /// few partitions.
    pub fn new(
        cells: Cells,
        workers: &BTreeMap<String, usize>,
        largest: usize,
        partitions: usize,
    ) -> Self {
        let total: usize = workers.values().sum();
        if cells == Cells::One || cells == Cells::Auto && total <= largest {
            return Self { sizes: vec![total], ..Self::default() };
        }
        // Each cell needs its own partition of a topic.
        let sum = |max: usize| workers.values().map(|n| n.div_ceil(max).max(1)).sum::<usize>();
        let max = (0..16).map(|n| largest << n).find(|&max| sum(max) <= partitions);
        let max = max.unwrap_or(usize::MAX);
        let shared_groups = if cells == Cells::Auto { pack(workers, max) } else { BTreeMap::new() };
        Self::number(workers, max, &shared_groups)
    }

    /// Numbers the cells in the order of the data centres' names; those in the same group share a cell.
    fn number(
        workers: &BTreeMap<String, usize>,
        max: usize,
        shared_groups: &BTreeMap<&str, usize>,
    ) -> Self {
        let mut centres: BTreeMap<String, Span> = BTreeMap::new();
        let mut groups: BTreeMap<usize, Span> = BTreeMap::new();
        let mut next = 0;
        for (dc, n) in workers {
            let group = shared_groups.get(&**dc);
            if let Some(&span) = group.and_then(|group| groups.get(group)) {
                centres.insert(dc.clone(), span);
                continue;
            }
            let count = if group.is_some() { 1 } else { n.div_ceil(max).max(1) as u32 };
            let span = Span { first: next, count };
            next += count;
            group.map(|&group| groups.insert(group, span));
            centres.insert(dc.clone(), span);
        }
        let mut layout = Self { centres, ..Self::default() };
        layout.sizes = (0..next).map(|cell| layout.share(workers, cell)).collect();
        layout
    }

    /// The same cells with the numbers of hosts of each data centre.
    pub fn with_hosts(self, hosts: BTreeMap<String, usize>) -> Self {
        Self { hosts, ..self }
    }

    /// Reads a record in the present stored form or in one without numbers of hosts, shared cells or sizes.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are a layout in none of these forms.
    pub fn read(bytes: &[u8]) -> Result<Self, RecordError> {
        let without_sharing = || decode::<WithoutSharing>(bytes).map(|old| (old.centres, old.size));
        let without_size = || decode(bytes).map(|centres| (centres, 0));
        let without_hosts = || {
            let old = decode::<WithoutHosts>(bytes);
            old.map(|WithoutHosts { centres, sizes }| Self { centres, sizes, ..Self::default() })
        };
        decode(bytes).or_else(|_| without_hosts()).or_else(|e| {
            let old = without_sharing().or_else(|_| without_size()).map_err(|_| e);
            old.map(|(centres, size)| {
                let cells = centres.values().sum::<u32>().max(1);
                let sizes = vec![size; cells as usize];
                Self { centres: number_counts(centres), sizes, ..Self::default() }
            })
        })
    }

    /// The cells of each data centre; empty if there is one cell for all workers.
    pub fn centres(&self) -> &BTreeMap<String, Span> {
        &self.centres
    }

    /// How many of the given workers belong to a cell if each data centre spreads them evenly.
    pub fn share(&self, workers: &BTreeMap<String, usize>, cell: u32) -> usize {
        let own = self.centres.iter().filter(|(_, span)| span.contains(cell));
        own.map(|(dc, span)| workers.get(dc).map_or(0, |n| n.div_ceil(span.count as usize))).sum()
    }

    /// The number of workers of the largest cell when the layout was written.
    pub fn max_size(&self) -> usize {
        self.sizes.iter().copied().max().unwrap_or(0)
    }

    /// The number of workers of a cell when the layout was written.
    pub fn cell_size(&self, cell: u32) -> usize {
        self.sizes.get(cell as usize).copied().unwrap_or(0)
    }

    /// The number of hosts local or remote to a cell when the layout was written; at least one.
    pub fn count_hosts(&self, cell: u32, local: bool) -> usize {
        let own = self.hosts.iter().filter(|(dc, _)| self.is_local(cell, dc) == local);
        own.map(|(_, n)| n).sum::<usize>().max(1)
    }

    /// The number of cells.
    pub fn count(&self) -> u32 {
        self.centres.values().map(|span| span.first + span.count).max().unwrap_or(1)
    }

    /// The cell of a worker; the first cell if the layout does not name its data centre.
    pub fn worker_cell(&self, data_centre: &str, address: u64) -> u32 {
        let Some(Span { first, count }) = self.centres.get(data_centre) else {
            return 0;
        };
        first + (JobId(address).spread() % u64::from(*count)) as u32
    }

    /// Whether a data centre is local to a cell.
    pub fn is_local(&self, cell: u32, data_centre: &str) -> bool {
        match self.centres.get(data_centre) {
            Some(span) => span.contains(cell),
            None => self.centres.is_empty(),
        }
    }

    /// The cell of a job; it is the same on every host, so that a repeated request finds the job, and cells get jobs in
    /// proportion to their workers.
    pub fn job_cell(&self, job: JobId) -> u32 {
        let total: usize = self.sizes.iter().sum();
        if total == 0 {
            return (job.spread() % u64::from(self.count())) as u32;
        }
        let mut at = (job.spread() % total as u64) as usize;
        for (cell, &size) in self.sizes.iter().enumerate() {
            if at < size {
                return cell as u32;
            }
            at -= size;
        }
        0
    }
}

impl Span {
    /// Whether the range contains a cell.
    pub fn contains(&self, cell: u32) -> bool {
        (self.first..self.first + self.count).contains(&cell)
    }
}

impl fmt::Display for Layout {
    /// Writes the cells of each data centre, as `a:0 b:0 c:1..=2`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, (dc, Span { first, count })) in self.centres.iter().enumerate() {
            let space = if at > 0 { " " } else { "" };
            match count {
                1 => write!(f, "{space}{dc}:{first}")?,
                _ => write!(f, "{space}{dc}:{first}..={}", first + count - 1)?,
            }
        }
        Ok(())
    }
}

/// Groups the data centres that share a cell of at most `max` workers, into as few and as even groups as possible;
/// those with more workers are in no group.
fn pack(workers: &BTreeMap<String, usize>, max: usize) -> BTreeMap<&str, usize> {
    let mut small: Vec<(&str, usize)> =
        workers.iter().filter(|(_, n)| **n <= max).map(|(dc, n)| (&**dc, *n)).collect();
    small.sort_by_key(|(_, n)| Reverse(*n));
    let sum: usize = small.iter().map(|(_, n)| n).sum();
    let fewest = sum.div_ceil(max.max(1)).max(1);
    let fits = |count: usize| {
        let mut sizes = vec![0; count];
        let mut groups = BTreeMap::new();
        for &(dc, n) in &small {
            let at = (0..count).min_by_key(|&at| sizes[at])?;
            sizes[at] += n;
            groups.insert(dc, at);
        }
        (sizes.iter().all(|&size| size <= max)).then_some(groups)
    };
    (fewest..=small.len().max(1)).find_map(fits).unwrap_or_default()
}

/// Numbers the cells of data centres that share none, in the order of their names.
fn number_counts(counts: BTreeMap<String, u32>) -> BTreeMap<String, Span> {
    let mut first = 0;
    let number = |(dc, count)| {
        let span = Span { first, count };
        first += count;
        (dc, span)
    };
    counts.into_iter().map(number).collect()
}
