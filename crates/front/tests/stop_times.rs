//! A stopping host does everything in order and ends before it would be killed, however short its grace is.

use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use myrtle_front::StopTimes;

#[rstest]
#[case::none(0.0)]
#[case::very_short(0.2)]
#[case::short(1.0)]
#[case::of_two_seconds(2.0)]
#[case::of_six_seconds(6.0)]
#[case::long(60.0)]
fn a_stop_ends_before_the_kill(#[case] grace: f64) {
    let began = Instant::now();
    let grace = Duration::from_secs_f64(grace);
    let times = StopTimes::new(began, grace);
    let order = [began, times.all_left, times.close_idle, times.answer_all, times.end];
    assert!(order.is_sorted(), "{times:?}");
    assert!(times.end <= began + grace);
    assert!(grace.is_zero() || times.end < began + grace, "no margin: {times:?}");
}

#[test]
fn new_connections_are_awaited_for_two_checks_where_the_grace_allows() {
    let began = Instant::now();
    let times = StopTimes::new(began, Duration::from_secs(6));
    assert!(times.all_left >= began + Duration::from_secs(2));
    assert!(times.close_idle > times.all_left);
}
