//! Takes over a cell: fences earlier owners, reads the log, then starts the owner's tasks.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{Item, StoreError, Writer, frame_keyed, unframe_keyed};
use myrtle_job::{Incarnation, JobId, Key, Progress, Submission, Transfer, decode, encode};
use myrtle_owner::Cell;

use crate::clock::{now, wall};
use crate::host::Host;
use crate::names::{JOBS, OWNER_WRITER, PROGRESS, owner_key, parse_owner, parse_worker};
use crate::newest::newest;
use crate::owned::Owned;
use crate::{balance, delivery, flush, learned, maintenance, operator, renewal, roster, tick};

/// The time limit for an append or a page during a takeover.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// The number of records applied between two yields to other tasks: a slow host reads a large cell for 2 s, and its
/// membership lapses after 1.6 s without a renewal.
const YIELD_EVERY: usize = 32;

/// How long a read waits for accepted jobs.
const READ_WAIT: Duration = Duration::from_millis(2_000);

/// The time allowed for the reply to a waiting read beyond its wait.
const REPLY_MARGIN: Duration = Duration::from_millis(700);

/// The call numbers of an owner's first appends.
const FENCE_APPEND: u64 = 0;
const LEASE_APPEND: u64 = 1;

/// The call number of an owner's first batch.
pub const FIRST_BATCH: u64 = 2;

/// Starts to own a cell, confirmed by the store at a time; its tasks run until the owner is closed.
pub fn begin(host: &Arc<Host>, cell: u32, fence: u64, confirmed: u64) -> Arc<Owned> {
    info!("event=owner-begins cell={cell} fence={fence}");
    let mut state = Cell::new(host.settings.owner_bounds(), fence, now());
    state.number = cell;
    host.directory.note_end(cell, fence, state.began_at + renewal::ttl(host));
    state.ended_owners = host.directory.ended(cell);
    state.only_cell = host.layout().is_none_or(|layout| layout.count() < 2);
    let owned = Arc::new(Owned::new(cell, fence, state, confirmed, renewal::ttl(host)));
    host.own(cell, owned.clone());
    // Only once the cell is listed as owned, so that no change in between is missed.
    operator::evacuate(host, &owned);
    tokio::spawn(take_over(host.clone(), owned.clone()));
    owned
}

/// Takes over the cell and acts for it until the owner is closed.
async fn take_over(host: Arc<Host>, owned: Arc<Owned>) {
    let started = now();
    if !fence_earlier(&host, &owned).await {
        return;
    }
    while !owned.closed() {
        match load(&host, &owned).await {
            Ok(()) => break,
            Err(e) => {
                host.store_failed(&e);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    if owned.closed() || !mark_leasing(&host, &owned).await {
        return;
    }
    learned::load(&host, &owned).await;
    wait_operator(&host).await;
    let jobs = {
        let mut cell = owned.state();
        cell.loaded = true;
        cell.jobs.len()
    };
    info!("event=owner-loaded cell={} jobs={jobs} took_ms={}", owned.cell, now() - started);
    // Workers are called only now, as their reports can't be applied before the jobs are loaded.
    tokio::spawn(roster::follow(host.clone(), owned.clone()));
    tokio::spawn(flush::run(host.clone(), owned.clone()));
    tokio::spawn(tick::run(owned.clone()));
    tokio::spawn(balance::run(host.clone(), owned.clone()));
    let inherited = owned.state().deliveries();
    delivery::deliver_all(&host, &owned, inherited);
    tokio::spawn(learned::run(host.clone(), owned.clone()));
    tokio::spawn(maintenance::run(host.clone(), owned.clone()));
    follow_jobs(host, owned).await;
}

/// Waits until the operator's records have been read, so that nothing starts in an evacuated data centre; ends when a
/// host without them counts as out of contact.
async fn wait_operator(host: &Host) {
    let end = now() + host.settings.bounds.contact;
    while !host.evacuated.loaded() && now() < end {
        sleep(RETRY_PAUSE).await;
    }
}

/// Fences every earlier owner off the log; false if there is a later one.
async fn fence_earlier(host: &Host, owned: &Owned) -> bool {
    // The record has no value, as an owner that ends before it has read the log granted no lease and is not waited for.
    write_owner(host, owned, FENCE_APPEND, &[]).await
}

/// Records for successors that this owner may have granted leases; false if there is a later owner.
async fn mark_leasing(host: &Host, owned: &Owned) -> bool {
    write_owner(host, owned, LEASE_APPEND, &encode(&owned.fence)).await
}

/// Writes this owner's record until the log holds it; false if there is a later owner.
async fn write_owner(host: &Host, owned: &Owned, number: u64, record: &[u8]) -> bool {
    let mut body = BytesMut::new();
    frame_keyed(&mut body, &owner_key(owned.fence), record);
    let body = body.freeze();
    while !owned.closed() {
        let writer = Writer { name: OWNER_WRITER, epoch: owned.fence, seq: number };
        let done =
            host.store.append(PROGRESS, owned.cell, Some(writer), body.clone(), CALL_LIMIT).await;
        match done {
            Ok(_) => return true,
            Err(StoreError::Fenced) => owned.depose("the log"),
            Err(e) => {
                host.store_failed(&e);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    false
}

/// The log's records of progress, workers and owners.
#[derive(Debug, Default)]
struct ReadProgress {
    progress: Vec<(JobId, Progress)>,
    /// The descriptions of workers by earlier owners.
    workers: Vec<(Incarnation, Vec<u8>)>,
    /// Jobs whose progress can't be decoded, with the reason.
    unreadable: Vec<(JobId, String)>,
}

/// Reads the cell's jobs and their progress into the owner's state.
async fn load(host: &Host, owned: &Owned) -> Result<(), StoreError> {
    let read = read_progress(host, owned).await?;
    let (jobs, end) = read_jobs(host, owned.cell).await?;
    for (count, (key, value)) in jobs.iter().enumerate() {
        yield_turn(count).await;
        admit(host, owned, *key, value);
    }
    // Some of these jobs may have been cancelled before they were accepted.
    for (id, why) in read.unreadable {
        owned.state().withhold(id, &why);
    }
    for (count, (id, progress)) in read.progress.into_iter().enumerate() {
        yield_turn(count).await;
        owned.state().restore_progress(id, progress, now());
    }
    // The progress may already contain some of the transfers in the log, so they come after it.
    let transfers = jobs.iter().filter(|(key, _)| !matches!(key, Key::Job(_)));
    transfers.for_each(|(key, value)| admit(host, owned, *key, value));
    owned.next_offset.store(end, Ordering::Relaxed);
    Ok(())
}

/// Yields to other tasks at every `YIELD_EVERY`th record.
async fn yield_turn(count: usize) {
    if count.is_multiple_of(YIELD_EVERY) {
        tokio::task::yield_now().await;
    }
}

/// Reads the progress of jobs; restores the workers that were given work.
async fn read_progress(host: &Host, owned: &Owned) -> Result<ReadProgress, StoreError> {
    let mut read = ReadProgress::default();
    let take = |Item { key, value, .. }| {
        if let Some(incarnation) = parse_worker(&key) {
            return read.workers.push((incarnation, value));
        }
        if let Some(fence) = parse_owner(&key) {
            return owned.state().add_owner(fence);
        }
        let Ok(id) = key.parse::<JobId>() else {
            return warn!("event=record-unread topic={PROGRESS} key={key}");
        };
        match Progress::read(&value) {
            Ok(progress) => read.progress.push((id, progress)),
            Err(e) => read.unreadable.push((id, e.to_string())),
        }
    };
    newest(host, PROGRESS, owned.cell, CALL_LIMIT, take).await?;
    // Workers are restored last, once all earlier owners have been read.
    read.workers.iter().for_each(|(incarnation, value)| restore_worker(owned, incarnation, value));
    Ok(read)
}

/// Restores a worker that was given work.
fn restore_worker(owned: &Owned, incarnation: &Incarnation, value: &[u8]) {
    if let Err(e) = owned.state().restore_worker(incarnation, value, now()) {
        warn!("event=trace-unread worker={incarnation} reason=\"{e}\"");
    }
}

/// Reads all records of a cell's jobs, and the offset at which to continue.
async fn read_jobs(host: &Host, cell: u32) -> Result<(Vec<(Key, Vec<u8>)>, u64), StoreError> {
    let mut found = Vec::new();
    let end = newest(host, JOBS, cell, CALL_LIMIT, |item| match item.key.parse() {
        Ok(key) => found.push((key, item.value)),
        Err(e) => warn!("event=record-unread topic={JOBS} reason=\"{e}\""),
    });
    let end = end.await?;
    Ok((found, end))
}

/// Follows accepted jobs until the owner is closed.
async fn follow_jobs(host: Arc<Host>, owned: Arc<Owned>) {
    while !owned.closed() {
        match read_new(&host, &owned, READ_WAIT).await {
            Ok(_) => host.store_reached(),
            Err(StoreError::Gone { first }) => {
                warn!("event=job-log-cut cell={} first={first}", owned.cell);
                match read_jobs(&host, owned.cell).await {
                    Ok((jobs, end)) => {
                        jobs.iter().for_each(|(key, value)| admit(&host, &owned, *key, value));
                        owned.next_offset.store(end, Ordering::Relaxed);
                    }
                    Err(e) => host.store_failed(&e),
                }
            }
            Err(e) => {
                host.store_failed(&e);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads a page of new accepted jobs, and waits up to `wait` if there are none; true if there are no more.
///
/// # Errors
///
/// Fails if the store does not return the page.
pub async fn read_new(host: &Host, owned: &Owned, wait: Duration) -> Result<bool, StoreError> {
    let from = owned.next_offset.load(Ordering::Relaxed);
    let page = host.store.read(JOBS, owned.cell, from, wait, wait + REPLY_MARGIN).await?;
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
    owned.next_offset.fetch_max(next, Ordering::Relaxed);
    if any {
        owned.wake.notify_one();
    }
    Ok(next >= page.end)
}

/// Applies an accepted job, an incoming transfer, or its recall.
fn admit(host: &Host, owned: &Owned, key: Key, value: &[u8]) {
    if value.is_empty() {
        return;
    }
    let taken = match key {
        Key::Job(id) => decode::<Submission>(value).map(|submission| {
            let mut cell = owned.state();
            cell.admit(id, submission, now(), wall());
            if let Some(layout) = host.layout() {
                cell.set_home(id, layout.job_cell(id));
            }
        }),
        Key::Transfer(id) => Transfer::read(value)
            .map(|part| owned.state().receive_transfer(id, part, now(), wall())),
        Key::Recall(id) => {
            owned.state().cancel_transferred(id.job, now(), wall());
            Ok(())
        }
    };
    if let Err(e) = taken {
        warn!("event=job-unread key={key} reason=\"{e}\"");
    }
}
