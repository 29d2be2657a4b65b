//! Bounds on the questions under way, in virtual time.

use rstest::rstest;

use myrtle_tickets::{CallEnd, CallId, Condition, Window};

/// Sends as many questions of `work` milliseconds as the window allows.
fn fill(window: &mut Window, work: u64, now: u64) -> Vec<CallId> {
    let mut sent = Vec::new();
    while window.may_send(now) {
        sent.push(window.send(work, now));
        assert!(sent.len() < 100, "the window is not bounded");
    }
    sent
}

#[rstest]
#[case::long(400, 2)]
#[case::usual(100, 2)]
#[case::short(20, 5)]
#[case::shortest(1, 8)]
fn so_many_are_under_way_that_the_service_is_never_idle(#[case] work: u64, #[case] count: usize) {
    let mut window = Window::default();
    assert_eq!(fill(&mut window, work, 1_000).len(), count);
    assert_eq!(window.condition(1_000), Condition::Answering);
}

#[test]
fn each_answer_makes_room_for_one_question() {
    let mut window = Window::default();
    let mut under_way = fill(&mut window, 100, 0);
    for turn in 1..50 {
        let now = turn * 100;
        window.end(under_way.remove(0), CallEnd::Answered, now);
        under_way.extend(fill(&mut window, 100, now));
        assert_eq!(under_way.len(), 2);
    }
}

// Guards against a limit that doesn't count what waits before a call: its answer would be thrown away.
#[test]
fn a_call_that_waits_behind_others_is_not_late() {
    let mut window = Window::default();
    for _ in 0..2 {
        window.send(2_000, 0);
    }
    assert_eq!(window.condition(2_400), Condition::Answering);
    assert_eq!(window.lost(60_000), vec![]);
}

#[test]
fn a_slow_service_counts_as_answering_once_its_pace_is_known() {
    let mut window = Window::default();
    let mut now = 0;
    for _ in 0..12 {
        let id = window.send(100, now);
        now += 1_500;
        window.end(id, CallEnd::Answered, now);
    }
    window.send(100, now);
    assert_eq!(window.condition(now + 1_600), Condition::Answering);
}

// Guards against calls to a silent service that pile up: it would refuse them, or work on them for long once it is back.
#[test]
fn a_silent_service_is_asked_at_intervals_and_within_what_it_lets_wait() {
    let mut window = Window::default();
    let mut sent_at = Vec::new();
    let mut given_up = 0;
    for now in (0..60_000).step_by(10) {
        given_up += window.lost(now).len();
        sent_at.extend(fill(&mut window, 100, now).iter().map(|_| now));
    }
    assert_eq!(window.condition(60_000), Condition::Silent);
    assert!(window.len() <= 16);
    assert!(sent_at.len() <= 30, "{} calls", sent_at.len());
    assert!(given_up <= 14, "{given_up} given up");
    let pauses: Vec<u64> = sent_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.iter().all(|pause| *pause <= 4_010), "{pauses:?}");
    assert!(pauses[2..12].iter().all(|pause| *pause <= 1_000), "{pauses:?}");
}

#[rstest]
#[case::busy(CallEnd::Busy, Condition::Busy)]
#[case::failed(CallEnd::Failed, Condition::Unreachable)]
fn a_service_that_fails_is_asked_once_after_growing_pauses(
    #[case] end: CallEnd,
    #[case] condition: Condition,
) {
    let mut window = Window::default();
    let mut sent = 0;
    for now in (0..10_000).step_by(10) {
        for id in fill(&mut window, 20, now) {
            sent += 1;
            window.end(id, end, now);
        }
    }
    assert!((10..=20).contains(&sent), "{sent} calls in 10 s");
    assert_eq!(window.condition(10_000), condition);
    let id = window.send(20, 11_000);
    window.end(id, CallEnd::Answered, 11_020);
    assert_eq!(fill(&mut window, 20, 11_020).len(), 5);
}

// Guards against a service that rejects every question and is asked about each waiting step again and again.
#[test]
fn a_service_that_rejects_everything_is_asked_little() {
    let mut window = Window::default();
    let mut sent = 0;
    for now in (0..10_000).step_by(10) {
        for id in fill(&mut window, 20, now) {
            sent += 1;
            window.end(id, CallEnd::Rejected, now);
        }
    }
    assert!((15..=30).contains(&sent), "{sent} calls in 10 s");
    assert_eq!(window.condition(10_000), Condition::Busy);
}

#[test]
fn questions_that_are_rejected_between_answers_hold_up_no_other() {
    let mut window = Window::default();
    for turn in 0..40 {
        let end = if turn % 4 == 0 { CallEnd::Answered } else { CallEnd::Rejected };
        let id = window.send(20, turn * 20);
        window.end(id, end, turn * 20 + 20);
        assert!(window.may_send(turn * 20 + 20));
    }
}

// Guards against a connection that breaks with several calls on the way and counts as several failures in a row.
#[test]
fn calls_that_fail_together_are_one_failure() {
    let mut window = Window::default();
    for id in fill(&mut window, 1, 0) {
        window.end(id, CallEnd::Failed, 0);
    }
    assert!(window.may_send(100));
}

// Guards against a call that the service lost and that is waited for though later ones are answered.
#[test]
fn a_call_is_lost_once_one_sent_well_after_it_is_answered() {
    let mut window = Window::default();
    let first = window.send(100, 0);
    let second = window.send(100, 300);
    window.end(second, CallEnd::Answered, 500);
    assert_eq!(window.lost(1_000), vec![]);
    assert_eq!(window.lost(1_200), vec![first]);
    assert!(window.is_empty());
}

#[test]
fn calls_sent_together_may_be_answered_in_any_order() {
    let mut window = Window::default();
    window.send(100, 0);
    let second = window.send(100, 5);
    window.end(second, CallEnd::Answered, 100);
    assert_eq!(window.lost(30_000), vec![]);
}

// Guards against a silent service that is never asked again as the only question is under way already.
#[test]
fn the_oldest_question_may_be_repeated_to_a_silent_service() {
    let mut window = Window::default();
    let id = window.send(100, 0);
    assert_eq!(window.repeatable(500), None);
    assert_eq!(window.repeatable(700), Some(id));
}

#[test]
fn a_window_tells_when_to_look_again() {
    let mut window = Window::default();
    assert_eq!(window.next_change(0), None);
    let id = window.send(100, 0);
    assert_eq!(window.next_change(0), Some(600));
    window.end(id, CallEnd::Failed, 50);
    assert_eq!(window.next_change(50), Some(150));
}
