//! How long to wait for an answer, learned from the answers before.

use std::time::Duration;

/// The shortest time that is waited: many times a usual answer of 5 ms.
const SHORTEST: Duration = Duration::from_millis(150);

/// The longest time that is waited; longer than the platform's store keeps a call waiting.
const LONGEST: Duration = Duration::from_millis(2_500);

/// How many usual answers are waited for: slow ones come in bursts.
const TIMES: u32 = 6;

/// The usual time that is taken before any answer came: twice the platform's figure.
const FIRST: Duration = Duration::from_millis(10);

/// How much of a new answer's time counts.
const SHARE: f64 = 0.3;

/// The usual time of an answer.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    usual: Duration,
    tries: u32,
}

impl Patience {
    /// Knows nothing yet.
    pub fn new() -> Self {
        Self { usual: FIRST, tries: 0 }
    }

    /// How long the next answer may take; doubled with each try without one.
    pub fn limit(&self) -> Duration {
        let limit = (self.usual * TIMES).max(SHORTEST);
        (limit * (1 << self.tries.min(6))).min(LONGEST)
    }

    /// What answers take.
    pub fn usual(&self) -> Duration {
        self.usual
    }

    /// An answer came after this time.
    pub fn answered(&mut self, took: Duration) {
        self.usual = self.usual.mul_f64(1.0 - SHARE) + took.mul_f64(SHARE);
        self.tries = 0;
    }

    /// No answer came.
    pub fn missed(&mut self) {
        self.tries += 1;
    }
}

impl Default for Patience {
    fn default() -> Self {
        Self::new()
    }
}
