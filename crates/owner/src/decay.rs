//! Weights that decay, by which recent events count more than earlier ones.

/// An exponentially decaying sum; each use has one time constant, in milliseconds.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct DecayingSum {
    sum: f64,
    at: u64,
}

impl DecayingSum {
    /// Adds to the sum.
    pub(crate) fn add(&mut self, amount: f64, constant: f64, now: u64) {
        *self = Self { sum: self.value(constant, now) + amount, at: now };
    }

    /// The sum as it has decayed.
    pub(crate) fn value(&self, constant: f64, now: u64) -> f64 {
        self.sum * decay(self.at, constant, now)
    }
}

/// The decay factor over the time since `since`.
pub(crate) fn decay(since: u64, constant: f64, now: u64) -> f64 {
    (-(now.saturating_sub(since) as f64) / constant).exp()
}

/// The same by half-life: the weight halves with each of them that has passed since `since`.
pub(crate) fn faded(since: u64, half_life: f64, now: u64) -> f64 {
    (-(now.saturating_sub(since) as f64) / half_life).exp2()
}
