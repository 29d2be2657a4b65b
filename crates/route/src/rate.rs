//! A token bucket for a party's share of its rate.

use std::time::Duration;

/// Tokens that can be saved up, in seconds of the rate.
const BURST: f64 = 1.0;

/// The time over which demand is measured.
const LOOK: Duration = Duration::from_millis(200);

/// A bucket that fills at the share's rate.
#[derive(Debug, Clone, Default)]
pub struct Rate {
    tokens: f64,
    filled: Duration,
    /// Requests asked for since the last look, allowed or not.
    asked: u32,
    looked: Duration,
    recent: f64,
    /// Requests that wait for a token.
    waiting: u32,
}

impl Rate {
    /// Takes a token; `share` is in requests a second.
    ///
    /// Returns the wait after which there will be one if there is none now.
    pub fn take(&mut self, share: u32, now: Duration) -> Result<(), Duration> {
        self.asked += 1;
        self.again(share, now)
    }

    /// Takes a token for a request that was counted when it asked first.
    pub fn again(&mut self, share: u32, now: Duration) -> Result<(), Duration> {
        let rate = f64::from(share);
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + passed * rate).min(rate * BURST);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = if share == 0 { 1.0 } else { (1.0 - self.tokens) / rate };
        Err(Duration::from_secs_f64(wait))
    }

    /// Lets one more request wait for a token unless `most` wait; [`Rate::waited`] ends its wait.
    pub fn wait(&mut self, most: u32) -> bool {
        let free = self.waiting < most;
        self.waiting += u32::from(free);
        free
    }

    /// Notes that a request waits no longer.
    pub fn waited(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// The requests a second that callers asked for lately.
    pub fn demand(&mut self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.looked).as_secs_f64();
        if passed < LOOK.as_secs_f64() {
            // A burst shows before the time is over, or it would be refused meanwhile.
            self.recent = self.recent.max(f64::from(self.asked) / LOOK.as_secs_f64());
            return self.recent;
        }
        let fresh = f64::from(self.asked) / passed;
        // Demand is believed at once when it grows and given up slowly when it falls.
        self.recent = fresh.max(self.recent * 0.5);
        self.asked = 0;
        self.looked = now;
        self.recent
    }
}
