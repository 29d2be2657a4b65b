//! What owners of earlier builds left behind: they removed the progress of a job before its submission.
//!
//! Owners record which order they keep. Where the log names one of another build, jobs without progress are compared
//! with the history of the log of progress, which the store keeps for a while.

use std::collections::BTreeSet;
use std::time::Duration;

use log::info;

use myrtle_adapter::{StoreError, unframe_keyed};
use myrtle_job::{JobId, decode, encode};
use myrtle_owner::History;

use crate::host::Host;
use crate::job_log::PAGE_LIMIT;
use crate::names::PROGRESS;
use crate::owned::Owned;

/// Says in an owner's record that it removes the records of a job before the job's progress.
const RECORDS_FIRST: u8 = 1;

/// The value of an owner's record; earlier builds wrote the token alone.
pub fn owner_record(fence: u64) -> Vec<u8> {
    encode(&(fence, RECORDS_FIRST))
}

/// Whether an owner's record says that it removes the records of a job first.
pub fn removes_records_first(record: &[u8]) -> bool {
    decode::<(u64, u8)>(record).is_ok_and(|(_, order)| order == RECORDS_FIRST)
}

/// Reads from the history of the log of progress which of some jobs without progress had any.
///
/// # Errors
///
/// Fails if the store does not return a page.
pub async fn history(
    host: &Host,
    owned: &Owned,
    jobs: &BTreeSet<JobId>,
) -> Result<History, StoreError> {
    let mut history = History { complete: true, ..History::default() };
    if jobs.is_empty() {
        return Ok(history);
    }
    let mut from = 0;
    while !owned.closed() {
        let page = host.store.read(PROGRESS, owned.cell, from, Duration::ZERO, PAGE_LIMIT).await;
        let page = match page {
            Err(StoreError::Gone { first }) if first > from => {
                history.complete = false;
                from = first;
                continue;
            }
            page => page?,
        };
        from += page.records.len() as u64;
        let last = page.records.is_empty() || from >= page.end;
        let keys = page.records.into_iter().filter_map(|record| unframe_keyed(record).ok());
        let ids = keys.filter_map(|framed| framed.key.parse::<JobId>().ok());
        // A job that has no progress now had it removed after any record of it.
        history.removed.extend(ids.filter(|id| jobs.contains(id)));
        if last {
            break;
        }
    }
    info!(
        "event=history-read cell={} jobs={} removed={} complete={}",
        owned.cell,
        jobs.len(),
        history.removed.len(),
        history.complete
    );
    Ok(history)
}
