//! A token bucket for a gate's allocation of a customer's rate.

use std::time::Duration;

/// The bucket's size, in seconds of the rate.
const BURST_SECS: f64 = 1.0;

/// The time over which demand is counted.
const WINDOW: Duration = Duration::from_millis(200);

/// A token bucket that is refilled at the allocated rate.
#[derive(Debug, Clone, Default)]
pub struct Rate {
    tokens: f64,
    refilled_at: Duration,
    /// Requests in the current window, allowed or not.
    requested: u32,
    window_start: Duration,
    recent: f64,
    /// Requests that wait for a token.
    waiting: u32,
}

impl Rate {
    /// Takes a token and counts the request as demand; `allocated` is in requests a second.
    ///
    /// If there is no token, returns the time until there will be one.
    pub fn take(&mut self, allocated: u32, now: Duration) -> Result<(), Duration> {
        self.requested += 1;
        self.retry(allocated, now)
    }

    /// Takes a token for a request that was already counted as demand.
    pub fn retry(&mut self, allocated: u32, now: Duration) -> Result<(), Duration> {
        let rate = f64::from(allocated);
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + passed * rate).min(rate * BURST_SECS);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = if allocated == 0 { 1.0 } else { (1.0 - self.tokens) / rate };
        Err(Duration::from_secs_f64(wait))
    }

    /// Lets one more request wait for a token, unless `most` wait already; [`Rate::end_wait`] ends
    /// its wait.
    pub fn start_wait(&mut self, most: u32) -> bool {
        let free = self.waiting < most;
        self.waiting += u32::from(free);
        free
    }

    /// Records that a request has stopped waiting.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// The requests a second that callers have sent recently.
    pub fn demand(&mut self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.window_start).as_secs_f64();
        if passed < WINDOW.as_secs_f64() {
            // A burst counts before the window ends, or its requests would be refused until then.
            self.recent = self.recent.max(f64::from(self.requested) / WINDOW.as_secs_f64());
            return self.recent;
        }
        let latest = f64::from(self.requested) / passed;
        // A rise in demand counts at once, a fall halves the figure each window.
        self.recent = latest.max(self.recent * 0.5);
        self.requested = 0;
        self.window_start = now;
        self.recent
    }
}
