//! Which cells there are.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use myrtle_job::{JobId, RecordError, decode};

use crate::settings::Cells;

/// The cells of a deployment; no data centre named means one cell for all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    centres: BTreeMap<String, Span>,
    /// The workers of each cell when that was decided.
    sizes: Vec<usize>,
    /// The hosts of each data centre when that was decided.
    hosts: BTreeMap<String, usize>,
}

/// The cells of a data centre, by their numbers; several data centres may share one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The first of them.
    pub first: u32,
    /// How many there are.
    pub count: u32,
}

/// How cells were written before hosts were counted.
#[derive(Debug, Deserialize)]
struct Uncounted {
    centres: BTreeMap<String, Span>,
    sizes: Vec<usize>,
}

/// How cells were written before data centres could share one.
#[derive(Debug, Deserialize)]
struct Unshared {
    centres: BTreeMap<String, u32>,
    size: usize,
}

impl Layout {
    /// The cells for so many workers in each data centre, of at most `largest` workers each where
    /// the store has partitions for so many cells.
    pub fn new(
        cells: Cells,
        workers: &BTreeMap<String, usize>,
        largest: usize,
        parts: usize,
    ) -> Self {
        let all: usize = workers.values().sum();
        if cells == Cells::One || cells == Cells::Auto && all <= largest {
            return Self { sizes: vec![all], ..Self::default() };
        }
        // Each cell has a partition of its own, and a topic has so many.
        let sum = |most: usize| workers.values().map(|n| n.div_ceil(most).max(1)).sum::<usize>();
        let most = (0..16).map(|n| largest << n).find(|&most| sum(most) <= parts);
        let most = most.unwrap_or(usize::MAX);
        let shared = if cells == Cells::Auto { packed(workers, most) } else { BTreeMap::new() };
        Self::number(workers, most, &shared)
    }

    /// Numbers the cells in the order of the data centres' names.
    fn number(
        workers: &BTreeMap<String, usize>,
        most: usize,
        shared: &BTreeMap<&str, usize>,
    ) -> Self {
        let mut centres: BTreeMap<String, Span> = BTreeMap::new();
        let mut groups: BTreeMap<usize, Span> = BTreeMap::new();
        let mut next = 0;
        for (dc, n) in workers {
            let group = shared.get(&**dc);
            if let Some(&span) = group.and_then(|group| groups.get(group)) {
                centres.insert(dc.clone(), span);
                continue;
            }
            let count = if group.is_some() { 1 } else { n.div_ceil(most).max(1) as u32 };
            let span = Span { first: next, count };
            next += count;
            group.map(|&group| groups.insert(group, span));
            centres.insert(dc.clone(), span);
        }
        let mut layout = Self { centres, ..Self::default() };
        layout.sizes = (0..next).map(|cell| layout.share(workers, cell)).collect();
        layout
    }

    /// The same cells, decided when each data centre had so many hosts.
    pub fn with_hosts(self, hosts: BTreeMap<String, usize>) -> Self {
        Self { hosts, ..self }
    }

    /// Reads a record, also one that was written before hosts were counted, before data centres could share a
    /// cell, or before sizes were.
    ///
    /// # Errors
    ///
    /// The bytes are no layout in any of these forms.
    pub fn read(bytes: &[u8]) -> Result<Self, RecordError> {
        let unshared = || decode::<Unshared>(bytes).map(|old| (old.centres, old.size));
        let unsized_cells = || decode(bytes).map(|centres| (centres, 0));
        let uncounted = || {
            let old = decode::<Uncounted>(bytes);
            old.map(|Uncounted { centres, sizes }| Self { centres, sizes, ..Self::default() })
        };
        decode(bytes).or_else(|_| uncounted()).or_else(|e| {
            let old = unshared().or_else(|_| unsized_cells()).map_err(|_| e);
            old.map(|(centres, size)| {
                let cells = centres.values().sum::<u32>().max(1);
                let sizes = vec![size; cells as usize];
                Self { centres: spans(centres), sizes, ..Self::default() }
            })
        })
    }

    /// The cells of each data centre; none for one cell of all.
    pub fn centres(&self) -> &BTreeMap<String, Span> {
        &self.centres
    }

    /// How many of some workers belong to a cell, if those of a data centre are evenly spread.
    pub fn share(&self, workers: &BTreeMap<String, usize>, cell: u32) -> usize {
        let own = self.centres.iter().filter(|(_, span)| span.has(cell));
        own.map(|(dc, span)| workers.get(dc).map_or(0, |n| n.div_ceil(span.count as usize))).sum()
    }

    /// The workers of the largest cell when the cells were decided.
    pub fn size(&self) -> usize {
        self.sizes.iter().copied().max().unwrap_or(0)
    }

    /// The workers of a cell when the cells were decided.
    pub fn size_of(&self, cell: u32) -> usize {
        self.sizes.get(cell as usize).copied().unwrap_or(0)
    }

    /// How many hosts are at home in a cell's data centres, or are not, when the cells were decided; at least one.
    pub fn hosts_of(&self, cell: u32, home: bool) -> usize {
        let own = self.hosts.iter().filter(|(dc, _)| self.at_home(cell, dc) == home);
        own.map(|(_, n)| n).sum::<usize>().max(1)
    }

    /// How many cells there are.
    pub fn count(&self) -> u32 {
        self.centres.values().map(|span| span.first + span.count).max().unwrap_or(1)
    }

    /// The cell of a worker; one in a data centre that is not named belongs to the first cell.
    pub fn cell_of(&self, data_centre: &str, address: u64) -> u32 {
        let Some(Span { first, count }) = self.centres.get(data_centre) else {
            return 0;
        };
        first + (JobId(address).spread() % u64::from(*count)) as u32
    }

    /// Whether hosts of a data centre look after a cell.
    pub fn at_home(&self, cell: u32, data_centre: &str) -> bool {
        match self.centres.get(data_centre) {
            Some(span) => span.has(cell),
            None => self.centres.is_empty(),
        }
    }

    /// The cell of a job: the same on every host, so that a repeat meets the first; as often each cell as
    /// it has workers.
    pub fn home(&self, job: JobId) -> u32 {
        let all: usize = self.sizes.iter().sum();
        if all == 0 {
            return (job.spread() % u64::from(self.count())) as u32;
        }
        let mut at = (job.spread() % all as u64) as usize;
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
    /// Whether a cell is one of them.
    pub fn has(&self, cell: u32) -> bool {
        (self.first..self.first + self.count).contains(&cell)
    }
}

impl fmt::Display for Layout {
    /// Tells the cells of each data centre, as `a:0 b:0 c:1..=2`.
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

/// The groups of data centres that share a cell of at most `most` workers, as few and as even as can
/// be; those with more workers are in none.
fn packed(workers: &BTreeMap<String, usize>, most: usize) -> BTreeMap<&str, usize> {
    let mut small: Vec<(&str, usize)> =
        workers.iter().filter(|(_, n)| **n <= most).map(|(dc, n)| (&**dc, *n)).collect();
    small.sort_by_key(|(_, n)| Reverse(*n));
    let sum: usize = small.iter().map(|(_, n)| n).sum();
    let fewest = sum.div_ceil(most.max(1)).max(1);
    let fits = |count: usize| {
        let mut sizes = vec![0; count];
        let mut groups = BTreeMap::new();
        for &(dc, n) in &small {
            let at = (0..count).min_by_key(|&at| sizes[at])?;
            sizes[at] += n;
            groups.insert(dc, at);
        }
        (sizes.iter().all(|&size| size <= most)).then_some(groups)
    };
    (fewest..=small.len().max(1)).find_map(fits).unwrap_or_default()
}

/// Cells of data centres of their own, numbered in the order of the names.
fn spans(counts: BTreeMap<String, u32>) -> BTreeMap<String, Span> {
    let mut first = 0;
    let number = |(dc, count)| {
        let span = Span { first, count };
        first += count;
        (dc, span)
    };
    counts.into_iter().map(number).collect()
}
