//! Pauses between failed attempts, each twice as long as the one before.
//!
//! Load pattern: the store rejects the calls of many hosts of a large fleet for seconds. Each rejection costs it as
//! much as an answer, so frequent retries of all these hosts would take its time from the others.

use std::time::Duration;

/// The pauses of a series of attempts.
#[derive(Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Starts with the first pause, and doubles up to the maximum.
    pub fn new(first: Duration, max: Duration) -> Self {
        Self { first, max, next: first }
    }

    /// Returns the pause after a failed attempt.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (2 * pause).min(self.max);
        pause
    }

    /// Starts again with the first pause after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
