//! Fading counts of runs and of those that failed.

use crate::decay::faded;

/// Counts of runs that lose half of their weight in each half-life.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Tally {
    /// Runs that ended.
    pub(crate) runs: f64,
    /// Runs that failed.
    pub(crate) failed: f64,
    /// Runs that were expected to fail, by the rates of their queues.
    pub(crate) expected: f64,
    at: u64,
}

impl Tally {
    /// Counts a run that was expected to fail with a probability.
    pub(crate) fn count(&mut self, failed: bool, expected: f64, half_life: f64, now: u64) {
        *self = self.at(half_life, now);
        self.runs += 1.0;
        self.failed += f64::from(u8::from(failed));
        self.expected += expected;
    }

    /// The counts as they weigh at `now`; `half_life` is in milliseconds.
    pub(crate) fn at(&self, half_life: f64, now: u64) -> Self {
        let weight = faded(self.at, half_life, now);
        Self {
            runs: self.runs * weight,
            failed: self.failed * weight,
            expected: self.expected * weight,
            at: now.max(self.at),
        }
    }
}
