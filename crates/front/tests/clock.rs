//! The steady clock counts the time while a host is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

use myrtle_front::clock::now;

/// The system's clock that counts suspension, in milliseconds.
fn since_boot() -> u64 {
    Duration::from(clock_gettime(ClockId::CLOCK_BOOTTIME).unwrap()).as_millis() as u64
}

#[test]
fn the_steady_clock_follows_the_one_that_counts_suspension() {
    let start = now();
    let before = since_boot();
    for _ in 0..1_000 {
        let (earliest, read, latest) = (since_boot(), now(), since_boot());
        // Each of the three is rounded down to whole milliseconds.
        assert!(read + 1 >= start + (earliest - before), "{read} is early");
        assert!(read <= start + (latest - before) + 2, "{read} is late");
    }
}
