//! Data centres that the operator evacuates: nothing starts on their workers until the evacuation
//! is withdrawn.
//!
//! Running tasks go on: stopping one would lose work or make a service unavailable, and workers in
//! an evacuated data centre still answer.

use log::info;
use std::collections::BTreeSet;

use crate::{Cell, Worker};

impl Cell {
    /// Sets which data centres are evacuated; waiting tasks may find workers elsewhere, or in a
    /// data centre that is available again.
    pub fn evacuate_centres(&mut self, centres: &BTreeSet<String>) {
        if *centres == self.evacuated {
            return;
        }
        for centre in centres.symmetric_difference(&self.evacuated) {
            let there = || self.workers.values().filter(|w| w.data_centre() == Some(centre));
            let runs: usize = there().map(|w| w.active_runs.len()).sum();
            info!(
                "event=data-centre-emptied data_centre={centre} emptied={} workers={} runs={runs}",
                centres.contains(centre),
                there().count()
            );
        }
        self.evacuated.clone_from(centres);
        for worker in self.workers.values_mut() {
            worker.update_evacuated(&self.evacuated);
        }
    }

    /// Whether every listed worker of the cell is in an evacuated data centre.
    pub(crate) fn all_evacuated(&self) -> bool {
        let mut listed = self.workers.values().filter(|w| w.listed);
        !self.evacuated.is_empty() && listed.all(|w| w.evacuated)
    }
}

impl Worker {
    /// Its data centre, if it has been listed.
    pub(crate) fn data_centre(&self) -> Option<&str> {
        Some(&self.listing.as_ref()?.data_centre)
    }

    /// Updates whether its data centre is evacuated.
    pub(crate) fn update_evacuated(&mut self, centres: &BTreeSet<String>) {
        self.evacuated = self.data_centre().is_some_and(|own| centres.contains(own));
    }
}
