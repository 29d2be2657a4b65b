//! Finds the cells of the deployment in the log, or has a part in cutting them.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{Item, StoreError, Writer, frame_keyed, read_listing, topics, unframe_keyed};
use myrtle_job::{decode, encode};

use crate::fleet::Announced;
use crate::host::Host;
use crate::layout::Layout;
use crate::names::{HOSTS, LAYOUT};
use crate::newest::newest;
use crate::settings::Cells;
use crate::survey::{DOUBLED, Survey};

/// How long the store may take.
const LIMIT: Duration = Duration::from_millis(2_000);

/// The pause between two looks.
const PAUSE: Duration = Duration::from_millis(700);

/// The most classes of strength; the strongest carries 2,048 workers and more.
const CLASSES: u32 = 12;

/// The key of the layout.
const KEY: &str = "cells";

/// Waits until the cells are known; the first host to write them decides for all.
pub async fn find(host: &Host) -> Layout {
    if host.settings.cells == Cells::One {
        return Layout::default();
    }
    let mut search = Search { host, survey: Survey::default(), place: None, from: None };
    loop {
        match search.look().await {
            Ok(Some(layout)) => {
                info!(
                    "event=layout cells={} centres=\"{layout}\" size={} carries={}",
                    layout.count(),
                    layout.size(),
                    host.settings.carries()
                );
                return layout;
            }
            Ok(None) => host.store_reached(),
            Err(e) => {
                host.store_missed(&e);
                search.survey.pass(1);
                sleep(PAUSE).await;
            }
        }
    }
}

/// A host that looks for the cells.
struct Search<'a> {
    host: &'a Host,
    survey: Survey,
    /// How many hosts of its class were there before it, once it has announced itself.
    place: Option<usize>,
    /// Where the topic of the cells goes on, once it has been read.
    from: Option<u64>,
}

impl Search<'_> {
    /// Has a part in cutting the cells if this host's turn has come, and waits for them a while.
    async fn look(&mut self) -> Result<Option<Layout>, StoreError> {
        if self.from.is_none()
            && let Some(layout) = self.whole().await?
        {
            return Ok(Some(layout));
        }
        let place = match self.place {
            Some(place) => place,
            None => *self.place.insert(announce(self.host).await?),
        };
        // Those of a class that is full wait until more are to count.
        let first = place < self.survey.counters();
        let counts = first && place + stronger(self.host).await? < self.survey.counters();
        if counts {
            self.count().await?;
        }
        let looks = if first { 1 } else { DOUBLED };
        self.survey.pass(looks);
        self.wait(PAUSE * looks).await
    }

    /// Reads the cells, if they are known.
    async fn whole(&mut self) -> Result<Option<Layout>, StoreError> {
        let mut found = None;
        let take = |item: Item| found = Layout::read(&item.value).ok();
        self.from = Some(newest(self.host, LAYOUT, 0, LIMIT, take).await?);
        Ok(found)
    }

    /// Waits for the cells to be written.
    async fn wait(&mut self, time: Duration) -> Result<Option<Layout>, StoreError> {
        let from = self.from.unwrap_or_default();
        let page = match self.host.store.read(LAYOUT, 0, from, time, time + LIMIT).await {
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

    /// Counts hosts and workers, and writes the cells that follow once that is steady.
    async fn count(&mut self) -> Result<(), StoreError> {
        let host = self.host;
        self.survey.hosts(hosts(host).await?);
        let workers = count(host).await?;
        let layout = self.survey.workers(workers, host.settings.cells, host.settings.parts);
        let Some(layout) = layout else {
            return Ok(());
        };
        let (hosts, workers) = (self.survey.fleet().hosts.len(), &self.survey.fleet().workers);
        info!("event=layout-proposed cells={} hosts={hosts} workers={workers:?}", layout.count());
        write(host, &layout).await
    }
}

/// How many classes of strength the store has partitions for.
fn classes(host: &Host) -> u32 {
    CLASSES.min(host.settings.parts as u32)
}

/// What this host tells the others of itself.
fn own(host: &Host) -> Announced {
    let settings = &host.settings;
    Announced { data_centre: settings.data_centre.clone(), carries: settings.carries() }
}

/// Tells the other hosts what this one carries; how many of its class were there before it.
async fn announce(host: &Host) -> Result<usize, StoreError> {
    let own = own(host);
    let mut body = BytesMut::new();
    frame_keyed(&mut body, &host.settings.name, &encode(&own));
    let class = own.class(classes(host));
    let end = host.store.append(HOSTS, class, None, body.freeze(), LIMIT).await?;
    Ok(end.saturating_sub(1) as usize)
}

/// How many hosts of stronger classes have announced themselves.
async fn stronger(host: &Host) -> Result<usize, StoreError> {
    let mut sum = 0;
    for class in own(host).class(classes(host)) + 1..classes(host) {
        // An append of nothing tells where the partition ends.
        sum += host.store.append(HOSTS, class, None, Bytes::new(), LIMIT).await?;
    }
    Ok(sum as usize)
}

/// What the hosts have told of themselves.
async fn hosts(host: &Host) -> Result<BTreeMap<String, Announced>, StoreError> {
    let mut hosts = BTreeMap::new();
    for class in 0..classes(host) {
        newest(host, HOSTS, class, LIMIT, |item| match decode(&item.value) {
            Ok(announced) => drop(hosts.insert(item.key, announced)),
            Err(e) => warn!("event=host-unread host={} reason=\"{e}\"", item.key),
        })
        .await?;
    }
    Ok(hosts)
}

/// How many workers each data centre lists.
async fn count(host: &Host) -> Result<BTreeMap<String, usize>, StoreError> {
    let mut workers = BTreeMap::new();
    newest(host, topics::WORKERS, 0, LIMIT, |item| {
        if let Ok(listing) = read_listing(&item.value, item.offset)
            && host.configuration().is_none_or(|c| c.names(&listing.service))
        {
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
