//! The room that long-running tasks leave to short ones, however many of them wait.
//!
//! Load pattern: more long-running tasks arrive than there is room for. They run until they are
//! cancelled, so without a bound they fill the cell for good, and short tasks of the same priority,
//! which take a second, find no room at all. The demand of short jobs is measured as it arrives,
//! and long-running tasks that never ran leave a multiple of it. Those that ran before may use it,
//! since users notice their downtime, and so may those that are more urgent than the short jobs.

use std::collections::BTreeMap;

use crate::decay::{DecayingSum, decay};

/// The time constant with which recorded demand decays, in milliseconds: many times a short job.
const TIME_CONSTANT: f64 = 20_000.0;

/// The share of the cell that is left before any demand is recorded: long-running jobs often arrive
/// first and keep what they take. It decays with the same time constant, so a cell without short
/// jobs still fills up.
const INITIAL_SHARE: f64 = 0.1;

/// The multiple of the mean demand that is left: demand is uneven, in sizes that pack badly, and in
/// bursts of about twice the mean.
const DEMAND_FACTOR: f64 = 2.0;

/// The largest share of the cell that is left, so that a flood of short jobs costs long-running
/// ones little.
const MAX_SHARE: f64 = 0.15;

/// The recorded demand of short jobs.
#[derive(Debug, Default, Clone)]
pub(crate) struct ShortShare {
    /// When the record began.
    began: u64,
    /// The decaying work of jobs by priority, in thousandths of a core for a millisecond.
    work: BTreeMap<u32, DecayingSum>,
}

impl ShortShare {
    /// An empty record that starts at `began`.
    pub(crate) fn new(began: u64) -> Self {
        Self { began, work: BTreeMap::new() }
    }

    /// Records the work of a short job, in thousandths of a core for a millisecond.
    pub(crate) fn record(&mut self, priority: u32, work: f64, now: u64) {
        self.work.entry(priority).or_default().add(work, TIME_CONSTANT, now);
    }

    /// The room that long-running tasks of a priority leave in a cell of a size, in thousandths of
    /// a core, rounded down to whole workers of its `count`: a fraction of one is soon used up by
    /// long-running tasks.
    pub(crate) fn whole_workers(&self, priority: u32, size: f64, count: usize, now: u64) -> f64 {
        let each = size / count.max(1) as f64;
        if each <= 0.0 {
            return 0.0;
        }
        (self.amount(priority, size, now) / each).floor() * each
    }

    fn amount(&self, priority: u32, size: f64, now: u64) -> f64 {
        let urgent = self.work.range(..=priority).map(|(_, work)| work.value(TIME_CONSTANT, now));
        let demand = DEMAND_FACTOR * urgent.sum::<f64>() / TIME_CONSTANT;
        (demand + INITIAL_SHARE * size * decay(self.began, TIME_CONSTANT, now))
            .min(MAX_SHARE * size)
    }
}
