//! What the list of workers says.

use log::{Level, debug, info, log};

use myrtle_job::Listing;

use crate::{Cell, Worker};

impl Cell {
    /// Takes in what a worker says of itself.
    ///
    /// It says nothing of another worker at the same address: entries outlast their workers, the last write of one that
    /// has crashed may land after the first of the next, and what the log tells of a worker is older than either. Who is
    /// there is asked.
    pub fn list(&mut self, id: &str, listing: Listing, now: u64) {
        let incarnation = self.listed_as(id, listing.start);
        if self.is_past(&incarnation) {
            return debug!("event=entry-past worker={incarnation}");
        }
        self.comes_after_earlier(&incarnation, listing.written, now);
        let worker = self.workers.entry(incarnation.clone()).or_insert_with(|| Worker::new(now));
        let news = worker.listing.as_ref().is_none_or(|l| l.draining != listing.draining);
        if news {
            let level = if listing.draining { Level::Info } else { Level::Debug };
            log!(
                level,
                "event=worker-listed worker={incarnation} draining={} room=\"{}\" remaining_ms={:?}",
                listing.draining,
                listing.room,
                listing.remaining
            );
        }
        if listing.draining {
            let leaves = listing.remaining.map(|r| now + r);
            worker.leaves = worker.leaves.or(leaves);
        }
        worker.warm = now + listing.cold;
        worker.listing = Some(listing);
        worker.mark_emptied(&self.emptied);
        worker.listed = true;
        worker.read = true;
    }

    /// The list of workers could not be read: entries may lapse meanwhile though their workers live.
    pub fn list_missed(&mut self, now: u64) {
        self.blind = now;
    }

    /// The list no longer shows a worker; what runs there may go on.
    pub fn unlist(&mut self, id: &str, now: u64) {
        let lives =
            self.of_id(id).filter(|(_, w)| w.listed).map(|(incarnation, _)| incarnation.clone());
        for incarnation in lives.collect::<Vec<_>>() {
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                worker.listed = false;
                worker.unlisted_at = now;
                info!("event=worker-unlisted worker={incarnation} runs={}", worker.flights.len());
            }
        }
    }
}
