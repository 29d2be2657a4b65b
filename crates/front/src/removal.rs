//! Removes the records of jobs that are over from the cell's log of jobs.
//!
//! The appends carry the owner's token, so that one of an earlier owner that the store has held back fails once this
//! owner has removed anything, and a repeat removes nothing that was written after the first one.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use log::info;
use tokio::time::{Instant, sleep};

use myrtle_adapter::{Appended, frame_keyed};
use myrtle_owner::RemovalGroup;

use crate::backoff::Backoff;
use crate::flush::MAX_APPEND;
use crate::host::Host;
use crate::names::JOBS;
use crate::owned::Owned;
use crate::owner_append::{self, OwnerAppend};

/// The time between two checks for records to remove.
const EVERY: Duration = Duration::from_millis(250);

/// The time limit for an append.
const APPEND_LIMIT: Duration = Duration::from_millis(1_000);

/// The pause after a failed append, doubled up to the maximum.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause; removals are not urgent.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// The space that a removed key takes beside its own bytes at most, in bytes.
const KEY_OVERHEAD: usize = 8;

/// Runs until the owner is closed; its successor removes what is left.
pub async fn run(host: Arc<Host>, owned: Arc<Owned>) {
    let mut number = 0;
    while !owned.closed() {
        let (groups, open) = {
            let mut cell = owned.state();
            (cell.take_removals(), cell.open_removals())
        };
        host.meter.level("myrtle_removals", &format!("cell {}", owned.cell), open as i64);
        for groups in appends(groups) {
            if !remove(&host, &owned, number, &groups).await {
                return;
            }
            number += 1;
        }
        sleep(EVERY).await;
    }
}

/// Divides groups of records among appends; a group is never divided.
fn appends(groups: Vec<RemovalGroup>) -> Vec<Vec<RemovalGroup>> {
    let mut appends: Vec<Vec<RemovalGroup>> = Vec::new();
    let mut size = 0;
    for group in groups {
        let bytes: usize = group.iter().map(|key| key.to_string().len() + KEY_OVERHEAD).sum();
        size += bytes;
        match appends.last_mut().filter(|_| size <= MAX_APPEND) {
            Some(append) => append.push(group),
            None => {
                size = bytes;
                appends.push(vec![group]);
            }
        }
    }
    appends
}

/// Removes records until the log confirms it; false if the owner was closed before.
async fn remove(host: &Host, owned: &Owned, number: u64, groups: &[RemovalGroup]) -> bool {
    let (body, records) = frame(groups);
    let started = Instant::now();
    let append =
        OwnerAppend { topic: JOBS, partition: owned.cell, number, body, limit: APPEND_LIMIT };
    let backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
    let Some(Appended { offset, .. }) = owner_append::append(host, owned, append, backoff).await
    else {
        return false;
    };
    let (cell, count, took) = (owned.cell, groups.len(), started.elapsed().as_millis());
    info!("event=jobs-removed cell={cell} groups={count} offset={offset} took_ms={took}");
    confirm(owned, groups, offset + records.saturating_sub(1));
    true
}

/// Frames removals, a record without a value for each key; returns their number too.
fn frame(groups: &[RemovalGroup]) -> (Bytes, u64) {
    let mut body = BytesMut::new();
    let keys = groups.iter().flatten();
    keys.clone().for_each(|key| frame_keyed(&mut body, &key.to_string(), &[]));
    (body.freeze(), keys.count() as u64)
}

/// Tells the owner's state that the log holds removals up to an offset, which may have been read already.
fn confirm(owned: &Owned, groups: &[RemovalGroup], last: u64) {
    let next = owned.next_offset();
    let mut cell = owned.state();
    cell.removals_appended(groups, last);
    cell.records_read(*next);
    drop(cell);
    owned.wake.notify_one();
}
