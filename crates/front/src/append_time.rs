//! Estimates how soon an append to the log can be acknowledged, from the time that earlier ones took.

use std::time::Duration;

use tokio::time::Instant;

/// The least estimate; a job of a client that has less time is not sent.
const MIN_ESTIMATE: Duration = Duration::from_millis(40);

/// The time of appends, and the one in progress.
#[derive(Debug, Default, Clone, Copy)]
pub struct AppendTime {
    /// The usual time of an append.
    pub usual: Duration,
    /// When the append in progress began.
    pub began: Option<Instant>,
}

impl AppendTime {
    /// The least time until a job that arrives now can be acknowledged: the rest of the append in progress, plus one
    /// more.
    pub fn estimate(&self, now: Instant) -> Duration {
        let elapsed = self.began.map(|began| now.saturating_duration_since(began));
        let next = self.usual.max(elapsed.unwrap_or_default());
        let rest = elapsed.map_or(Duration::ZERO, |elapsed| self.usual.saturating_sub(elapsed));
        (rest + next).max(MIN_ESTIMATE)
    }
}
