//! Limits how many lines a second are logged about clients, which may be many.

use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

/// The most lines a second.
const MAX_LINES: u32 = 50;

/// The time in which so many lines are allowed.
const PERIOD: Duration = Duration::from_secs(1);

/// The longest text of a client's that a line or an answer repeats, in bytes.
const MAX_TEXT: usize = 200;

/// Counts lines.
#[derive(Debug, Default)]
pub struct LogLimit(Mutex<Option<Counts>>);

#[derive(Debug, Clone, Copy)]
struct Counts {
    since: Instant,
    lines: u32,
    dropped: u64,
}

impl LogLimit {
    /// Whether a line may be logged now, and how many were dropped before it; nothing if it is dropped.
    pub fn allow(&self, now: Instant) -> Option<u64> {
        let mut counts = self.0.lock().expect("no holder panics");
        let current = counts.get_or_insert(Counts { since: now, lines: 0, dropped: 0 });
        if now >= current.since + PERIOD {
            (current.since, current.lines) = (now, 0);
        }
        if current.lines >= MAX_LINES {
            current.dropped += 1;
            return None;
        }
        current.lines += 1;
        Some(std::mem::take(&mut current.dropped))
    }
}

/// The beginning of a text that came from a client or repeats what did.
pub fn shorten(text: &str) -> &str {
    match text.char_indices().find(|(at, c)| at + c.len_utf8() > MAX_TEXT) {
        Some((end, _)) => &text[..end],
        None => text,
    }
}
