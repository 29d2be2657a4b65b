//! Estimates the usual answer time of a service, and derives the time limit of an attempt from it.

use std::time::Duration;

/// The shortest time limit, many times a usual answer of 5 ms.
const MIN_LIMIT: Duration = Duration::from_millis(150);

/// The longest time limit; longer than the platform's store keeps a call waiting.
const MAX_LIMIT: Duration = Duration::from_millis(2_500);

/// The ratio of the limit to the usual answer time; slow answers come in bursts.
const LIMIT_FACTOR: u32 = 6;

/// The usual answer time before the first answer: twice the platform's figure.
const INITIAL: Duration = Duration::from_millis(10);

/// The weight of a new answer in the moving average.
const NEW_WEIGHT: f64 = 0.3;

/// The moving average of answer times, and the attempts since the last answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerTime {
    usual: Duration,
    timeouts: u32,
}

impl AnswerTime {
    /// Starts with the initial estimate.
    pub fn new() -> Self {
        Self { usual: INITIAL, timeouts: 0 }
    }

    /// The time limit of the next attempt; doubled with each attempt without an answer.
    pub fn limit(&self) -> Duration {
        let limit = (self.usual * LIMIT_FACTOR).max(MIN_LIMIT);
        (limit * (1 << self.timeouts.min(6))).min(MAX_LIMIT)
    }

    /// The usual answer time.
    pub fn usual(&self) -> Duration {
        self.usual
    }

    /// Records an answer after this time.
    pub fn answered(&mut self, took: Duration) {
        self.usual = self.usual.mul_f64(1.0 - NEW_WEIGHT) + took.mul_f64(NEW_WEIGHT);
        self.timeouts = 0;
    }

    /// Records an attempt without an answer.
    pub fn timed_out(&mut self) {
        self.timeouts += 1;
    }
}

impl Default for AnswerTime {
    fn default() -> Self {
        Self::new()
    }
}
