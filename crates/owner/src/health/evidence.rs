//! Evidence that one worker is unsound, as a log-likelihood ratio that fades.

use crate::decay::faded;

/// The half-life of evidence, in milliseconds: a worker that gets no more work because of it gets
/// some again after a few seconds, and what comes of that decides.
const HALF_LIFE: f64 = 6_000.0;

/// The bound of evidence against a worker; it keeps one that fails everything without work for a
/// half-life.
const MAX: f64 = 9.0;

/// The bound of evidence for a worker, so that one that turns unsound is noticed after a few runs.
const MIN: f64 = -3.0;

/// The share of runs that fail on an unsound worker: of those that fail less often, a second attempt
/// elsewhere nearly always succeeds.
pub(crate) const UNSOUND_RATE: f64 = 0.4;

/// The evidence against one worker; negative if it speaks for the worker.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Evidence {
    value: f64,
    at: u64,
}

impl Evidence {
    /// Evidence of a strength at `now`.
    pub(crate) fn new(value: f64, now: u64) -> Self {
        Self { value: value.clamp(MIN, MAX), at: now }
    }

    /// Adds an observation's log-likelihood ratio.
    pub(crate) fn add(&mut self, ratio: f64, now: u64) {
        *self = Self::new(self.value(now) + ratio, now);
    }

    /// The evidence as it weighs at `now`.
    pub(crate) fn value(&self, now: u64) -> f64 {
        self.value * faded(self.at, HALF_LIFE, now)
    }

    /// The probability that the worker is unsound, if that share of the workers like it is.
    pub(crate) fn probability(&self, prior: f64, now: u64) -> f64 {
        let logit = (prior / (1.0 - prior)).ln() + self.value(now);
        1.0 / (1.0 + (-logit).exp())
    }
}

/// The log-likelihood ratio of a run's end; `rate` is the share of such runs that fails on sound
/// workers.
pub(crate) fn end_ratio(failed: bool, rate: f64) -> f64 {
    // Where nearly as many runs fail anywhere, an end says nothing about its worker.
    let unsound = UNSOUND_RATE.max(rate);
    if failed { (unsound / rate).ln() } else { ((1.0 - unsound) / (1.0 - rate)).ln() }
}
