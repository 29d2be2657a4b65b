//! Pauses between tries that fail, each twice as long as the one before.
//!
//! Load pattern: the store turns a third of 584 hosts away for nine seconds; at a tenth of a second each they asked it
//! 2,000 times a second, and every refusal has its price.

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
