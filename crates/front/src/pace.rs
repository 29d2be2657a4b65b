//! How soon an append to the log may be acknowledged, by how long those before took.

use std::time::Duration;

use tokio::time::Instant;

/// The least time in which an append may be acknowledged: nothing is sent for a client that has less.
const LEAST: Duration = Duration::from_millis(40);

/// How long appends take.
#[derive(Debug, Default, Clone, Copy)]
pub struct Pace {
    /// What the answers before took.
    pub usual: Duration,
    /// When the call that is under way began.
    pub began: Option<Instant>,
}

impl Pace {
    /// The least time after which a job that comes now can be acknowledged: what the call under way still
    /// takes, and then as long again.
    pub fn ahead(&self, now: Instant) -> Duration {
        let passed = self.began.map(|began| now.saturating_duration_since(began));
        let one = self.usual.max(passed.unwrap_or_default());
        let rest = passed.map_or(Duration::ZERO, |passed| self.usual.saturating_sub(passed));
        (rest + one).max(LEAST)
    }
}
