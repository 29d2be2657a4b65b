//! Pauses between tries that fail, each twice as long as the one before.
//!
//! Load pattern: the store turns many hosts of a large fleet away for seconds; each refusal costs as much as an answer,
//! and what all of them ask at a short pause takes the store's time from the others.

use std::time::Duration;

/// The pauses of one row of tries.
#[derive(Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    /// Begins with the first pause, and doubles up to the longest.
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self { first, longest, next: first }
    }

    /// The pause after a try that failed.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (2 * pause).min(self.longest);
        pause
    }

    /// A try went well.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
