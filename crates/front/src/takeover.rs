//! Takes over a cell: fences earlier owners, reads the log, then starts the owner's tasks.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{Item, StoreError, frame_keyed};
use myrtle_job::{Incarnation, JobId, Key, Progress, Submission, decode};
use myrtle_owner::Cell;

use crate::backoff::Backoff;
use crate::clock::{now, wall};
use crate::host::Host;
use crate::job_log::{self, Record};
use crate::left_behind::{history, owner_record, removes_records_first};
use crate::names::{PROGRESS, owner_key, parse_owner, parse_worker};
use crate::newest::newest;
use crate::owned::Owned;
use crate::owner_append::{self, OwnerAppend};
use crate::{
    balance, delivery, flush, learned, maintenance, operator, removal, renewal, roster, tick,
};

/// The time limit for an append or a page during a takeover.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// The number of records applied between two yields to other tasks: a slow host reads a large cell for 2 s, and its
/// membership lapses after 1.6 s without a renewal.
const YIELD_EVERY: usize = 32;

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
    state.job_room.limit = host.settings.limits.job_bytes();
    state.max_runs = host.settings.limits.max_runs();
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
    tokio::spawn(removal::run(host.clone(), owned.clone()));
    job_log::follow(host, owned).await;
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
    write_owner(host, owned, LEASE_APPEND, &owner_record(owned.fence)).await
}

/// Writes this owner's record until the log holds it; false if there is a later owner.
async fn write_owner(host: &Host, owned: &Owned, number: u64, record: &[u8]) -> bool {
    let mut body = BytesMut::new();
    frame_keyed(&mut body, &owner_key(owned.fence), record);
    if owned.closed() {
        return false;
    }
    let append = OwnerAppend {
        topic: PROGRESS,
        partition: owned.cell,
        number,
        body: body.freeze(),
        limit: CALL_LIMIT,
    };
    let backoff = Backoff::new(RETRY_PAUSE, RETRY_PAUSE);
    owner_append::append(host, owned, append, backoff).await.is_some()
}

/// The log's records of progress, workers and owners.
#[derive(Debug, Default)]
struct ReadProgress {
    progress: Vec<(JobId, Progress)>,
    /// The descriptions of workers by earlier owners.
    workers: Vec<(Incarnation, Vec<u8>)>,
    /// Jobs whose progress can't be decoded, with the reason.
    unreadable: Vec<(JobId, String)>,
    /// Whether all earlier owners remove the records of a job before its progress; nothing if the log names none.
    ordered: Option<bool>,
}

impl ReadProgress {
    /// Whether earlier owners may have removed the progress of jobs before their submissions.
    fn unproven(&self) -> bool {
        self.ordered != Some(true)
    }

    /// The jobs without progress among those of some records.
    fn without(&self, records: &[Record]) -> BTreeSet<JobId> {
        let readable = self.progress.iter().map(|(id, _)| *id);
        let known: BTreeSet<_> =
            readable.chain(self.unreadable.iter().map(|(id, _)| *id)).collect();
        let jobs = records.iter().filter_map(|record| match record.key {
            Key::Job(id) => Some(id),
            Key::Transfer(_) | Key::Recall(_) => None,
        });
        jobs.filter(|id| !known.contains(id)).collect()
    }
}

/// Reads the cell's jobs and their progress into the owner's state.
async fn load(host: &Host, owned: &Owned) -> Result<(), StoreError> {
    let read = read_progress(host, owned).await?;
    let (records, end) = job_log::read_all(host, owned.cell).await?;
    admit_all(host, owned, &read, &records).await?;
    // Some of these jobs may have been cancelled before they were accepted.
    for (id, why) in read.unreadable {
        owned.state().withhold(id, &why);
    }
    let unusable = unusable(owned, &records);
    for (count, (id, progress)) in read.progress.into_iter().enumerate() {
        yield_turn(count).await;
        if unusable.contains(&id) {
            owned.state().withhold(id, "its submission can't be read");
            continue;
        }
        owned.state().restore_progress(id, progress, now());
    }
    // The progress may already contain some of the transfers in the log, so they come after it.
    let transfers = records.iter().filter(|record| !matches!(record.key, Key::Job(_)));
    transfers.for_each(|record| job_log::apply(host, owned, record));
    *owned.next_offset() = end;
    Ok(())
}

/// Admits the jobs of the log's records; those without progress are proved first where that is necessary.
async fn admit_all(
    host: &Host,
    owned: &Owned,
    read: &ReadProgress,
    records: &[Record],
) -> Result<(), StoreError> {
    let unproven = if read.unproven() { read.without(records) } else { BTreeSet::new() };
    let history = history(host, owned, &unproven).await?;
    for (count, record) in records.iter().enumerate() {
        yield_turn(count).await;
        match record.key {
            Key::Job(id) if unproven.contains(&id) => match decode::<Submission>(&record.value) {
                Ok(submission) => {
                    let mut cell = owned.state();
                    cell.admit_unproven(id, submission, &history, now(), wall());
                    job_log::set_home(host, &mut cell, id);
                }
                Err(e) => warn!("event=job-unread key={id} reason=\"{e}\""),
            },
            _ => job_log::apply(host, owned, record),
        }
    }
    Ok(())
}

/// The jobs whose records are in the log but can't be used; their progress must stay.
fn unusable(owned: &Owned, records: &[Record]) -> BTreeSet<JobId> {
    let cell = owned.state();
    let jobs = records.iter().filter_map(|record| match record.key {
        Key::Job(id) => Some(id),
        Key::Transfer(transfer) => Some(transfer.job),
        Key::Recall(_) => None,
    });
    jobs.filter(|id| !cell.jobs.contains_key(id)).collect()
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
            let ordered = read.ordered.unwrap_or(true) && removes_records_first(&value);
            read.ordered = Some(ordered);
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
