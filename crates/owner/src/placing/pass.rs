//! Cuts a pass over the waiting tasks into slices, so that what else the owner has to do never waits
//! for long.
//!
//! A pass of some seconds outlasted the owner's membership: the log turned away all that it had
//! placed, and the next owner found more waiting. Cells of 660 workers then changed hands every two to
//! seven seconds for good.

use std::cell::Cell as Count;
use std::collections::BTreeSet;

use myrtle_job::{JobId, TaskId};

use crate::placing::booking::Bookings;

/// How many workers a slice looks at, over all tasks: 3 ms on a whole core, 10 to 25 ms on hosts that
/// own cells.
const LOOKS: usize = 30_000;

/// How far a pass has come.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// The jobs that have had their turn.
    pub(crate) done: BTreeSet<JobId>,
    /// Tasks that found no worker: a job that is cut looks for them once a pass, else looks that found
    /// nothing would fill every slice, and neither the job nor those behind it would get further.
    pub(crate) nowhere: BTreeSet<TaskId>,
    /// Where room is kept.
    pub(crate) bookings: Bookings,
    /// Whether the last job was left before all of its tasks had their turn.
    pub(crate) cut: bool,
    /// The workers looked at in this slice.
    looks: Count<usize>,
}

impl Pass {
    /// Begins a slice.
    pub(crate) fn slice(&mut self) {
        self.looks.set(0);
        self.cut = false;
    }

    /// Ends the pass.
    pub(crate) fn end(&mut self) {
        self.done.clear();
        self.nowhere.clear();
        self.bookings.end();
    }

    /// Counts workers that were looked at.
    pub(crate) fn look(&self, workers: usize) {
        self.looks.set(self.looks.get() + workers);
    }

    /// Whether the slice has to end.
    pub(crate) fn spent(&self) -> bool {
        self.looks.get() >= LOOKS
    }
}
