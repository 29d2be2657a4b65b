//! Reads a cell's log of jobs: submissions, and what other cells transfer.
//!
//! Each record is applied once and in the order of the log, though several tasks read it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::warn;
use tokio::time::sleep;

use myrtle_adapter::{StoreError, unframe_keyed};
use myrtle_job::{JobId, Key, Submission, Transfer, decode};
use myrtle_owner::Cell;

use crate::clock::{now, wall};
use crate::host::Host;
use crate::names::JOBS;
use crate::newest::newest;
use crate::owned::Owned;

/// The time limit for a page of records without a wait.
pub const PAGE_LIMIT: Duration = Duration::from_millis(2_000);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// How long a read waits for accepted jobs.
const READ_WAIT: Duration = Duration::from_millis(2_000);

/// The time allowed for the reply to a waiting read beyond its wait.
const REPLY_MARGIN: Duration = Duration::from_millis(700);

/// A record of the log of jobs.
#[derive(Debug)]
pub struct Record {
    /// Its key.
    pub key: Key,
    /// Its value; empty if it removes the key.
    pub value: Bytes,
    /// Its offset.
    pub offset: u64,
}

/// Reads the newest record of each key, and the offset at which to continue.
///
/// # Errors
///
/// Fails with the first page that can't be read.
pub async fn read_all(host: &Host, cell: u32) -> Result<(Vec<Record>, u64), StoreError> {
    let mut found = Vec::new();
    let end = newest(host, JOBS, cell, PAGE_LIMIT, |item| match item.key.parse() {
        Ok(key) => found.push(Record { key, value: item.value.into(), offset: item.offset }),
        Err(e) => warn!("event=record-unread topic={JOBS} reason=\"{e}\""),
    });
    let end = end.await?;
    Ok((found, end))
}

/// Follows the log until the owner is closed.
pub async fn follow(host: Arc<Host>, owned: Arc<Owned>) {
    while !owned.closed() {
        match read_new(&host, &owned, READ_WAIT).await {
            Ok(_) => host.store_reached(),
            Err(StoreError::Gone { first }) => {
                warn!("event=job-log-cut cell={} first={first}", owned.cell);
                match read_all(&host, owned.cell).await {
                    Ok((records, end)) => skip_to(&host, &owned, &records, end),
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

/// Reads a page of new records, and waits up to `wait` if there are none; true if there are no more.
///
/// # Errors
///
/// Fails if the store does not return the page.
pub async fn read_new(host: &Host, owned: &Owned, wait: Duration) -> Result<bool, StoreError> {
    let from = *owned.next_offset();
    let page = host.store.read(JOBS, owned.cell, from, wait, wait + REPLY_MARGIN).await?;
    let next = from + page.records.len() as u64;
    if !page.records.is_empty() {
        apply_page(host, owned, from, page.records);
        owned.wake.notify_one();
    }
    Ok(next >= page.end)
}

/// Applies the records of a page from an offset on, but for those that another task has applied.
fn apply_page(host: &Host, owned: &Owned, from: u64, page: Vec<Bytes>) {
    let mut next = owned.next_offset();
    for (record, offset) in page.into_iter().zip(from..) {
        if offset < *next {
            continue;
        }
        *next = offset + 1;
        match read_record(record, offset) {
            Ok(record) => apply(host, owned, &record),
            Err(reason) => warn!("event=job-unread reason=\"{reason}\""),
        }
    }
    owned.state().records_read(*next);
}

fn read_record(record: Bytes, offset: u64) -> Result<Record, String> {
    let framed = unframe_keyed(record).map_err(|e| e.to_string())?;
    let key = framed.key.parse::<Key>().map_err(|e| e.to_string())?;
    Ok(Record { key, value: framed.value, offset })
}

/// Applies the newest records in place of those that the store no longer has, and continues at an offset.
fn skip_to(host: &Host, owned: &Owned, records: &[Record], end: u64) {
    let mut next = owned.next_offset();
    records.iter().for_each(|record| apply(host, owned, record));
    *next = end.max(*next);
    owned.state().records_read(*next);
}

/// Applies a record: a submission, an incoming transfer, or its recall.
pub fn apply(host: &Host, owned: &Owned, record: &Record) {
    let Record { key, value, offset } = record;
    if value.is_empty() {
        return;
    }
    let taken = match *key {
        Key::Job(id) => decode::<Submission>(value).map(|submission| {
            let mut cell = owned.state();
            cell.submission_read(id, *offset);
            cell.admit(id, submission, now(), wall());
            set_home(host, &mut cell, id);
        }),
        Key::Transfer(id) => Transfer::read(value)
            .map(|part| owned.state().receive_transfer(id, part, now(), wall())),
        Key::Recall(id) => {
            owned.state().cancel_transferred(id, now(), wall());
            Ok(())
        }
    };
    if let Err(e) = taken {
        warn!("event=job-unread key={key} reason=\"{e}\"");
    }
}

/// Tells the owner's state which cell is the home of a job.
pub fn set_home(host: &Host, cell: &mut Cell, id: JobId) {
    if let Some(layout) = host.layout() {
        cell.set_home(id, layout.job_cell(id));
    }
}
