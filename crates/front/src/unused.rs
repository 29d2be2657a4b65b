//! Entries of the worker list that the owner does not use, for now or at all.

use std::collections::BTreeMap;
use std::fmt::Display;

use log::{info, warn};

use myrtle_job::Listing;

/// The largest number of refused entries that are remembered; further ones are not logged.
const MAX_REFUSED: usize = 1_000;

/// The entries that are not used.
#[derive(Debug, Default)]
pub struct Unused {
    /// The logged reason for each refused entry, by worker.
    refused: BTreeMap<String, String>,
    /// Workers of services that the configuration does not name.
    parked: BTreeMap<String, Listing>,
    /// The number of refusals.
    count: u64,
}

impl Unused {
    /// Refuses an invalid entry; logs each reason once per worker.
    pub fn refuse(&mut self, id: &str, why: &impl Display) {
        self.count += 1;
        self.parked.remove(id);
        let why = why.to_string();
        if self.refused.get(id) == Some(&why) || self.refused.len() >= MAX_REFUSED {
            return;
        }
        warn!("event=entry-unusable worker={id} count={} reason=\"{why}\"", self.count);
        self.refused.insert(id.into(), why);
    }

    /// Keeps a worker until the configuration names its service.
    pub fn park(&mut self, id: &str, listing: Listing) {
        info!("event=worker-parked worker={id} service={}", listing.service);
        self.parked.insert(id.into(), listing);
    }

    /// Removes and returns the workers whose services are named now.
    pub fn unpark(&mut self, named: impl Fn(&Listing) -> bool) -> Vec<(String, Listing)> {
        self.parked.extract_if(.., |_, listing| named(listing)).collect()
    }

    /// Forgets an entry that was replaced or removed.
    pub fn forget(&mut self, id: &str) {
        self.refused.remove(id);
        self.parked.remove(id);
    }
}
