//! The active runs on one worker, with sums over them that are cached until one changes.

use std::cell::Cell as Kept;
use std::collections::{BTreeMap, btree_map};
use std::ops::{Deref, DerefMut};

use myrtle_base::Room;
use myrtle_job::TaskId;

use crate::ActiveRun;

/// The share of its processors that a serving task uses on average, judged by what fillers got
/// beside them.
const SERVING_USE: f64 = 0.5;

/// The active runs on one worker.
///
/// Placing looks at every worker for every waiting task, so the sums over a worker's runs are
/// cached; without that a pass over a full cell takes twice as long (`benches/plan.rs`).
#[derive(Debug, Clone, Default)]
pub struct ActiveRuns {
    by_task: BTreeMap<TaskId, ActiveRun>,
    sums: Kept<Option<Sums>>,
}

/// The sums over the active runs on a worker.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Sums {
    /// The room that they claim.
    pub(crate) claimed: Room,
    /// The processors that runs other than fillers use on average, in thousandths of a core.
    pub(crate) non_fillers: f64,
    /// The processors that fillers ask for at their speed limits, in thousandths of a core.
    pub(crate) fillers: f64,
    /// The number of them that are not long-running.
    pub(crate) short: usize,
    /// Whether one of them is long-running.
    pub(crate) long_running: bool,
    /// Whether one of the tasks may have crashed a worker.
    pub(crate) suspect: bool,
    /// Whether one of them is an assured filler.
    pub(crate) assured: bool,
    /// Since when a task has exceeded its target: the earliest such time.
    pub(crate) over_since: Option<u64>,
}

impl ActiveRuns {
    /// The sums, computed if a run has changed.
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
    /// The sums with one more run.
    fn with(self, active: &ActiveRun) -> Self {
        let cpu = f64::from(active.cpu);
        let (non_fillers, fillers) = match (active.filler, active.target) {
            (true, _) => (0.0, cpu * f64::from(active.speed_limit) / 100.0),
            (false, Some(_)) => (cpu * SERVING_USE, 0.0),
            (false, None) => (cpu, 0.0),
        };
        Self {
            claimed: self.claimed + active.claim,
            non_fillers: self.non_fillers + non_fillers,
            fillers: self.fillers + fillers,
            short: self.short + usize::from(!active.long_running),
            long_running: self.long_running || active.long_running,
            suspect: self.suspect || active.suspect,
            assured: self.assured || active.assured,
            over_since: self.over_since.into_iter().chain(active.over_since).min(),
        }
    }
}

impl Deref for ActiveRuns {
    type Target = BTreeMap<TaskId, ActiveRun>;

    fn deref(&self) -> &Self::Target {
        &self.by_task
    }
}

impl DerefMut for ActiveRuns {
    fn deref_mut(&mut self) -> &mut Self::Target {
        self.sums.set(None);
        &mut self.by_task
    }
}

impl IntoIterator for ActiveRuns {
    type Item = (TaskId, ActiveRun);
    type IntoIter = btree_map::IntoIter<TaskId, ActiveRun>;

    fn into_iter(self) -> Self::IntoIter {
        self.by_task.into_iter()
    }
}

impl<'a> IntoIterator for &'a ActiveRuns {
    type Item = (&'a TaskId, &'a ActiveRun);
    type IntoIter = btree_map::Iter<'a, TaskId, ActiveRun>;

    fn into_iter(self) -> Self::IntoIter {
        self.by_task.iter()
    }
}

impl<'a> IntoIterator for &'a mut ActiveRuns {
    type Item = (&'a TaskId, &'a mut ActiveRun);
    type IntoIter = btree_map::IterMut<'a, TaskId, ActiveRun>;

    fn into_iter(self) -> Self::IntoIter {
        self.deref_mut().iter_mut()
    }
}
