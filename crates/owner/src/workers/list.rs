//! What the list of workers says.

use log::{Level, debug, info, log};

use myrtle_job::{Incarnation, Listing};

use crate::{Cell, Life, Worker};

impl Cell {
    /// Takes in what a worker says of itself.
    pub fn list(&mut self, id: &str, listing: Listing, now: u64) {
        let life = self.listed_as(id, listing.start);
        if self.is_past(&life) {
            return debug!("event=entry-past worker={life}");
        }
        // An entry outlasts its worker's crash by some seconds, so that two may be listed at one
        // address. One that answers says itself, by its next hold, when it is over.
        let older = self.workers.iter().filter(|(id, w)| {
            let at = w.listing.as_ref().filter(|l| l.address == listing.address);
            let earlier = at.is_some_and(|l| l.written < listing.written);
            earlier && id.id() != life.id() && matches!(w.life, Life::Unmet | Life::Silent)
        });
        let older: Vec<_> = older.map(|(id, _)| id.clone()).collect();
        for id in older {
            self.tell_outlived(&id, &life, &listing);
            self.succeeded(&id, now);
        }
        self.comes_after_earlier(&life, now);
        let worker = self.workers.entry(life.clone()).or_insert_with(|| Worker::new(now));
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
    pub(crate) fn outlived(&self, life: &Incarnation) -> bool {
        let Some(own) = self.workers.get(life).and_then(|w| w.listing.as_ref()) else {
            return false;
        };
        let listed = self.workers.iter().filter(|(_, w)| w.listed);
        let mut listings = listed.filter_map(|(by, w)| Some((by, w.listing.as_ref()?)));
        let later = listings.find(|(_, l)| l.address == own.address && l.written > own.written);
        if let Some((by, listing)) = later {
            self.tell_outlived(life, by, listing);
        }
        later.is_some()
    }

    /// Tells by which entry a worker is taken for gone.
    fn tell_outlived(&self, life: &Incarnation, by: &Incarnation, entry: &Listing) {
        let own = self.workers.get(life);
        let written = own.and_then(|w| w.listing.as_ref()).map_or(0, |l| l.written);
        let listed = own.is_some_and(|w| w.listed);
        info!(
            "event=worker-outlived worker={life} written={written} listed={listed} by={by} by_written={} \
             address={}",
            entry.written, entry.address
        );
    }

    /// The list of workers could not be read: entries may lapse meanwhile though their workers live.
    pub fn list_missed(&mut self, now: u64) {
        self.blind = now;
    }

    /// The list no longer shows a worker; what runs there may go on.
    pub fn unlist(&mut self, id: &str, now: u64) {
        let lives = self.of_id(id).filter(|(_, w)| w.listed).map(|(life, _)| life.clone());
        for life in lives.collect::<Vec<_>>() {
            if let Some(worker) = self.workers.get_mut(&life) {
                worker.listed = false;
                worker.unlisted = now;
                info!("event=worker-unlisted worker={life} runs={}", worker.flights.len());
            }
        }
    }
}
