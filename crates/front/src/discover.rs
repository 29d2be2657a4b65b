//! Reads the layout of cells from the store, or takes part in computing it.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{Item, StoreError, Writer, frame_keyed, read_listing, topics, unframe_keyed};
use myrtle_job::{decode, encode};

use crate::fleet::Announcement;
use crate::host::Host;
use crate::layout::Layout;
use crate::names::{HOSTS, LAYOUT};
use crate::newest::newest;
use crate::settings::Cells;
use crate::survey::{DOUBLE_EVERY, Survey};

/// The time limit for a call to the store.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);

/// The pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(700);

/// The largest number of capacity classes; the last one holds hosts for 2,048 workers and more.
const MAX_CLASSES: u32 = 12;

/// The key of the layout's record and the name of its writer.
const KEY: &str = "cells";

/// Waits for the layout; the first host to write one decides for all.
pub async fn find(host: &Host) -> Layout {
    if host.settings.cells == Cells::One {
        return Layout::default();
    }
    let mut search = Search { host, survey: Survey::default(), rank: None, from: None };
    loop {
        match search.round().await {
            Ok(Some(layout)) => {
                info!(
                    "event=layout cells={} centres=\"{layout}\" size={} carries={}",
                    layout.count(),
                    layout.max_size(),
                    host.settings.max_workers()
                );
                return layout;
            }
            Ok(None) => host.store_reached(),
            Err(e) => {
                host.store_failed(&e);
                search.survey.add_rounds(1);
                sleep(ROUND_PAUSE).await;
            }
        }
    }
}

/// The search of one host for the layout.
struct Search<'a> {
    host: &'a Host,
    survey: Survey,
    /// The number of hosts of the same class that announced themselves before, once this one has.
    rank: Option<usize>,
    /// The next offset of the layout's topic, once it has been read.
    from: Option<u64>,
}

impl Search<'_> {
    /// Takes part in computing the layout if this host is among the counters, then waits for it.
    async fn round(&mut self) -> Result<Option<Layout>, StoreError> {
        if self.from.is_none()
            && let Some(layout) = self.read_layout().await?
        {
            return Ok(Some(layout));
        }
        let rank = match self.rank {
            Some(rank) => rank,
            None => *self.rank.insert(announce(self.host).await?),
        };
        // Hosts further back in their class wait until the number of counters has doubled.
        let may_count = rank < self.survey.counters();
        let is_counter =
            may_count && rank + count_larger(self.host).await? < self.survey.counters();
        if is_counter {
            self.survey_fleet().await?;
        }
        let rounds = if may_count { 1 } else { DOUBLE_EVERY };
        self.survey.add_rounds(rounds);
        self.wait_layout(ROUND_PAUSE * rounds).await
    }

    /// Reads the layout, if there is one.
    async fn read_layout(&mut self) -> Result<Option<Layout>, StoreError> {
        let mut found = None;
        let take = |item: Item| found = Layout::read(&item.value).ok();
        self.from = Some(newest(self.host, LAYOUT, 0, CALL_LIMIT, take).await?);
        Ok(found)
    }

    /// Waits for the layout to be written.
    async fn wait_layout(&mut self, time: Duration) -> Result<Option<Layout>, StoreError> {
        let from = self.from.unwrap_or_default();
        let page = match self.host.store.read(LAYOUT, 0, from, time, time + CALL_LIMIT).await {
            Ok(page) => page,
            Err(StoreError::Gone { .. }) => {
                self.from = None;
                return Ok(None);
            }
            Err(e) => return Err(e),
        };
        self.from = Some(from + page.records.len() as u64);
        let values = page.records.into_iter().filter_map(|record| unframe_keyed(record).ok());
        Ok(values.filter_map(|framed| Layout::read(&framed.value).ok()).next())
    }

    /// Counts hosts and workers, and writes the layout once both are steady.
    async fn survey_fleet(&mut self) -> Result<(), StoreError> {
        let host = self.host;
        self.survey.hosts(read_hosts(host).await?);
        let workers = count_workers(host).await?;
        let layout = self.survey.workers(workers, host.settings.cells, host.settings.parts);
        let Some(layout) = layout else {
            return Ok(());
        };
        let (hosts, workers) = (self.survey.fleet().hosts.len(), &self.survey.fleet().workers);
        info!("event=layout-proposed cells={} hosts={hosts} workers={workers:?}", layout.count());
        write_layout(host, &layout).await
    }
}

/// The number of capacity classes for which the store has partitions.
fn class_count(host: &Host) -> u32 {
    MAX_CLASSES.min(host.settings.parts as u32)
}

/// This host's announcement.
fn announcement(host: &Host) -> Announcement {
    let settings = &host.settings;
    Announcement { data_centre: settings.data_centre.clone(), max_workers: settings.max_workers() }
}

/// Announces this host; returns how many hosts of its class did so before.
async fn announce(host: &Host) -> Result<usize, StoreError> {
    let announcement = announcement(host);
    let mut body = BytesMut::new();
    frame_keyed(&mut body, &host.settings.name, &encode(&announcement));
    let class = announcement.class(class_count(host));
    let appended = host.store.append(HOSTS, class, None, body.freeze(), CALL_LIMIT).await?;
    Ok(appended.end.saturating_sub(1) as usize)
}

/// The number of announcements in classes of more capacity.
async fn count_larger(host: &Host) -> Result<usize, StoreError> {
    let mut sum = 0;
    for class in announcement(host).class(class_count(host)) + 1..class_count(host) {
        // An empty append returns the end of the partition.
        sum += host.store.append(HOSTS, class, None, Bytes::new(), CALL_LIMIT).await?.end;
    }
    Ok(sum as usize)
}

/// Reads the announcements of all hosts.
async fn read_hosts(host: &Host) -> Result<BTreeMap<String, Announcement>, StoreError> {
    let mut hosts = BTreeMap::new();
    for class in 0..class_count(host) {
        newest(host, HOSTS, class, CALL_LIMIT, |item| match decode(&item.value) {
            Ok(announced) => drop(hosts.insert(item.key, announced)),
            Err(e) => warn!("event=host-unread host={} reason=\"{e}\"", item.key),
        })
        .await?;
    }
    Ok(hosts)
}

/// Counts the listed workers of each data centre.
async fn count_workers(host: &Host) -> Result<BTreeMap<String, usize>, StoreError> {
    let mut workers = BTreeMap::new();
    newest(host, topics::WORKERS, 0, CALL_LIMIT, |item| {
        if let Ok(listing) = read_listing(&item.value, item.offset)
            && host.configuration().is_none_or(|c| c.has_service(&listing.service))
        {
            *workers.entry(listing.data_centre).or_default() += 1;
        }
    })
    .await?;
    Ok(workers)
}

async fn write_layout(host: &Host, layout: &Layout) -> Result<(), StoreError> {
    let mut body = BytesMut::new();
    frame_keyed(&mut body, KEY, &encode(layout));
    // All hosts use the first call number of the same writer, so the store takes only one layout.
    let writer = Writer { name: KEY, epoch: 1, seq: 0 };
    host.store.append(LAYOUT, 0, Some(writer), body.freeze(), CALL_LIMIT).await?;
    Ok(())
}
