//! Workers that were lost while a task ran on them.

use serde::{Deserialize, Serialize};

/// How many workers a task that may be the cause takes with it before it is given up.
///
/// Each crash costs all that ran on the worker, 8.7 runs in the mean of 22. With two, a sound job
/// was given up in the 15th course of `crash_courses.rs`; with three none in 200 where culprits act soon after
/// the start.
const DOUBTS: u8 = 3;

/// How many workers may be lost under a task whatever the cause, before it is given up.
///
/// No task can be singled out where many are lost together, and none may go on for ever. Without those losses a
/// culprit that acts late takes six workers or seven in 9 of 200 courses of `crash_courses.rs`; with them none of
/// 1,188 takes more than five, and 28 of 33,481 sound jobs fail.
const SEEN: u8 = 5;

/// How far apart, in milliseconds, the ages of two runs are when their workers are lost to a task that
/// does the same each time; a task of a second has such ages by chance once in four.
const ALIKE: u32 = 120;

/// Workers that were lost while a run of one task was there.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// All of them.
    pub seen: u8,
    /// Those that the task may have crashed.
    pub doubts: u8,
    /// The last one.
    pub last: Option<Loss>,
}

/// A worker that was lost while a run of a task was there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// For how long the run had been there, in milliseconds.
    pub age: u32,
    /// Whether that was so short that the task is doubted for it alone.
    pub fresh: bool,
    /// Whether the worker was not one of many that were lost together.
    pub alone: bool,
}

impl Crashes {
    /// Counts a worker that was lost.
    ///
    /// Where many were lost together, as with power, the task is not doubted for it.
    pub fn count(&mut self, loss: Loss) {
        let alike = |last: Loss| last.age.abs_diff(loss.age) <= ALIKE;
        let last = self.last.replace(loss);
        self.seen = self.seen.saturating_add(1);
        if !loss.alone {
            return;
        }
        if loss.fresh {
            self.doubts = self.doubts.saturating_add(1);
        } else if last.is_some_and(|last| last.alone && alike(last)) {
            // The last time, which was the same, counts too.
            self.doubts = self.doubts.max(1).saturating_add(1);
        }
    }

    /// The higher of both counts, so that a repeat changes nothing.
    pub fn merge(&mut self, other: Self) {
        self.seen = self.seen.max(other.seen);
        self.doubts = self.doubts.max(other.doubts);
        self.last = other.last.or(self.last);
    }

    /// Whether the task may run twice at a time: nothing speaks against it, and both losses would stay within
    /// the bound.
    pub fn bears_copy(&self) -> bool {
        self.doubts == 0 && self.seen + 2 <= SEEN
    }

    /// Whether the task is not to be started again.
    pub fn too_many(&self) -> bool {
        self.doubts >= DOUBTS || self.seen >= SEEN
    }
}
