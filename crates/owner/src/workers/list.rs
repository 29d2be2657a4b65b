//! What the list of workers says.

use log::{Level, info, log};

use myrtle_job::Listing;

use crate::workers::start::Heard;
use crate::{Cell, Life, Worker};

impl Cell {
    /// Takes in what a worker says of itself; `life` is the name of this life.
    pub fn list(&mut self, life: &str, listing: Listing, now: u64) {
        // An entry outlasts its worker's crash by some seconds, so that two may be listed at one
        // address. One that answers says itself, by its next hold, when it is over.
        let older = self.workers.iter().filter(|(id, w)| {
            let at = w.listing.as_ref().filter(|l| l.address == listing.address);
            let earlier = at.is_some_and(|l| l.written < listing.written);
            earlier && &***id != life && matches!(w.life, Life::Unmet | Life::Silent)
        });
        let older: Vec<_> = older.map(|(id, _)| id.clone()).collect();
        for id in older {
            self.succeeded(&id, now);
        }
        let worker = self.workers.entry(life.into()).or_insert_with(|| Worker::new(now));
        let news = worker.listing.as_ref().is_none_or(|l| l.draining != listing.draining);
        if news {
            let level = if listing.draining { Level::Info } else { Level::Debug };
            log!(
                level,
                "event=worker-listed worker={life} draining={} room=\"{}\" remaining_ms={:?}",
                listing.draining,
                listing.room,
                listing.remaining
            );
        }
        worker.started(life, listing.start, Heard::List);
        if listing.draining {
            let leaves = listing.remaining.map(|r| now + r);
            worker.leaves = worker.leaves.or(leaves);
        }
        worker.warm = now + listing.cold;
        worker.listing = Some(listing);
        worker.mark_emptied(&self.emptied);
        worker.listed = true;
    }

    /// Whether a later life is listed at the address of one.
    pub(crate) fn outlived(&self, life: &str) -> bool {
        let Some(own) = self.workers.get(life).and_then(|w| w.listing.as_ref()) else {
            return false;
        };
        let listed = self.workers.values().filter(|w| w.listed);
        let mut listings = listed.filter_map(|w| w.listing.as_ref());
        listings.any(|l| l.address == own.address && l.written > own.written)
    }

    /// The list of workers could not be read: entries may lapse meanwhile though their workers live.
    pub fn list_missed(&mut self, now: u64) {
        self.blind = now;
    }

    /// The list no longer shows a life; what runs there may go on.
    pub fn unlist(&mut self, life: &str, now: u64) {
        if let Some(worker) = self.workers.get_mut(life)
            && worker.listed
        {
            worker.listed = false;
            worker.unlisted = now;
            info!("event=worker-unlisted worker={life} runs={}", worker.flights.len());
        }
    }
}
