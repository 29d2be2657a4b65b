//! What the probability that a worker is unsound means for placing.

use crate::health::evidence::UNSOUND_RATE;

/// The probability from which a worker gets nothing new.
const EXCLUDED: f64 = 0.8;

/// The probability from which a worker gets one task at a time.
const PROBED: f64 = 0.4;

/// The probability up to which a worker counts as sound for a task's last attempt: at most one such
/// attempt in a hundred fails by the worker's fault.
const PROVEN: f64 = 0.025;

/// The cost of a run that fails, in whole free workers: the time of the run is lost, and the job is
/// late in most cases.
const FAILURE_COST: f64 = 5.0;

/// The same for a task's last attempt, with which its job fails.
const LAST_COST: f64 = 50.0;

/// The cost of a slow worker, in whole free workers: its task delays the job.
const SLOW_COST: f64 = 3.0;

/// The room that may get nothing new because its workers are unsound, as a share of the cell.
pub(crate) const MAX_EXCLUDED: f64 = 0.25;

/// The share of failing runs from which a worker is of no use even where room is short.
pub(crate) const USELESS: f64 = 0.5;

/// What is known of a worker's health, as of the last review.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(crate) struct Standing {
    /// The probability that it is unsound.
    pub(crate) unsound: f64,
    /// The probability that it is slow.
    pub(crate) slow: f64,
    /// Whether it gets nothing new.
    pub(crate) excluded: bool,
}

impl Standing {
    /// Whether it should get nothing new, if the cell can spare its room.
    pub(crate) fn should_exclude(&self) -> bool {
        self.unsound >= EXCLUDED
    }

    /// Whether it gets only one task at a time.
    pub(crate) fn probed(&self) -> bool {
        self.unsound >= PROBED
    }

    /// Whether a task's last attempt may go there.
    pub(crate) fn proven(&self) -> bool {
        self.unsound <= PROVEN
    }

    /// The cost of placing a task there; `last` says whether it is the task's last attempt.
    pub(crate) fn cost(&self, last: bool) -> f64 {
        let failure = if last { LAST_COST } else { FAILURE_COST };
        failure * self.unsound * UNSOUND_RATE + SLOW_COST * self.slow
    }
}
