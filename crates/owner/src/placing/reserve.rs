//! How much room lasting tasks leave to short ones, however many of them wait.
//!
//! Answers one load pattern: more lasting tasks come than there is room for. They stay until they are
//! taken back, so without a bound they fill the cell for good, and short tasks of the same priority,
//! which would be done in a second, find no room at all. What short jobs ask for is measured as it
//! comes; lasting tasks that never ran leave a multiple of it. Those that ran before take of it, since
//! users miss them, and so do those that are more urgent than the short jobs.

use std::collections::BTreeMap;

/// The time over which demand is remembered, in milliseconds: many times a short job.
const MEMORY: f64 = 20_000.0;

/// The share of the cell that is left while nothing is known: lasting jobs often come first, and what
/// they have taken they keep. It fades with the memory, so a cell without short jobs is filled after all.
const UNKNOWN: f64 = 0.1;

/// How many times the mean demand is left: it comes unevenly, in pieces that fit badly, and in bursts
/// of about twice the usual.
const TIMES: f64 = 2.0;

/// The largest share of the cell that is left, so that a flood of short jobs costs lasting ones little.
const MOST: f64 = 0.15;

/// What short jobs ask for, as it came.
#[derive(Debug, Default, Clone)]
pub(crate) struct Reserve {
    /// When the first job could have come.
    began: u64,
    /// The work of jobs by priority, fading, in thousandths of a core for a millisecond.
    work: BTreeMap<u32, Faded>,
}

/// A sum whose parts fade with time.
#[derive(Debug, Default, Clone, Copy)]
struct Faded {
    sum: f64,
    at: u64,
}

impl Faded {
    fn now(&self, now: u64) -> f64 {
        self.sum * faded(self.at, now)
    }
}

impl Reserve {
    /// Nothing is known at `began`.
    pub(crate) fn new(began: u64) -> Self {
        Self { began, work: BTreeMap::new() }
    }

    /// Takes in the work of a short job, in thousandths of a core for a millisecond.
    pub(crate) fn see(&mut self, priority: u32, work: f64, now: u64) {
        let faded = self.work.entry(priority).or_default();
        *faded = Faded { sum: faded.now(now) + work, at: now };
    }

    /// What lasting tasks of a priority leave of a cell of a size, in thousandths of a core, as whole
    /// workers of its `count`: a part of one is soon lost among lasting tasks.
    pub(crate) fn whole(&self, priority: u32, size: f64, count: usize, now: u64) -> f64 {
        let each = size / count.max(1) as f64;
        if each <= 0.0 {
            return 0.0;
        }
        (self.room(priority, size, now) / each).floor() * each
    }

    fn room(&self, priority: u32, size: f64, now: u64) -> f64 {
        let urgent = self.work.range(..=priority).map(|(_, work)| work.now(now));
        let demand = TIMES * urgent.sum::<f64>() / MEMORY;
        (demand + UNKNOWN * size * faded(self.began, now)).min(MOST * size)
    }
}

/// What is left of something after the time since then.
fn faded(since: u64, now: u64) -> f64 {
    (-(now.saturating_sub(since) as f64) / MEMORY).exp()
}
