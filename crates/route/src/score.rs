//! Scores an upstream by the latency and failures of this gate's own requests, with decay.

use std::time::Duration;

/// The least weight of a new sample.
const MIN_WEIGHT: f64 = 0.1;

/// A sample after a gap weighs more: after this many seconds, as much as all earlier samples.
const GAP_SECS: f64 = 0.3;

/// A score without new samples moves towards the mean, half of the way in this many seconds.
///
/// Load on the machines of upstreams shifts about every ten seconds; an avoided upstream has to be
/// tried again sooner.
const DECAY_SECS: f64 = 4.0;

/// Factor on the mean latency for an upstream without answers: below 1, so that it is tried.
const UNTRIED: f64 = 0.5;

/// One sample changes a score by at most this factor, so that a single late answer doesn't exclude
/// an upstream.
const MAX_STEP: f64 = 4.0;

/// A slow upstream without samples for this time gets one request as a probe.
const PROBE_AFTER: Duration = Duration::from_millis(150);

/// An upstream whose share of failures exceeds this is ejected for a while.
const MAX_FAILING: f64 = 0.5;

/// The first ejection; the time doubles up to [`MAX_EJECTION`] while probes fail.
const MIN_EJECTION: Duration = Duration::from_millis(500);

/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(10);

/// How a request to an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The connection broke or could not be made.
    Broken,
    /// The upstream answered with an error, or takes too long.
    Bad,
}

/// Recent latency and failures of one upstream.
#[derive(Debug, Clone)]
pub struct Score {
    latency: f64,
    failing: f64,
    updated_at: Duration,
    ejection: Duration,
    ejected_until: Duration,
    sent_at: Duration,
}

impl Default for Score {
    fn default() -> Self {
        let zero = Duration::ZERO;
        Self {
            latency: 0.0,
            failing: 0.0,
            updated_at: zero,
            ejection: MIN_EJECTION,
            ejected_until: zero,
            sent_at: zero,
        }
    }
}

impl Score {
    /// The expected seconds for a request; `mean` is the mean latency over all upstreams.
    pub fn expect(&self, now: Duration, mean: f64) -> f64 {
        if self.latency == 0.0 {
            return mean * UNTRIED;
        }
        let idle = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = DECAY_SECS / (DECAY_SECS + idle);
        let latency = mean + (self.latency - mean) * decay;
        // A failed request is repeated: count the failures as the time of the repeats.
        latency * (1.0 + 4.0 * self.failing * decay)
    }

    /// Whether there was no request or answer for so long that one request may probe the upstream.
    pub fn needs_probe(&self, now: Duration) -> bool {
        now.saturating_sub(self.updated_at.max(self.sent_at)) > PROBE_AFTER
    }

    /// Whether the upstream is ejected and no probe is due.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Records an answer.
    pub fn answered(&mut self, now: Duration, took: Duration) {
        let took = took.as_secs_f64();
        let bounded = match self.latency {
            0.0 => took,
            known => took.clamp(known / MAX_STEP, known * MAX_STEP),
        };
        let old = if self.latency == 0.0 { bounded } else { self.latency };
        let gap = now.saturating_sub(self.updated_at).as_secs_f64();
        let weight = MIN_WEIGHT.max(gap / (gap + GAP_SECS));
        self.latency = old + (bounded - old) * weight;
        self.failing *= 1.0 - MIN_WEIGHT;
        self.updated_at = now;
        self.ejection = MIN_EJECTION;
        self.ejected_until = Duration::ZERO;
    }

    /// Records a failure; its latency does not count, since fast errors would look like good
    /// answers.
    pub fn failed(&mut self, now: Duration, fault: Fault) {
        let weight = match fault {
            Fault::Broken => 0.6,
            Fault::Bad => 0.34,
        };
        self.failing += (1.0 - self.failing) * weight;
        self.updated_at = now;
        if self.failing > MAX_FAILING {
            self.ejected_until = now + self.ejection;
            self.ejection = (self.ejection * 2).min(MAX_EJECTION);
        }
    }

    /// Records that a request is sent; an upstream that fails gets only one at a time.
    pub fn sent(&mut self, now: Duration) {
        self.sent_at = now;
        if self.failing > MAX_FAILING {
            self.ejected_until = now + self.ejection;
        }
    }
}
