//! The two clocks of a host, in milliseconds.

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds of the steady clock since the process first asked.
pub fn now() -> u64 {
    // An owner's first moments must not be at 0, where 'never' lies.
    START.get_or_init(Instant::now).elapsed().as_millis() as u64 + 1
}

/// Milliseconds since 1970 by the host's time of day, which may jump.
pub fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
