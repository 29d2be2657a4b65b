//! The demand of short jobs, by what arrives.

use std::collections::BTreeMap;

use crate::decay::DecayingSum;

/// The time constants over which arriving work is averaged, in milliseconds: the shorter follows a
/// burst, the longer keeps room through the trough of a wave.
const TIME_CONSTANTS: [f64; 2] = [3_000.0, 15_000.0];

/// The room that short tasks need for their demand: sizes pack badly, and tasks that have just
/// arrived should not wait for those before them.
const PACKING: f64 = 1.2;

/// The recorded demand of short jobs by priority.
#[derive(Debug, Default, Clone)]
pub(crate) struct ShortDemand {
    work: BTreeMap<u32, [DecayingSum; TIME_CONSTANTS.len()]>,
}

impl ShortDemand {
    /// Records the work of a job, in thousandths of a core for a millisecond.
    pub(crate) fn record(&mut self, priority: u32, work: f64, now: u64) {
        let sums = self.work.entry(priority).or_default();
        for (sum, constant) in sums.iter_mut().zip(TIME_CONSTANTS) {
            sum.add(work, constant, now);
        }
    }

    /// The room that jobs of a priority and of more urgent ones ask for, in thousandths of a core.
    pub(crate) fn room(&self, priority: u32, now: u64) -> f64 {
        let rate = |sums: &[DecayingSum; TIME_CONSTANTS.len()]| {
            let rates = sums.iter().zip(TIME_CONSTANTS).map(|(s, c)| s.value(c, now) / c);
            rates.fold(0.0, f64::max)
        };
        PACKING * self.work.range(..=priority).map(|(_, sums)| rate(sums)).sum::<f64>()
    }
}
