//! Takes a cell over: bars earlier owners, reads the log, then acts.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{Item, StoreError, Writer, unframe_keyed};
use myrtle_job::{JobId, Progress, Submission, decode};
use myrtle_owner::Cell;

use crate::clock::{now, wall};
use crate::host::Host;
use crate::names::{JOBS, OWNER, PROGRESS, worker_of};
use crate::newest::newest;
use crate::owned::Owned;
use crate::{balance, flush, lessons, roster, tick, upkeep};

/// How long the store may take for an append or a page during a takeover.
const LIMIT: Duration = Duration::from_millis(2_000);

/// The pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(60);

/// How long a read waits for accepted jobs.
const WAIT: Duration = Duration::from_millis(2_000);

/// What an answer may take beyond that.
const BEYOND: Duration = Duration::from_millis(700);

/// Begins to own a cell; its parts run until it is closed.
pub fn begin(host: &Arc<Host>, cell: u32, fence: u64) -> Arc<Owned> {
    info!("event=owner-begins cell={cell} fence={fence}");
    let mut state = Cell::new(host.settings.owner_bounds(), fence, now());
    state.alone = host.layout().is_none_or(|layout| layout.count() < 2);
    let owned = Arc::new(Owned::new(cell, fence, state));
    host.own(cell, owned.clone());
    tokio::spawn(take(host.clone(), owned.clone()));
    owned
}

/// Takes the cell over and acts for it until it is closed.
async fn take(host: Arc<Host>, owned: Arc<Owned>) {
    let began = now();
    if !bar(&host, &owned).await {
        return;
    }
    while !owned.closed() {
        match load(&host, &owned).await {
            Ok(()) => break,
            Err(e) => {
                host.store_missed(&e);
                sleep(PAUSE).await;
            }
        }
    }
    if owned.closed() {
        return;
    }
    lessons::recall(&host, &owned).await;
    let jobs = {
        let mut cell = owned.state();
        cell.loaded = true;
        cell.jobs.len()
    };
    info!("event=owner-loaded cell={} jobs={jobs} took_ms={}", owned.cell, now() - began);
    // Workers are asked only now: what they tell makes no sense before the jobs are known.
    tokio::spawn(roster::follow(host.clone(), owned.clone()));
    tokio::spawn(flush::run(host.clone(), owned.clone()));
    tokio::spawn(tick::run(owned.clone()));
    tokio::spawn(balance::run(host.clone(), owned.clone()));
    let inherited = owned.state().deliveries();
    balance::deliver_all(&host, &owned, inherited);
    tokio::spawn(lessons::run(host.clone(), owned.clone()));
    tokio::spawn(upkeep::run(host.clone(), owned.clone()));
    tail(host, owned).await;
}

/// Bars every earlier owner from the log; false if a later one has come.
async fn bar(host: &Host, owned: &Owned) -> bool {
    while !owned.closed() {
        let writer = Writer { name: OWNER, epoch: owned.fence, number: 0 };
        let done = host.store.append(PROGRESS, owned.cell, Some(writer), Bytes::new(), LIMIT).await;
        match done {
            Ok(_) => return true,
            Err(StoreError::Fenced) => owned.depose("the log"),
            Err(e) => {
                host.store_missed(&e);
                sleep(PAUSE).await;
            }
        }
    }
    false
}

/// Reads the jobs of the cell and how far they have come.
async fn load(host: &Host, owned: &Owned) -> Result<(), StoreError> {
    let mut read = progress(host, owned).await?;
    let (jobs, end) = pages(host, JOBS, owned.cell).await?;
    for (id, value) in jobs {
        admit(host, owned, id, &value);
        if let Some(progress) = read.remove(&id) {
            owned.state().inherit(id, progress, now());
        }
    }
    // Jobs that were taken back before they were known.
    for (id, progress) in read {
        owned.state().inherit(id, progress, now());
    }
    owned.read.store(end, Ordering::Relaxed);
    Ok(())
}

/// How far jobs have come; workers that were given work are taken in at once.
async fn progress(host: &Host, owned: &Owned) -> Result<HashMap<JobId, Progress>, StoreError> {
    let mut read = HashMap::new();
    let take = |Item { key, value, .. }| {
        if let Some(life) = worker_of(&key) {
            return recall(owned, life, &value);
        }
        let Ok(id) = key.parse::<JobId>() else {
            return warn!("event=record-unread topic={PROGRESS} key={key}");
        };
        match Progress::read(&value) {
            Ok(progress) => drop(read.insert(id, progress)),
            Err(e) => warn!("event=progress-unread job={id} reason=\"{e}\""),
        }
    };
    newest(host, PROGRESS, owned.cell, LIMIT, take).await?;
    Ok(read)
}

/// Takes in where a worker is that was given work.
fn recall(owned: &Owned, life: &str, value: &[u8]) {
    if let Err(e) = owned.state().recall_worker(life, value, now()) {
        warn!("event=trace-unread worker={life} reason=\"{e}\"");
    }
}

/// All newest records of a partition, and the offset from which to go on.
async fn pages(
    host: &Host,
    topic: &str,
    cell: u32,
) -> Result<(Vec<(JobId, Vec<u8>)>, u64), StoreError> {
    let mut found = Vec::new();
    let end = newest(host, topic, cell, LIMIT, |item| match item.key.parse() {
        Ok(id) => found.push((id, item.value)),
        Err(e) => warn!("event=record-unread topic={topic} reason=\"{e}\""),
    });
    let end = end.await?;
    Ok((found, end))
}

/// Reads accepted jobs as they come, until the cell is another host's.
async fn tail(host: Arc<Host>, owned: Arc<Owned>) {
    while !owned.closed() {
        match read_on(&host, &owned, WAIT).await {
            Ok(()) => host.store_reached(),
            Err(StoreError::Gone { first }) => {
                warn!("event=job-log-cut cell={} first={first}", owned.cell);
                match pages(&host, JOBS, owned.cell).await {
                    Ok((jobs, end)) => {
                        jobs.iter().for_each(|(id, value)| admit(&host, &owned, *id, value));
                        owned.read.store(end, Ordering::Relaxed);
                    }
                    Err(e) => host.store_missed(&e),
                }
            }
            Err(e) => {
                host.store_missed(&e);
                sleep(PAUSE).await;
            }
        }
    }
}

/// Reads accepted jobs once; waits for one if there is none.
pub async fn read_on(host: &Host, owned: &Owned, wait: Duration) -> Result<(), StoreError> {
    let from = owned.read.load(Ordering::Relaxed);
    let page = host.store.read(JOBS, owned.cell, from, wait, wait + BEYOND).await?;
    let next = from + page.records.len() as u64;
    let any = !page.records.is_empty();
    for record in page.records {
        match unframe_keyed(record) {
            Ok(framed) => match framed.key.parse() {
                Ok(id) => admit(host, owned, id, &framed.value),
                Err(e) => warn!("event=job-unread reason=\"{e}\""),
            },
            Err(e) => warn!("event=job-unread reason=\"{e}\""),
        }
    }
    owned.read.fetch_max(next, Ordering::Relaxed);
    if any {
        owned.work.notify_one();
    }
    Ok(())
}

/// Takes in an accepted job.
fn admit(host: &Host, owned: &Owned, id: JobId, value: &[u8]) {
    if value.is_empty() {
        return;
    }
    match decode::<Submission>(value) {
        Ok(submission) => {
            let mut cell = owned.state();
            cell.admit(id, submission, now(), wall());
            if host.layout().is_some_and(|l| l.home(id) == owned.cell) {
                cell.settle(id);
            }
        }
        Err(e) => warn!("event=job-unread job={id} reason=\"{e}\""),
    }
}
