//! Token bucket, demand and allocation of a customer's rate, with a clock set by the tests.

use std::time::Duration;

use myrtle_route::{ALLOCATION_TTL, AllocationReply, Allocations, Rate};

/// The customer's whole rate, in requests a second.
const RATE: u32 = 100;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Allocations of a gate that asked for `want` and got `granted`.
fn allocated(want: u32, granted: u32) -> Allocations {
    let mut allocations = Allocations::default();
    allocations.ask("p", 0, want, ms(0));
    allocations.apply("p", AllocationReply { granted, fair_share: granted }, ms(0), ALLOCATION_TTL);
    allocations
}

#[test]
fn a_burst_counts_as_demand_before_the_window_ends() {
    let mut rate = Rate::default();
    assert_eq!(rate.demand(ms(1_000)), 0.0);
    (0..10).for_each(|_| assert!(rate.take(100, ms(1_010)).is_ok()));
    assert_eq!(rate.demand(ms(1_010)), 50.0);
}

#[test]
fn a_retry_for_a_token_is_not_counted_as_demand_again() {
    let mut rate = Rate::default();
    rate.demand(ms(1_000));
    while rate.take(1, ms(1_010)).is_ok() {}
    let demand = rate.demand(ms(1_010));
    (0..10).for_each(|_| assert!(rate.retry(1, ms(1_010)).is_err()));
    assert_eq!(rate.demand(ms(1_010)), demand);
}

#[test]
fn the_number_of_waiting_requests_is_limited() {
    let mut rate = Rate::default();
    assert!(rate.start_wait(2) && rate.start_wait(2) && !rate.start_wait(2));
    rate.end_wait();
    assert!(rate.start_wait(2));
}

/// Defines a test of whether an allocation counts as growing: the amount asked for, granted and
/// wanted now, and the milliseconds since it was granted.
macro_rules! growing {
    ($name:ident, $asked:literal, $got:literal, $want:literal, $after:literal, $grows:literal) => {
        #[test]
        fn $name() {
            let allocations = allocated($asked, $got);
            assert_eq!(allocations.growing("p", $want, RATE, ms($after)), $grows);
        }
    };
}

growing!(an_allocation_grows_until_the_coordinator_replied_to_the_want, 6, 6, 30, 2_000, true);
growing!(an_allocation_grows_while_all_that_is_wanted_is_granted, 30, 30, 30, 2_000, true);
growing!(an_allocation_grows_until_its_tokens_are_filled, 30, 12, 30, 500, true);
growing!(an_allocation_does_not_grow_beyond_what_the_coordinator_has, 30, 12, 30, 2_000, false);
growing!(an_allocation_does_not_grow_beyond_the_whole_rate, 100, 100, 100, 2_000, false);

#[test]
fn a_small_increase_does_not_count_as_growth() {
    let mut allocations = allocated(100, 30);
    allocations.apply(
        "p",
        AllocationReply { granted: 36, fair_share: 36 },
        ms(2_000),
        ALLOCATION_TTL,
    );
    assert!(!allocations.growing("p", 100, RATE, ms(2_100)));
}
