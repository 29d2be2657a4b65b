//! Divides a pass over the waiting tasks into slices, so that the owner's other work isn't delayed
//! for long.
//!
//! Fault: a pass of some seconds outlasts the owner's membership, the log rejects all that it
//! placed, and the successor finds more tasks waiting. Cells of 660 workers then change owners
//! every two to seven seconds without end.

use std::cell::Cell as Count;
use std::collections::BTreeSet;

use myrtle_job::{JobId, TaskId};

use crate::placing::reservation::Reservations;

/// How many workers a slice visits, over all tasks: 3 ms on a whole core, 10 to 25 ms on hosts that
/// own cells.
const SLICE_VISITS: usize = 30_000;

/// Progress of a pass.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// The jobs that have been considered.
    pub(crate) considered: BTreeSet<JobId>,
    /// Tasks that found no worker: an interrupted job tries each once a pass, as failed searches
    /// would otherwise use up every slice and neither the job nor those after it would progress.
    pub(crate) unplaced: BTreeSet<TaskId>,
    /// Room reserved for tasks that ran before.
    pub(crate) reservations: Reservations,
    /// Whether the last job was interrupted before all of its tasks were considered.
    pub(crate) interrupted: bool,
    /// The number of workers visited in this slice.
    visits: Count<usize>,
}

impl Pass {
    /// Begins a slice.
    pub(crate) fn begin_slice(&mut self) {
        self.visits.set(0);
        self.interrupted = false;
    }

    /// Ends the pass.
    pub(crate) fn end(&mut self) {
        self.considered.clear();
        self.unplaced.clear();
        self.reservations.end();
    }

    /// Counts visited workers.
    pub(crate) fn visit(&self, workers: usize) {
        self.visits.set(self.visits.get() + workers);
    }

    /// Whether the slice has used its visits.
    pub(crate) fn exhausted(&self) -> bool {
        self.visits.get() >= SLICE_VISITS
    }
}
