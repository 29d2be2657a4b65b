//! The two clocks of a host, in milliseconds.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

static FIRST_READ: OnceLock<Duration> = OnceLock::new();

/// Milliseconds of a steady clock since the process first read it.
///
/// It counts the time while the host is suspended, unlike the clock behind timers and `Instant`. By that one a host
/// that wakes after 5 s would take its membership for 5 s younger than it is, and act for a cell that another host
/// owns by then.
pub fn now() -> u64 {
    let elapsed = since_boot().saturating_sub(*FIRST_READ.get_or_init(since_boot));
    // An owner's first moment must not be 0, which stands for 'never'.
    elapsed.as_millis() as u64 + 1
}

/// Milliseconds since 1970 by the host's wall clock, which may jump.
pub fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// The time since the host booted, including time while suspended.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has had this clock since 2.6.39").into()
}
