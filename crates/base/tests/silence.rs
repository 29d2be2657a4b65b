//! Detection of silent connections from calls and their answers.

use std::time::{Duration, Instant};

use myrtle_base::SilenceDetector;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Makes consecutive calls of duration `took`; returns how many made their connection suspect while they waited.
fn suspicions(silence: &mut SilenceDetector, start: Instant, took: Duration, calls: u32) -> usize {
    let mut suspicions = 0;
    for n in 0..calls {
        let began = start + 2 * n * took;
        let number = silence.sent(Duration::ZERO, true, true, began);
        let end = began + took;
        suspicions += usize::from(silence.suspect_before(end) == Some(began));
        silence.answered(number, start, end);
    }
    suspicions
}

#[test]
fn a_slow_peer_is_suspected_once() {
    let start = Instant::now();
    let mut silence = SilenceDetector::new();
    assert_eq!(suspicions(&mut silence, start, ms(300), 1_000), 1);
}

#[test]
fn a_peer_that_became_quick_is_suspected_soon() {
    let start = Instant::now();
    let mut silence = SilenceDetector::new();
    suspicions(&mut silence, start, ms(300), 10);
    let quick = start + ms(10_000);
    assert_eq!(suspicions(&mut silence, quick, ms(5), 100), 0);
    let sent = quick + ms(10_000);
    silence.sent(Duration::ZERO, true, true, sent);
    assert_eq!(silence.suspect_before(sent + ms(200)), Some(sent));
}

#[test]
fn a_requested_wait_makes_nothing_suspect() {
    let start = Instant::now();
    let mut silence = SilenceDetector::new();
    silence.sent(ms(2_000), true, true, start);
    assert_eq!(silence.suspect_before(start + ms(2_000)), None);
    assert_eq!(silence.suspect_before(start + ms(2_200)), Some(start));
}

#[test]
fn a_call_on_a_new_connection_makes_no_other_suspect() {
    let start = Instant::now();
    let mut silence = SilenceDetector::new();
    let number = silence.sent(Duration::ZERO, true, false, start);
    assert_eq!(silence.suspect_before(start + ms(5_000)), None);
    silence.cancelled(number, start + ms(5_000));
    assert_eq!(silence.suspect_before(start + ms(5_000)), None);
}

#[test]
fn only_an_answer_on_a_newer_connection_proves_silence() {
    let start = Instant::now();
    let mut silence = SilenceDetector::new();
    let lost = silence.sent(Duration::ZERO, true, true, start + ms(10));
    silence.cancelled(lost, start + ms(610));
    let old = silence.sent(Duration::ZERO, true, true, start + ms(620));
    assert_eq!(silence.answered(old, start, start + ms(625)), None);
    let new = silence.sent(Duration::ZERO, true, false, start + ms(630));
    assert_eq!(silence.answered(new, start + ms(629), start + ms(635)), Some(start + ms(10)));
    let next = silence.sent(Duration::ZERO, true, true, start + ms(640));
    assert_eq!(silence.answered(next, start + ms(629), start + ms(645)), None);
}

#[test]
fn an_unanswered_write_makes_suspect_but_proves_no_silence() {
    let start = Instant::now();
    let mut silence = SilenceDetector::new();
    let write = silence.sent(Duration::ZERO, false, true, start);
    silence.cancelled(write, start + ms(600));
    assert_eq!(silence.suspect_before(start + ms(600)), Some(start));
    let new = silence.sent(Duration::ZERO, true, false, start + ms(610));
    assert_eq!(silence.answered(new, start + ms(609), start + ms(615)), None);
}

/// Guards against the endless use of a silent connection by calls that their clients' remaining time bounds to
/// 100 ms: they are cancelled before they are overdue.
#[test]
fn short_unanswered_calls_add_up() {
    let start = Instant::now();
    let mut silence = SilenceDetector::new();
    let first = start + ms(10);
    for n in 0..2 {
        let began = first + n * ms(100);
        let number = silence.sent(Duration::ZERO, true, true, began);
        assert_eq!(silence.suspect_before(began), None, "call {n}");
        silence.cancelled(number, began + ms(100));
    }
    assert_eq!(silence.suspect_before(first + ms(200)), Some(first));
}

#[test]
fn concurrent_short_calls_count_once() {
    let start = Instant::now();
    let mut silence = SilenceDetector::new();
    let numbers: Vec<_> =
        (0..20).map(|_| silence.sent(Duration::ZERO, true, true, start)).collect();
    numbers.into_iter().for_each(|n| silence.cancelled(n, start + ms(100)));
    assert_eq!(silence.suspect_before(start + ms(100)), None, "a call of 100 ms is not overdue");
}

#[test]
fn an_answer_between_short_calls_clears_the_connection() {
    let start = Instant::now();
    let mut silence = SilenceDetector::new();
    for n in 0..20 {
        let began = start + n * ms(200);
        let lost = silence.sent(Duration::ZERO, true, true, began);
        silence.cancelled(lost, began + ms(100));
        let answered = silence.sent(Duration::ZERO, true, true, began + ms(100));
        silence.answered(answered, start, began + ms(105));
        assert_eq!(silence.suspect_before(began + ms(110)), None, "call {n}");
    }
}
