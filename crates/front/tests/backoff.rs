//! Pauses between failed attempts.

use std::time::Duration;

use myrtle_front::Backoff;

/// How long the store rejects a host, in milliseconds.
const REJECTED: u64 = 9_000;

/// The time in which a rejected host has to catch up, in milliseconds, as the platform requires.
const CATCH_UP: u64 = 6_000;

#[test]
fn a_rejecting_store_is_called_seldom_and_again_in_time() {
    let (first, max) = (Duration::from_millis(100), Duration::from_millis(800));
    let mut backoff = Backoff::new(first, max);
    let (mut now, mut attempts) = (0, 0);
    while now < REJECTED {
        now += backoff.pause().as_millis() as u64;
        attempts += 1;
    }
    assert!(attempts <= REJECTED / 500, "{attempts} attempts");
    assert!(now - REJECTED < CATCH_UP);
    backoff.reset();
    assert_eq!(backoff.pause(), first);
}
