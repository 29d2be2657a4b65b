//! Pauses between tries that fail.

use std::time::Duration;

use myrtle_front::Backoff;

/// Hosts that the store turns away for so long, in milliseconds.
const AWAY: u64 = 9_000;

/// The time in which a host that was turned away has to have caught up, in milliseconds; the platform's figure.
const CATCH_UP: u64 = 6_000;

#[test]
fn a_store_that_turns_hosts_away_is_asked_seldom_and_again_in_time() {
    let (first, longest) = (Duration::from_millis(100), Duration::from_millis(800));
    let mut backoff = Backoff::new(first, longest);
    let (mut now, mut tries) = (0, 0);
    while now < AWAY {
        now += backoff.pause().as_millis() as u64;
        tries += 1;
    }
    assert!(tries <= AWAY / 500, "{tries} tries");
    assert!(now - AWAY < CATCH_UP);
    backoff.reset();
    assert_eq!(backoff.pause(), first);
}
