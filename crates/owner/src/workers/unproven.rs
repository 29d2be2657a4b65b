//! Losses of workers that may only be out of reach.
//!
//! A worker whose leases have expired may live: it stood still, or only the owner could not reach it, and its entry is
//! gone after three heartbeats, before its lease. Its runs are over, but no task has crashed it. So the losses counted for
//! it are taken back once it answers again as the same incarnation, and no job ends for them until it has had the time
//! to do so.

use std::collections::BTreeMap;

use log::info;

use myrtle_job::{Incarnation, TaskId, UncountedLoss};

use crate::Cell;

/// How long a loss is kept that may be taken back, in milliseconds.
const KEPT: u64 = 60_000;

/// The losses counted for workers whose leases have expired.
#[derive(Debug, Default, Clone)]
pub(crate) struct UnprovenLosses(BTreeMap<Incarnation, Unproven>);

/// The losses counted for one worker.
#[derive(Debug, Default, Clone)]
struct Unproven {
    at: u64,
    losses: Vec<(TaskId, UncountedLoss)>,
}

impl UnprovenLosses {
    /// Records a loss that was counted against a task.
    pub(crate) fn add(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        loss: UncountedLoss,
        now: u64,
    ) {
        self.0.retain(|_, unproven| now < unproven.at + KEPT);
        let unproven = self.0.entry(incarnation.clone()).or_default();
        unproven.at = now;
        unproven.losses.push((task, loss));
    }

    /// Removes what was counted for a worker that answers again.
    fn take(&mut self, incarnation: &Incarnation) -> Vec<(TaskId, UncountedLoss)> {
        self.0.remove(incarnation).map_or_else(Vec::new, |unproven| unproven.losses)
    }

    /// Forgets what was counted against a task.
    pub(crate) fn forget(&mut self, task: TaskId) {
        self.0
            .values_mut()
            .for_each(|unproven| unproven.losses.retain(|(other, _)| *other != task));
    }

    /// Whether a loss was counted against a task less than `wait` milliseconds ago.
    fn is_recent(&self, task: TaskId, wait: u64, now: u64) -> bool {
        let recent = self.0.values().filter(|unproven| now < unproven.at + wait);
        recent.flat_map(|unproven| &unproven.losses).any(|(other, _)| *other == task)
    }
}

impl Cell {
    /// Takes back the losses counted for a worker that answers as the incarnation that it was.
    pub(crate) fn uncount_losses(&mut self, incarnation: &Incarnation) {
        for (task, loss) in self.unproven_losses.take(incarnation) {
            let Some(job) = self.jobs.get_mut(&task.job).filter(|j| !j.progress.state.over())
            else {
                continue;
            };
            info!("event=loss-taken-back task={task} worker={incarnation}");
            job.progress.uncount_loss(task, loss);
            self.dirty.insert(task.job);
            self.open.insert(task.job);
        }
    }

    /// Whether a worker lost under a task may still answer again.
    pub(crate) fn may_be_uncounted(&self, task: TaskId, now: u64) -> bool {
        self.unproven_losses.is_recent(task, self.max_lease(), now)
    }
}
