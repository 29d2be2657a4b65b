//! Which cells there are: decided once from the first list of workers, and kept in the log.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::BytesMut;
use log::info;
use tokio::time::sleep;

use myrtle_adapter::{StoreError, Writer, frame_keyed, read_listing, topics};
use myrtle_job::{JobId, decode, encode};

use crate::host::Host;
use crate::names::LAYOUT;
use crate::newest::newest;
use crate::settings::Cells;

/// The most workers of a deployment that is one cell. One owner learns faster what disturbs what,
/// and with 350 workers it is overwhelmed: docs/CAPACITY.md.
const ONE: usize = 100;

/// The most workers of a cell beyond that.
const MOST: usize = 120;

/// Partitions of a topic; the platform's figure.
const PARTS: usize = 24;

/// How long the store may take.
const LIMIT: Duration = Duration::from_millis(2_000);

/// The pause between two looks at the list; the workers of a new deployment join it within seconds.
const PAUSE: Duration = Duration::from_millis(700);

/// Looks at a list without workers before it is believed: six seconds.
const EMPTY_LOOKS: u32 = 8;

/// The key of the layout.
const KEY: &str = "cells";

/// The cells of a deployment: how many each data centre has; none named means one for all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Layout {
    centres: BTreeMap<String, u32>,
}

impl Layout {
    /// The cells for so many workers in each data centre.
    pub fn new(cells: Cells, workers: &BTreeMap<String, usize>) -> Self {
        let all: usize = workers.values().sum();
        if cells == Cells::One || cells == Cells::Auto && all <= ONE {
            return Self::default();
        }
        // Each cell has a partition of its own, and a topic has so many.
        let sum = |most: usize| workers.values().map(|n| n.div_ceil(most).max(1)).sum::<usize>();
        let most = (0..16).map(|n| MOST << n).find(|&most| sum(most) <= PARTS);
        let most = most.unwrap_or(usize::MAX);
        let count = |n: &usize| n.div_ceil(most).max(1) as u32;
        Self { centres: workers.iter().map(|(dc, n)| (dc.clone(), count(n))).collect() }
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
    loop {
        looks += 1;
        match look(host, &mut before, looks > EMPTY_LOOKS).await {
            Ok(Some(layout)) => {
                info!("event=layout cells={} centres={:?}", layout.count(), layout.centres);
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
    even_empty: bool,
) -> Result<Option<Layout>, StoreError> {
    if let Some(layout) = read(host).await? {
        return Ok(Some(layout));
    }
    let workers = count(host).await?;
    host.store_reached();
    // A list that still grows says too little.
    let steady = (even_empty || !workers.is_empty()) && workers == *before;
    *before = workers;
    if steady {
        write(host, &Layout::new(host.settings.cells, before)).await?;
        return read(host).await;
    }
    Ok(None)
}

async fn read(host: &Host) -> Result<Option<Layout>, StoreError> {
    let mut found = None;
    newest(host, LAYOUT, 0, LIMIT, |item| {
        found = decode(&item.value).ok().map(|centres| Layout { centres });
    })
    .await?;
    Ok(found)
}

/// How many workers each data centre lists.
async fn count(host: &Host) -> Result<BTreeMap<String, usize>, StoreError> {
    let mut workers = BTreeMap::new();
    newest(host, topics::WORKERS, 0, LIMIT, |item| {
        if let Ok(listing) = read_listing(&item.value) {
            *workers.entry(listing.data_centre).or_default() += 1;
        }
    })
    .await?;
    Ok(workers)
}

async fn write(host: &Host, layout: &Layout) -> Result<(), StoreError> {
    let mut body = BytesMut::new();
    frame_keyed(&mut body, KEY, &encode(&layout.centres));
    // All hosts write as the same writer's first call: the store takes one of them.
    let writer = Writer { name: KEY, epoch: 1, number: 0 };
    host.store.append(LAYOUT, 0, Some(writer), body.freeze(), LIMIT).await?;
    Ok(())
}
