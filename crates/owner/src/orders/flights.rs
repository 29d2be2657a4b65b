//! The runs on one worker, with sums over them that are kept until one changes.

use std::cell::Cell as Kept;
use std::collections::{BTreeMap, btree_map};
use std::ops::{Deref, DerefMut};

use myrtle_base::Room;
use myrtle_job::TaskId;

use crate::Flight;

/// The share of its processors that a serving task uses in the mean, by what fillers were seen to
/// get beside them.
const SERVING_USE: f64 = 0.5;

/// The runs on one worker.
///
/// Every task that waits looks at every worker, so what its runs ask for together is kept: else a pass over a full
/// cell takes twice as long (`benches/plan.rs`).
#[derive(Debug, Clone, Default)]
pub struct Flights {
    by_task: BTreeMap<TaskId, Flight>,
    sums: Kept<Option<Sums>>,
}

/// What the runs on a worker come to together.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sums {
    /// What they count against its room.
    pub(crate) used: Room,
    /// The processors that those which are no fillers use in the mean, in thousandths of a core.
    pub(crate) taken: f64,
    /// The processors that fillers ask for at their paces, in thousandths of a core.
    pub(crate) filled: f64,
    /// Whether a lasting task is among them.
    pub(crate) lasts: bool,
    /// Whether a task is among them that may have crashed a worker.
    pub(crate) suspects: bool,
    /// Since when the one has been over its target that has been so for longest.
    pub(crate) over: Option<u64>,
}

impl Flights {
    /// What the runs come to together.
    pub(crate) fn sums(&self) -> Sums {
        if let Some(sums) = self.sums.get() {
            return sums;
        }
        let sums = self.by_task.values().fold(Sums::default(), Sums::with);
        self.sums.set(Some(sums));
        sums
    }
}

impl Sums {
    /// The sums with one run more.
    fn with(self, flight: &Flight) -> Self {
        let cpu = f64::from(flight.cpu);
        let (taken, filled) = match (flight.filler, flight.target) {
            (true, _) => (0.0, cpu * f64::from(flight.pace) / 100.0),
            (false, Some(_)) => (cpu * SERVING_USE, 0.0),
            (false, None) => (cpu, 0.0),
        };
        Self {
            used: self.used + flight.claim,
            taken: self.taken + taken,
            filled: self.filled + filled,
            lasts: self.lasts || flight.lasting,
            suspects: self.suspects || flight.suspect,
            over: self.over.into_iter().chain(flight.over).min(),
        }
    }
}

impl Deref for Flights {
    type Target = BTreeMap<TaskId, Flight>;

    fn deref(&self) -> &Self::Target {
        &self.by_task
    }
}

impl DerefMut for Flights {
    fn deref_mut(&mut self) -> &mut Self::Target {
        self.sums.set(None);
        &mut self.by_task
    }
}

impl IntoIterator for Flights {
    type Item = (TaskId, Flight);
    type IntoIter = btree_map::IntoIter<TaskId, Flight>;

    fn into_iter(self) -> Self::IntoIter {
        self.by_task.into_iter()
    }
}

impl<'a> IntoIterator for &'a Flights {
    type Item = (&'a TaskId, &'a Flight);
    type IntoIter = btree_map::Iter<'a, TaskId, Flight>;

    fn into_iter(self) -> Self::IntoIter {
        self.by_task.iter()
    }
}

impl<'a> IntoIterator for &'a mut Flights {
    type Item = (&'a TaskId, &'a mut Flight);
    type IntoIter = btree_map::IterMut<'a, TaskId, Flight>;

    fn into_iter(self) -> Self::IntoIter {
        self.deref_mut().iter_mut()
    }
}
