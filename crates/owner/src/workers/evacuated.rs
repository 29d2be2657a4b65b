//! Data centres that the operator empties: nothing is started on their workers until it is taken back.
//!
//! What runs there goes on: a run that was stopped would lose work or be away for its users, and what is
//! emptied still answers.

use log::info;
use std::collections::BTreeSet;

use crate::{Cell, Worker};

impl Cell {
    /// Notes which data centres are being emptied now; tasks that wait may find workers elsewhere, or
    /// those that are back.
    pub fn empty_centres(&mut self, centres: &BTreeSet<String>) {
        if *centres == self.emptied {
            return;
        }
        for centre in centres.symmetric_difference(&self.emptied) {
            let there = || self.workers.values().filter(|w| w.data_centre() == Some(centre));
            let runs: usize = there().map(|w| w.flights.len()).sum();
            info!(
                "event=data-centre-emptied data_centre={centre} emptied={} workers={} runs={runs}",
                centres.contains(centre),
                there().count()
            );
        }
        self.emptied.clone_from(centres);
        for worker in self.workers.values_mut() {
            worker.mark_emptied(&self.emptied);
        }
    }

    /// Whether every worker of the cell is in a data centre that is being emptied.
    pub(crate) fn all_emptied(&self) -> bool {
        let mut listed = self.workers.values().filter(|w| w.listed);
        !self.emptied.is_empty() && listed.all(|w| w.emptied)
    }
}

impl Worker {
    /// The data centre that it is in, if the list has shown it.
    pub(crate) fn data_centre(&self) -> Option<&str> {
        Some(&self.listing.as_ref()?.data_centre)
    }

    /// Notes whether its data centre is among those that are being emptied.
    pub(crate) fn mark_emptied(&mut self, centres: &BTreeSet<String>) {
        self.emptied = self.data_centre().is_some_and(|own| centres.contains(own));
    }
}
