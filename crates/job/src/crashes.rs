//! Counts of worker losses under a task, by which a task that crashes workers is found and given up.

use serde::{Deserialize, Serialize};

use crate::{Progress, TaskId};

/// The number of worker crashes that a task may have caused at which it is given up.
///
/// A crash ends every run on the worker, and a bound of two gives up sound jobs in `crash_courses.rs`.
const MAX_SUSPECTED: u8 = 3;

/// The number of worker losses under a task, whatever their cause, at which it is given up.
///
/// Many simultaneous losses single out no task, but if they didn't count, a task that crashes workers long after
/// its start could take six or seven in `crash_courses.rs`; counting them makes some sound jobs fail.
const MAX_LOSSES: u8 = 5;

/// The number of losses under runs that are known to have begun, without which the crashes that a task may have
/// caused don't end its job.
///
/// A start without reply may never have reached its worker, and one such run looks like another: they end a job only
/// by `MAX_LOSSES`.
const MIN_BEGUN: u8 = 2;

/// The largest difference, in milliseconds, between the ages of two runs at which both losses count as the same
/// crash; two runs of a one-second task are that close by chance in one case of four.
const AGE_TOLERANCE_MS: u32 = 120;

/// The worker losses under the runs of one task.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// All losses.
    pub losses: u8,
    /// Losses that the task may have caused.
    pub suspect_losses: u8,
    /// The newest loss.
    pub last: Option<Loss>,
}

/// The loss of a worker under a run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The age of the run at the loss, in milliseconds.
    pub age_ms: u32,
    /// Whether the run was so young that this loss alone makes the task a suspect.
    pub early: bool,
    /// Whether the loss is not one of many simultaneous ones.
    pub isolated: bool,
}

impl Crashes {
    /// Counts a loss; one of many simultaneous ones, as in a power failure, doesn't make the task a suspect, nor does
    /// one of a run whose age is not known, for which there is no `loss`.
    pub fn count(&mut self, loss: Option<Loss>) {
        self.losses = self.losses.saturating_add(1);
        let Some(loss) = loss else {
            return;
        };
        let similar = |last: Loss| last.age_ms.abs_diff(loss.age_ms) <= AGE_TOLERANCE_MS;
        let last = self.last.replace(loss);
        if !loss.isolated {
            return;
        }
        if loss.early {
            self.suspect_losses = self.suspect_losses.saturating_add(1);
        } else if last.is_some_and(|last| last.isolated && similar(last)) {
            // The similar loss before this one counts too.
            self.suspect_losses = self.suspect_losses.max(1).saturating_add(1);
        }
    }

    /// Takes the higher of both counts, so that a repeated merge changes nothing.
    pub fn merge(&mut self, other: Self) {
        self.losses = self.losses.max(other.losses);
        self.suspect_losses = self.suspect_losses.max(other.suspect_losses);
        self.last = other.last.or(self.last);
    }

    /// Whether a second run may be started beside the first: the task is no suspect, and the loss of both workers
    /// would stay below the bound.
    pub fn allows_copy(&self) -> bool {
        self.suspect_losses == 0 && self.losses + 2 <= MAX_LOSSES
    }

    /// Whether the task must not be started again, if `begun` of the losses are of runs that are known to have begun.
    fn exceeded(&self, begun: u8) -> bool {
        let suspected = self.suspect_losses >= MAX_SUSPECTED && begun >= MIN_BEGUN;
        suspected || self.losses >= MAX_LOSSES
    }
}

/// What was counted for one loss, by which it can be taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UncountedLoss {
    suspect_losses: u8,
    begun: bool,
    /// The newest loss before this one, and this one.
    last: (Option<Loss>, Option<Loss>),
}

impl Progress {
    /// Counts a loss against a task, none if the age of the run is not known; `begun` tells whether the run is known
    /// to have begun.
    pub fn count_loss(&mut self, task: TaskId, loss: Option<Loss>, begun: bool) -> UncountedLoss {
        let crashes = self.crashes.entry(task).or_default();
        let before = *crashes;
        crashes.count(loss);
        let suspect_losses = crashes.suspect_losses - before.suspect_losses;
        let last = (before.last, crashes.last);
        if !begun {
            let unbegun = self.unbegun_losses.entry(task).or_default();
            *unbegun = unbegun.saturating_add(1);
        }
        UncountedLoss { suspect_losses, begun, last }
    }

    /// Takes back a loss whose worker turned out to live.
    pub fn uncount_loss(&mut self, task: TaskId, counted: UncountedLoss) {
        let Some(crashes) = self.crashes.get_mut(&task) else {
            return;
        };
        crashes.losses = crashes.losses.saturating_sub(1);
        let suspect_losses = crashes.suspect_losses.saturating_sub(counted.suspect_losses);
        // A similar loss counts together with the one before it, which may be the one that is taken back.
        crashes.suspect_losses = suspect_losses.min(crashes.losses);
        let (before, last) = counted.last;
        if crashes.last == last {
            crashes.last = before;
        }
        if let Some(unbegun) = self.unbegun_losses.get_mut(&task).filter(|_| !counted.begun) {
            *unbegun = unbegun.saturating_sub(1);
        }
        if crashes.losses == 0 {
            self.clear_losses(task);
        }
    }

    /// Clears the losses counted against a task; false if there are none.
    pub fn clear_losses(&mut self, task: TaskId) -> bool {
        self.unbegun_losses.remove(&task);
        self.crashes.remove(&task).is_some()
    }

    /// The number of losses under runs of a task that are known to have begun.
    pub fn begun_losses(&self, task: TaskId) -> u8 {
        let losses = self.crashes.get(&task).map_or(0, |c| c.losses);
        losses.saturating_sub(self.unbegun_losses.get(&task).copied().unwrap_or(0))
    }

    /// Whether a task is given up after too many worker losses.
    pub fn given_up(&self, task: TaskId) -> bool {
        self.crashes.get(&task).is_some_and(|c| c.exceeded(self.begun_losses(task)))
    }
}
