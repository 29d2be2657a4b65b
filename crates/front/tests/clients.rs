//! Which connection is evicted where room is short, how long bodies may last, and which limits are accepted.

use std::time::Duration;

use rstest::rstest;

use myrtle_front::{BodyPace, Holding, HostLimits, choose};

/// A connection that has waited for its client, in seconds.
fn waits(number: u64, held: usize, seconds: u64) -> Holding {
    Holding { number, held, waits: Some(Duration::from_secs(seconds)) }
}

/// A connection whose request has arrived as a whole.
fn serves(number: u64, held: usize) -> Holding {
    Holding { number, held, waits: None }
}

#[rstest]
#[case::nobody(vec![], None)]
#[case::whole_requests(vec![serves(1, 900), serves(2, 100)], None)]
#[case::beside_a_whole_request(vec![serves(1, 900), waits(2, 1, 0)], Some(2))]
#[case::more_bytes(vec![waits(1, 50, 3), waits(2, 250, 3)], Some(2))]
#[case::longer(vec![waits(1, 50, 9), waits(2, 50, 3)], Some(1))]
#[case::half_a_body_before_an_idle_one(vec![waits(1, 40, 14), waits(2, 300, 4)], Some(2))]
#[case::a_newcomer_stays(vec![waits(1, 40, 2), waits(2, 300, 0)], Some(1))]
#[case::equal_ones(vec![waits(1, 40, 2), waits(2, 40, 2)], Some(1))]
fn the_one_that_holds_most_for_its_progress_is_evicted(
    #[case] open: Vec<Holding>,
    #[case] chosen: Option<u64>,
) {
    assert_eq!(choose(open.into_iter()), chosen);
}

#[rstest]
#[case::nothing_arrived(0, 10_000)]
#[case::some_progress(2_000, 12_000)]
#[case::much_progress(1_000_000, 60_000)]
fn a_body_may_last_as_its_progress_earns(#[case] arrived: usize, #[case] millis: u64) {
    let pace =
        BodyPace { longest: Duration::from_secs(60), rate: 1_000, grace: Duration::from_secs(10) };
    assert_eq!(pace.allows(arrived), Duration::from_millis(millis));
}

/// The limits of a host.
fn limits(memory: usize, descriptors: usize) -> HostLimits {
    HostLimits { memory, descriptors, ..HostLimits::default() }
}

#[rstest]
#[case::left_out(HostLimits::default(), None)]
#[case::small(limits(32, 300), None)]
#[case::no_memory(limits(0, 4_100), Some("memory"))]
#[case::few_descriptors(limits(160, 250), Some("descriptors"))]
#[case::no_time(HostLimits { body_time: 0, ..HostLimits::default() }, Some("body_time"))]
fn limits_with_which_no_host_works_are_refused(
    #[case] limits: HostLimits,
    #[case] name: Option<&str>,
) {
    assert_eq!(limits.fault().map(|(name, ..)| name), name);
}

#[rstest]
#[case::least(300)]
#[case::small(400)]
#[case::usual(4_100)]
#[case::large(8_192)]
fn descriptors_are_left_for_everything_else(#[case] descriptors: usize) {
    let limits = limits(160, descriptors);
    let (clients, checks) = (limits.client_sockets(), limits.check_sockets());
    assert!(clients > 0 && checks > 0);
    let left = descriptors - 200 - clients - 2 * checks;
    assert!(3 * left >= descriptors - 200, "{left} of {descriptors} are left");
}
