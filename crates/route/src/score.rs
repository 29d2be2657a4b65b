//! What a gate knows of an upstream from its own requests: latency and failures, with decay.

use std::time::Duration;

/// The least weight of a new sample.
const WEIGHT: f64 = 0.1;

/// A sample after a gap weighs more: what was known is this many seconds old, or older.
const MEMORY: f64 = 0.3;

/// How fast a score that gets no samples returns to the common one, in seconds.
///
/// Neighbours move every ten seconds or so; an upstream that is shunned is tried again sooner.
const FORGET: f64 = 4.0;

/// An upstream that never answered is thought a little better than usual, so that it is tried.
const UNSEEN: f64 = 0.5;

/// One sample moves a score by at most this factor, so that one late answer does not condemn.
const STEP: f64 = 4.0;

/// A slow upstream gets one request after this time, to find out whether it still is.
const STALE: Duration = Duration::from_millis(150);

/// Failures above this share put an upstream out of the choice for a while.
const BAD: f64 = 0.5;

/// The first time out; it doubles up to [`MAX_OUT`] while probes fail.
const OUT: Duration = Duration::from_millis(500);

/// The longest time out.
const MAX_OUT: Duration = Duration::from_secs(10);

/// How an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The connection broke or could not be made.
    Broken,
    /// It answered with an error, or takes too long.
    Bad,
}

/// Recent latency and failures of one upstream.
#[derive(Debug, Clone)]
pub struct Score {
    latency: f64,
    failing: f64,
    seen: Duration,
    out: Duration,
    until: Duration,
    probed: Duration,
}

impl Default for Score {
    fn default() -> Self {
        let zero = Duration::ZERO;
        Self { latency: 0.0, failing: 0.0, seen: zero, out: OUT, until: zero, probed: zero }
    }
}

impl Score {
    /// Seconds that a request is expected to take; `common` is the mean over all upstreams.
    pub fn expect(&self, now: Duration, common: f64) -> f64 {
        if self.latency == 0.0 {
            return common * UNSEEN;
        }
        let idle = now.saturating_sub(self.seen).as_secs_f64();
        let keep = FORGET / (FORGET + idle);
        let latency = common + (self.latency - common) * keep;
        // A failure costs a repeat: count it as the time of the repeat.
        latency * (1.0 + 4.0 * self.failing * keep)
    }

    /// Whether it was not heard of for so long that one request may find out how it is now.
    pub fn is_stale(&self, now: Duration) -> bool {
        now.saturating_sub(self.seen.max(self.probed)) > STALE
    }

    /// Whether it is out of the choice until a probe is due.
    pub fn is_out(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Takes in an answer.
    pub fn answered(&mut self, now: Duration, took: Duration) {
        let took = took.as_secs_f64();
        let bounded = match self.latency {
            0.0 => took,
            known => took.clamp(known / STEP, known * STEP),
        };
        let old = if self.latency == 0.0 { bounded } else { self.latency };
        let gap = now.saturating_sub(self.seen).as_secs_f64();
        let weight = WEIGHT.max(gap / (gap + MEMORY));
        self.latency = old + (bounded - old) * weight;
        self.failing *= 1.0 - WEIGHT;
        self.seen = now;
        self.out = OUT;
        self.until = Duration::ZERO;
    }

    /// Takes in a failure; its speed is no merit.
    pub fn failed(&mut self, now: Duration, fault: Fault) {
        let weight = match fault {
            Fault::Broken => 0.6,
            Fault::Bad => 0.34,
        };
        self.failing += (1.0 - self.failing) * weight;
        self.seen = now;
        if self.failing > BAD {
            self.until = now + self.out;
            self.out = (self.out * 2).min(MAX_OUT);
        }
    }

    /// Notes that a request is sent; to an upstream that failed only one at a time goes.
    pub fn tried(&mut self, now: Duration) {
        self.probed = now;
        if self.failing > BAD {
            self.until = now + self.out;
        }
    }
}
