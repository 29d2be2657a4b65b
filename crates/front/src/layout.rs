//! Which cells there are: decided once from the first list of workers, and kept in the log.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::BytesMut;
use log::info;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use myrtle_adapter::{StoreError, Writer, frame_keyed, read_listing, topics};
use myrtle_job::{JobId, RecordError, decode, encode};

use crate::host::Host;
use crate::names::LAYOUT;
use crate::newest::newest;
use crate::settings::Cells;

/// How long the store may take.
const LIMIT: Duration = Duration::from_millis(2_000);

/// The pause between two looks at the list; the workers of a new deployment join it within seconds.
const PAUSE: Duration = Duration::from_millis(700);

/// Looks at a list without workers before it is believed: six seconds.
const EMPTY_LOOKS: u32 = 8;

/// Steady looks before a host decides that can't own all workers as one cell by itself: stronger hosts, which
/// make fewer and larger cells, have decided by then.
const WEAK_LOOKS: u32 = 4;

/// The key of the layout.
const KEY: &str = "cells";

/// The cells of a deployment: how many each data centre has; none named means one for all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    centres: BTreeMap<String, u32>,
    /// The workers of the largest cell when that was decided.
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
            return Self { centres: BTreeMap::new(), size: all };
        }
        // Each cell has a partition of its own, and a topic has so many.
        let sum = |most: usize| workers.values().map(|n| n.div_ceil(most).max(1)).sum::<usize>();
        let most = (0..16).map(|n| largest << n).find(|&most| sum(most) <= parts);
        let most = most.unwrap_or(usize::MAX);
        let count = |n: &usize| n.div_ceil(most).max(1);
        let size = workers.values().map(|n| n.div_ceil(count(n))).max().unwrap_or(0);
        let centres = workers.iter().map(|(dc, n)| (dc.clone(), count(n) as u32)).collect();
        Self { centres, size }
    }

    /// The workers of the largest cell when the cells were decided.
    pub fn size(&self) -> usize {
        self.size
    }

    /// How many cells there are.
    pub fn count(&self) -> u32 {
        self.centres.values().sum::<u32>().max(1)
    }

    /// The cell of a worker; one in a data centre that is not named belongs to the first cell.
    pub fn cell_of(&self, data_centre: &str, address: u64) -> u32 {
        let (first, count) = self.centre(data_centre).unwrap_or((0, 1));
        first + (JobId(address).spread() % u64::from(count)) as u32
    }

    /// Whether hosts of a data centre look after a cell.
    pub fn at_home(&self, cell: u32, data_centre: &str) -> bool {
        match self.centre(data_centre) {
            Some((first, count)) => (first..first + count).contains(&cell),
            None => self.centres.is_empty(),
        }
    }

    /// The cell of a job: the same on every host, so that a repeat meets the first.
    pub fn home(&self, job: JobId) -> u32 {
        (job.spread() % u64::from(self.count())) as u32
    }

    /// The first cell of a data centre and how many it has.
    fn centre(&self, data_centre: &str) -> Option<(u32, u32)> {
        let mut first = 0;
        for (name, count) in &self.centres {
            if name == data_centre {
                return Some((first, *count));
            }
            first += count;
        }
        None
    }
}

/// Finds the layout in the log, or decides it; the first host to write it decides for all.
pub async fn find(host: &Host) -> Layout {
    if host.settings.cells == Cells::One {
        return Layout::default();
    }
    let mut before = BTreeMap::new();
    let mut looks = 0;
    let mut steady = 0;
    loop {
        looks += 1;
        match look(host, &mut before, &mut steady, looks > EMPTY_LOOKS).await {
            Ok(Some(layout)) => {
                info!(
                    "event=layout cells={} centres={:?} size={} carries={}",
                    layout.count(),
                    layout.centres,
                    layout.size,
                    host.settings.carries()
                );
                return layout;
            }
            Ok(None) => {}
            Err(e) => host.store_missed(&e),
        }
        sleep(PAUSE).await;
    }
}

async fn look(
    host: &Host,
    before: &mut BTreeMap<String, usize>,
    steady: &mut u32,
    even_empty: bool,
) -> Result<Option<Layout>, StoreError> {
    if let Some(layout) = read(host).await? {
        return Ok(Some(layout));
    }
    let workers = count(host).await?;
    host.store_reached();
    // A list that still grows says too little.
    let same = (even_empty || !workers.is_empty()) && workers == *before;
    *steady = if same { *steady + 1 } else { 0 };
    *before = workers;
    let largest = host.settings.carries();
    let strong = before.values().sum::<usize>() <= largest;
    if *steady < if strong { 1 } else { WEAK_LOOKS } {
        return Ok(None);
    }
    write(host, &Layout::new(host.settings.cells, before, largest, host.settings.parts)).await?;
    read(host).await
}

async fn read(host: &Host) -> Result<Option<Layout>, StoreError> {
    let mut found = None;
    newest(host, LAYOUT, 0, LIMIT, |item| {
        found = decode(&item.value).or_else(|_| unsized_layout(&item.value)).ok();
    })
    .await?;
    Ok(found)
}

/// Reads a layout that was written before sizes were.
fn unsized_layout(bytes: &[u8]) -> Result<Layout, RecordError> {
    decode(bytes).map(|centres| Layout { centres, size: 0 })
}

/// How many workers each data centre lists.
async fn count(host: &Host) -> Result<BTreeMap<String, usize>, StoreError> {
    let mut workers = BTreeMap::new();
    newest(host, topics::WORKERS, 0, LIMIT, |item| {
        if let Ok(listing) = read_listing(&item.value, item.offset) {
            *workers.entry(listing.data_centre).or_default() += 1;
        }
    })
    .await?;
    Ok(workers)
}

async fn write(host: &Host, layout: &Layout) -> Result<(), StoreError> {
    let mut body = BytesMut::new();
    frame_keyed(&mut body, KEY, &encode(layout));
    // All hosts write as the same writer's first call: the store takes one of them.
    let writer = Writer { name: KEY, epoch: 1, number: 0 };
    host.store.append(LAYOUT, 0, Some(writer), body.freeze(), LIMIT).await?;
    Ok(())
}
