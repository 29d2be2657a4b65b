//! A party's tokens, its demand and what its gate holds, in a clock of the test's own.

use std::time::Duration;

use myrtle_route::{LOAN, Offer, Rate, Shares};

/// A party's whole rate.
const RATE: u32 = 100;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Shares that asked for `want` and got `lent`.
fn held(want: u32, lent: u32) -> Shares {
    let mut shares = Shares::default();
    shares.ask("p", 0, want, ms(0));
    shares.offer("p", Offer { lent, fair: lent }, ms(0), LOAN);
    shares
}

#[test]
fn a_burst_counts_as_demand_before_the_time_is_over() {
    let mut rate = Rate::default();
    assert_eq!(rate.demand(ms(1_000)), 0.0);
    (0..10).for_each(|_| assert!(rate.take(100, ms(1_010)).is_ok()));
    assert_eq!(rate.demand(ms(1_010)), 50.0);
}

#[test]
fn a_request_that_asks_again_is_one_request() {
    let mut rate = Rate::default();
    rate.demand(ms(1_000));
    while rate.take(1, ms(1_010)).is_ok() {}
    let demand = rate.demand(ms(1_010));
    (0..10).for_each(|_| assert!(rate.again(1, ms(1_010)).is_err()));
    assert_eq!(rate.demand(ms(1_010)), demand);
}

#[test]
fn no_more_wait_than_may() {
    let mut rate = Rate::default();
    assert!(rate.wait(2) && rate.wait(2) && !rate.wait(2));
    rate.waited();
    assert!(rate.wait(2));
}

/// Names a case of whether a share may grow: what was asked for, what was lent, what is wanted and
/// how many milliseconds after it was lent.
macro_rules! growing {
    ($name:ident, $asked:literal, $lent:literal, $want:literal, $after:literal, $grows:literal) => {
        #[test]
        fn $name() {
            let shares = held($asked, $lent);
            assert_eq!(shares.growing("p", $want, RATE, ms($after)), $grows);
        }
    };
}

growing!(a_share_grows_while_its_keeper_has_not_heard_of_the_want, 6, 6, 30, 2_000, true);
growing!(a_share_grows_while_its_keeper_gives_what_is_wanted, 30, 30, 30, 2_000, true);
growing!(a_share_grows_until_its_tokens_are_filled, 30, 12, 30, 500, true);
growing!(a_share_does_not_grow_beyond_what_its_keeper_has, 30, 12, 30, 2_000, false);
growing!(a_share_does_not_grow_beyond_the_whole_rate, 100, 100, 100, 2_000, false);

#[test]
fn a_share_that_wavers_does_not_grow() {
    let mut shares = held(100, 30);
    shares.offer("p", Offer { lent: 36, fair: 36 }, ms(2_000), LOAN);
    assert!(!shares.growing("p", 100, RATE, ms(2_100)));
}
