//! What the log holds of workers, so that the next owner reaches each that was given work.
//!
//! A worker that leaves without a word is no longer listed but serves on. An owner that takes over
//! needs an address for it; else its runs go on unheard until every lease there is over. One short
//! record a incarnation of a worker costs less than an address in each run.

use serde::{Deserialize, Serialize};

use myrtle_job::{Incarnation, Listing, RecordError, decode, encode};

use crate::workers::wait::{Wait, Written};

use crate::{Cell, Worker};

/// A worker's description for the log; an empty value drops it.
pub type Trace = (Incarnation, Vec<u8>);

/// What the log holds of a worker; what came later was added at the end.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    /// Its description.
    listing: Listing,
    /// How long it has been waited for.
    wait: Written,
}

impl Record {
    /// Reads a record, also one of a description alone.
    fn read(bytes: &[u8]) -> Result<Self, RecordError> {
        let alone = || decode(bytes).map(|listing| Self { listing, wait: Written::default() });
        decode(bytes).or_else(|_| alone())
    }
}

impl Cell {
    /// Takes what an earlier owner wrote of a worker that was given work.
    ///
    /// # Errors
    ///
    /// The bytes are no description.
    pub fn recall_worker(
        &mut self,
        incarnation: &Incarnation,
        record: &[u8],
        now: u64,
    ) -> Result<(), RecordError> {
        let Record { listing, wait } = Record::read(record)?;
        let leaving = listing.draining;
        let last = self.earlier.last().copied();
        let wait = Wait::inherited(wait, last, &self.ended, now);
        let worker = self.workers.entry(incarnation.clone()).or_insert_with(|| Worker::new(now));
        worker.wait = wait;
        worker.listing.get_or_insert(listing);
        worker.mark_emptied(&self.emptied);
        worker.logged = true;
        (worker.leaving, worker.leaving_logged) = (leaving, leaving);
        Ok(())
    }

    /// What the log has to hold of workers before the runs go out that are written now.
    pub(crate) fn traces(&mut self) -> Vec<Trace> {
        let forgotten = std::mem::take(&mut self.untraced);
        let mut traces: Vec<_> =
            forgotten.into_iter().map(|incarnation| (incarnation, Vec::new())).collect();
        let news = |w: &Worker| !w.logged || w.leaving != w.leaving_logged;
        let fresh = |w: &Worker| !w.flights.is_empty() && news(w) || w.wait.due();
        for (incarnation, worker) in self.workers.iter_mut().filter(|(_, w)| fresh(w)) {
            let Some(mut listing) = worker.listing.clone() else {
                continue;
            };
            listing.draining = worker.leaving;
            worker.leaving_logged = worker.leaving;
            let record = Record { listing, wait: worker.wait.write() };
            traces.push((incarnation.clone(), encode(&record)));
        }
        traces
    }

    /// The log holds these descriptions.
    pub(crate) fn traced(&mut self, traces: Vec<Trace>) {
        for (incarnation, record) in traces {
            let there = !record.is_empty();
            match self.workers.get_mut(&incarnation) {
                Some(worker) => {
                    worker.logged = there;
                    worker.wait.written();
                }
                // It was forgotten while its description was on the way.
                None if there => self.untraced.push(incarnation),
                None => {}
            }
        }
    }
}
