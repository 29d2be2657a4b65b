//! Applies changes of the list of workers.

use log::{Level, debug, info, log};

use myrtle_job::Listing;

use crate::{Cell, Worker};

impl Cell {
    /// Applies a worker's entry in the list.
    ///
    /// An entry does not prove that another worker at the same address has ended: entries outlast
    /// their workers, the last write of a crashed worker may land after the first write of the
    /// next, and the records in the log are older than either. The worker at the address is asked
    /// instead.
    pub fn apply_listing(&mut self, id: &str, listing: Listing, now: u64) {
        let incarnation = self.listed_as(id, listing.started_at);
        if self.has_ended(&incarnation) {
            return debug!("event=entry-past worker={incarnation}");
        }
        self.end_earlier(&incarnation, listing.offset, now);
        let worker = self.workers.entry(incarnation.clone()).or_insert_with(|| Worker::new(now));
        let changed = worker.listing.as_ref().is_none_or(|l| l.draining != listing.draining);
        if changed {
            let level = if listing.draining { Level::Info } else { Level::Debug };
            log!(
                level,
                "event=worker-listed worker={incarnation} draining={} room=\"{}\" remaining_ms={:?}",
                listing.draining,
                listing.room,
                listing.remaining_ms
            );
        }
        if listing.draining {
            let leaves = listing.remaining_ms.map(|r| now + r);
            worker.leaves_at = worker.leaves_at.or(leaves);
        }
        worker.warm_at = now + listing.warmup_ms;
        worker.listing = Some(listing);
        worker.update_evacuated(&self.evacuated);
        worker.listed = true;
        worker.entry_read = true;
        self.join_turn(&incarnation);
        self.stop_late_starts_at(id, now);
    }

    /// Notes that the list could not be read: entries may expire meanwhile though their workers are
    /// alive.
    pub fn list_missed(&mut self, now: u64) {
        self.unreadable_at = now;
    }

    /// Notes that a worker is no longer listed; its runs may go on.
    pub fn remove_listing(&mut self, id: &str, now: u64) {
        let listed = self
            .incarnations(id)
            .filter(|(_, w)| w.listed)
            .map(|(incarnation, _)| incarnation.clone());
        for incarnation in listed.collect::<Vec<_>>() {
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                worker.listed = false;
                worker.unlisted_at = now;
                info!(
                    "event=worker-unlisted worker={incarnation} runs={}",
                    worker.active_runs.len()
                );
            }
        }
    }
}
