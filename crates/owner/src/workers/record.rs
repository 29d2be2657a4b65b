//! The descriptions of workers in the log, by which a successor reaches each worker that was given
//! work.
//!
//! A worker that leaves without notice is no longer listed but keeps running its tasks. A successor
//! needs its address; otherwise the state of its runs is unknown until all its leases expire. One
//! short record per incarnation takes less space than an address in each run.

use serde::{Deserialize, Serialize};

use myrtle_job::{Incarnation, Listing, RecordError, decode, encode};

use crate::workers::wait::{LoggedWait, Wait};

use crate::{Cell, Worker};

/// A worker's encoded description for the log; an empty value removes it.
pub type WorkerRecord = (Incarnation, Vec<u8>);

/// The record of a worker; fields were added at the end.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    /// The worker's entry in the list.
    listing: Listing,
    /// How long no lease has been given to it.
    wait: LoggedWait,
}

impl Record {
    /// Decodes a record, or one of the older form with only a listing.
    fn read(bytes: &[u8]) -> Result<Self, RecordError> {
        let listing_only =
            || decode(bytes).map(|listing| Self { listing, wait: LoggedWait::default() });
        decode(bytes).or_else(|_| listing_only())
    }
}

impl Cell {
    /// Restores a worker from the record of an earlier owner.
    ///
    /// # Errors
    ///
    /// The bytes can't be decoded as a record.
    pub fn restore_worker(
        &mut self,
        incarnation: &Incarnation,
        record: &[u8],
        now: u64,
    ) -> Result<(), RecordError> {
        let Record { listing, wait } = Record::read(record)?;
        let leaving = listing.draining;
        let last = self.earlier_owners.last().copied();
        let wait = Wait::inherited(wait, last, &self.ended_owners, now);
        let worker = self.workers.entry(incarnation.clone()).or_insert_with(|| Worker::new(now));
        worker.wait = wait;
        worker.listing.get_or_insert(listing);
        worker.update_evacuated(&self.evacuated);
        worker.logged = true;
        (worker.leaving, worker.leaving_logged) = (leaving, leaving);
        Ok(())
    }

    /// The records that have to be in the log before the starts written now are sent.
    pub(crate) fn worker_records(&mut self) -> Vec<WorkerRecord> {
        let obsolete = std::mem::take(&mut self.obsolete_records);
        let mut records: Vec<_> =
            obsolete.into_iter().map(|incarnation| (incarnation, Vec::new())).collect();
        let changed = |w: &Worker| !w.logged || w.leaving != w.leaving_logged;
        let due = |w: &Worker| !w.active_runs.is_empty() && changed(w) || w.wait.due();
        for (incarnation, worker) in self.workers.iter_mut().filter(|(_, w)| due(w)) {
            let Some(mut listing) = worker.listing.clone() else {
                continue;
            };
            listing.draining = worker.leaving;
            worker.leaving_logged = worker.leaving;
            let record = Record { listing, wait: worker.wait.take_due() };
            records.push((incarnation.clone(), encode(&record)));
        }
        records
    }

    /// Marks these records as written to the log.
    pub(crate) fn mark_logged(&mut self, records: Vec<WorkerRecord>) {
        for (incarnation, record) in records {
            let present = !record.is_empty();
            match self.workers.get_mut(&incarnation) {
                Some(worker) => {
                    worker.logged = present;
                    worker.wait.mark_written();
                }
                // The worker was removed while its record was being written.
                None if present => self.obsolete_records.push(incarnation),
                None => {}
            }
        }
    }
}
