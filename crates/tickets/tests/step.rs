//! What is known of a step, and until when.

use rstest::rstest;

use myrtle_job::Incarnation;
use myrtle_tickets::StepTickets;

/// A worker.
fn worker(id: &str) -> Incarnation {
    Incarnation::new(id, 0)
}

/// The answers about a step after one question about the workers `a` and `b`, of which `a` may run it.
fn answered(asked_at: u64, work: u64, valid: u64, now: u64) -> StepTickets {
    let mut tickets = StepTickets::default();
    tickets.asked();
    let good = vec![(worker("a"), "t".to_string())];
    tickets.answered(&[worker("a"), worker("b")], good, asked_at, work, valid, now);
    tickets
}

#[test]
fn a_barred_worker_is_not_asked_about_again() {
    let tickets = answered(0, 100, 3_000, 100);
    assert!(tickets.is_refused(&worker("b")));
    assert!(!tickets.wants(&worker("b"), 90_000));
    assert!(!tickets.wants(&worker("a"), 200));
    assert!(tickets.wants(&worker("a"), 90_000));
    assert!(tickets.wants(&worker("c"), 200));
}

// Guards against validity that is counted from when a question was sent, though it waited for seconds.
#[rstest]
#[case::long(3_000, 2_600)]
#[case::short(400, 190)]
#[case::shortest(100, 45)]
fn a_late_answer_is_as_good_as_any(#[case] valid: u64, #[case] usable: u64) {
    let tickets = answered(0, 100, valid, 10_000);
    assert!(tickets.usable(&worker("a"), 10_000 + usable).is_some());
    assert!(tickets.usable(&worker("a"), 10_000 + valid).is_none());
    assert!(!tickets.holds(&worker("a"), 10_000 + valid));
}

// Guards against a start that goes out without a ticket as that lapsed while its record was written.
#[test]
fn a_start_that_was_planned_keeps_its_ticket() {
    let tickets = answered(0, 100, 3_000, 100);
    assert!(tickets.usable(&worker("a"), 2_900).is_none());
    assert!(tickets.holds(&worker("a"), 2_900));
    assert!(tickets.held(&worker("a")).is_some());
}

#[test]
fn tickets_that_are_refused_are_asked_for_after_growing_pauses() {
    let mut tickets = answered(0, 100, 3_000, 100);
    let mut pauses = Vec::new();
    for turn in 1..8 {
        let now = turn * 10_000;
        tickets.invalid(now);
        // Further starts with the same answer say nothing new.
        tickets.invalid(now);
        pauses.push((0..10_000).find(|wait| tickets.may_ask(now + wait)).unwrap());
        tickets.asked();
        let good = vec![(worker("a"), "t".to_string())];
        tickets.used();
        tickets.answered(&[worker("a")], good, now, 100, 3_000, now);
    }
    assert_eq!(pauses, [0, 100, 200, 400, 800, 1_600, 3_200]);
    tickets.accepted();
    tickets.invalid(90_000);
    assert!(tickets.may_ask(90_000));
}

#[test]
fn a_step_is_not_asked_about_twice_at_once() {
    let mut tickets = StepTickets::default();
    tickets.asked();
    assert!(!tickets.may_ask(1_000));
    tickets.unanswered();
    assert!(tickets.may_ask(1_000));
    tickets.asked();
    tickets.rejected(1_000);
    assert!(!tickets.may_ask(1_050));
    assert!(tickets.may_ask(1_100));
}
