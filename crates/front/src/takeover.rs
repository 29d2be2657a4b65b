//! Takes a cell over: bars earlier owners, reads the log, then acts.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{Item, StoreError, Writer, frame_keyed, unframe_keyed};
use myrtle_job::{Incarnation, JobId, Key, Part, Progress, Submission, decode, encode};
use myrtle_owner::Cell;

use crate::clock::{now, wall};
use crate::host::Host;
use crate::names::{JOBS, OWNER, PROGRESS, owner_key, owner_of, worker_of};
use crate::newest::newest;
use crate::owned::Owned;
use crate::{balance, flush, hold, lessons, operator, roster, tick, upkeep};

/// How long the store may take for an append or a page during a takeover.
const LIMIT: Duration = Duration::from_millis(2_000);

/// The pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(60);

/// Records that are taken in before the host's other parts get a turn: a weak host reads a large cell
/// for 2 s, and its membership lapses after 1.6 s without a renewal.
const AT_ONCE: usize = 32;

/// How long a read waits for accepted jobs.
const WAIT: Duration = Duration::from_millis(2_000);

/// What an answer may take beyond that.
const BEYOND: Duration = Duration::from_millis(700);

/// The numbers of an owner's first appends.
const BAR: u64 = 0;
const CLAIM: u64 = 1;

/// The number of an owner's first batch.
pub const FIRST_BATCH: u64 = 2;

/// Begins to own a cell, which the store confirmed at a moment; its parts run until it is closed.
pub fn begin(host: &Arc<Host>, cell: u32, fence: u64, confirmed: u64) -> Arc<Owned> {
    info!("event=owner-begins cell={cell} fence={fence}");
    let mut state = Cell::new(host.settings.owner_bounds(), fence, now());
    state.number = cell;
    host.directory.end(cell, fence, state.began + hold::ttl(host));
    state.ended = host.directory.ended(cell);
    state.alone = host.layout().is_none_or(|layout| layout.count() < 2);
    let owned = Arc::new(Owned::new(cell, fence, state, confirmed, hold::ttl(host)));
    host.own(cell, owned.clone());
    // After it is known as owned, so that nothing that comes meanwhile is missed.
    operator::empty(host, &owned);
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
    if owned.closed() || !claim(&host, &owned).await {
        return;
    }
    lessons::recall(&host, &owned).await;
    operator_known(&host).await;
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

/// Waits until the operator's records have been read, so that nothing starts in a data centre that is being
/// emptied; a host that cannot read them for so long is not in touch.
async fn operator_known(host: &Host) {
    let end = now() + host.settings.bounds.contact;
    while !host.emptied.known() && now() < end {
        sleep(PAUSE).await;
    }
}

/// Bars every earlier owner from the log; false if a later one has come.
async fn bar(host: &Host, owned: &Owned) -> bool {
    // A record without a value: whoever ends before it has read the log has given no lease out, and is not waited for.
    write(host, owned, BAR, &[]).await
}

/// Tells later owners that this one may have given leases out; false if one has come.
async fn claim(host: &Host, owned: &Owned) -> bool {
    write(host, owned, CLAIM, &encode(&owned.fence)).await
}

/// Writes this owner's record until the log holds it; false if a later one has come.
async fn write(host: &Host, owned: &Owned, number: u64, record: &[u8]) -> bool {
    let mut body = BytesMut::new();
    frame_keyed(&mut body, &owner_key(owned.fence), record);
    let body = body.freeze();
    while !owned.closed() {
        let writer = Writer { name: OWNER, epoch: owned.fence, number };
        let done = host.store.append(PROGRESS, owned.cell, Some(writer), body.clone(), LIMIT).await;
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

/// What the log holds of how far jobs have come.
#[derive(Debug, Default)]
struct Read {
    progress: Vec<(JobId, Progress)>,
    /// What earlier owners wrote of workers.
    workers: Vec<(Incarnation, Vec<u8>)>,
    /// Jobs whose progress makes no sense, with the reason.
    unread: Vec<(JobId, String)>,
}

/// Reads the jobs of the cell and how far they have come.
async fn load(host: &Host, owned: &Owned) -> Result<(), StoreError> {
    let read = progress(host, owned).await?;
    let (jobs, end) = jobs(host, owned.cell).await?;
    for (count, (key, value)) in jobs.iter().enumerate() {
        breathe(count).await;
        admit(host, owned, *key, value);
    }
    // Some are of jobs that were taken back before they were known.
    for (id, why) in read.unread {
        owned.state().withhold(id, &why);
    }
    for (count, (id, progress)) in read.progress.into_iter().enumerate() {
        breathe(count).await;
        owned.state().inherit(id, progress, now());
    }
    // The progress that was read may tell of some of the parts that are in the log, or of none.
    let parts = jobs.iter().filter(|(key, _)| !matches!(key, Key::Job(_)));
    parts.for_each(|(key, value)| admit(host, owned, *key, value));
    owned.read.store(end, Ordering::Relaxed);
    Ok(())
}

/// Lets the host's other parts have a turn between records.
async fn breathe(count: usize) {
    if count.is_multiple_of(AT_ONCE) {
        tokio::task::yield_now().await;
    }
}

/// How far jobs have come; workers that were given work are taken in at once.
async fn progress(host: &Host, owned: &Owned) -> Result<Read, StoreError> {
    let mut read = Read::default();
    let take = |Item { key, value, .. }| {
        if let Some(life) = worker_of(&key) {
            return read.workers.push((life, value));
        }
        if let Some(fence) = owner_of(&key) {
            return owned.state().note_owner(fence);
        }
        let Ok(id) = key.parse::<JobId>() else {
            return warn!("event=record-unread topic={PROGRESS} key={key}");
        };
        match Progress::read(&value) {
            Ok(progress) => read.progress.push((id, progress)),
            Err(e) => read.unread.push((id, e.to_string())),
        }
    };
    newest(host, PROGRESS, owned.cell, LIMIT, take).await?;
    // Only now are all earlier owners known.
    read.workers.iter().for_each(|(life, value)| recall(owned, life, value));
    Ok(read)
}

/// Takes in where a worker is that was given work.
fn recall(owned: &Owned, life: &Incarnation, value: &[u8]) {
    if let Err(e) = owned.state().recall_worker(life, value, now()) {
        warn!("event=trace-unread worker={life} reason=\"{e}\"");
    }
}

/// All that is in the log of a cell's jobs, and the offset from which to go on.
async fn jobs(host: &Host, cell: u32) -> Result<(Vec<(Key, Vec<u8>)>, u64), StoreError> {
    let mut found = Vec::new();
    let end = newest(host, JOBS, cell, LIMIT, |item| match item.key.parse() {
        Ok(key) => found.push((key, item.value)),
        Err(e) => warn!("event=record-unread topic={JOBS} reason=\"{e}\""),
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
                match jobs(&host, owned.cell).await {
                    Ok((jobs, end)) => {
                        jobs.iter().for_each(|(key, value)| admit(&host, &owned, *key, value));
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
                Ok(key) => admit(host, owned, key, &framed.value),
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

/// Takes in an accepted job, or what another cell hands on of one.
fn admit(host: &Host, owned: &Owned, key: Key, value: &[u8]) {
    if value.is_empty() {
        return;
    }
    let taken = match key {
        Key::Job(id) => decode::<Submission>(value).map(|submission| {
            let mut cell = owned.state();
            cell.admit(id, submission, now(), wall());
            if let Some(layout) = host.layout() {
                cell.settle(id, layout.home(id));
            }
        }),
        Key::Part(id) => {
            Part::read(value).map(|part| owned.state().take_part(id, part, now(), wall()))
        }
        Key::Recall(id) => {
            owned.state().take_back(id.job, now(), wall());
            Ok(())
        }
    };
    if let Err(e) = taken {
        warn!("event=job-unread key={key} reason=\"{e}\"");
    }
}
