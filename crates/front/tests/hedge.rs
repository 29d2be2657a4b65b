//! Calls that are repeated while earlier attempts wait, in virtual time.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use myrtle_adapter::StoreError;
use myrtle_front::{AnswerTime, Outcome, hedged, with_backup};

/// The result of an attempt, after a time in milliseconds.
#[derive(Clone, Copy)]
enum Reply {
    Good(u64),
    Lost,
    Busy(u64),
}

/// Makes a call with these results of its attempts; returns the outcome, the milliseconds that it took and the number
/// of attempts.
async fn call(attempts: &[Reply], limit: u64) -> (Outcome<usize>, u64, usize) {
    let calls = Cell::new(0);
    let began = Instant::now();
    let attempt = |_left| {
        let number = calls.replace(calls.get() + 1);
        let reply = attempts.get(number).or(attempts.last()).copied().unwrap_or(Reply::Lost);
        async move {
            match reply {
                Reply::Good(millis) => {
                    sleep(Duration::from_millis(millis)).await;
                    Ok(number)
                }
                Reply::Lost => std::future::pending().await,
                Reply::Busy(millis) => {
                    sleep(Duration::from_millis(millis)).await;
                    Err(StoreError::Busy { status: 503 })
                }
            }
        }
    };
    let end = began + Duration::from_millis(limit);
    let outcome = hedged(&mut AnswerTime::new(), end, attempt, |_| false, |_| {}).await;
    (outcome, began.elapsed().as_millis() as u64, calls.get())
}

#[tokio::test(start_paused = true)]
async fn a_slow_answer_counts_beside_a_new_attempt() {
    let (outcome, took, attempts) = call(&[Reply::Good(400), Reply::Good(400)], 3_000).await;
    assert!(matches!(outcome, Outcome::Done(0)), "{outcome:?}");
    assert_eq!(took, 400);
    assert_eq!(attempts, 2);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_costs_one_wait() {
    let (outcome, took, attempts) = call(&[Reply::Lost, Reply::Good(4)], 3_000).await;
    assert!(matches!(outcome, Outcome::Done(1)), "{outcome:?}");
    assert_eq!(took, 154);
    assert_eq!(attempts, 2);
}

#[tokio::test(start_paused = true)]
async fn a_refusal_is_returned_at_once() {
    let (outcome, took, attempts) = call(&[Reply::Busy(4)], 3_000).await;
    assert!(matches!(outcome, Outcome::Refused(StoreError::Busy { .. })), "{outcome:?}");
    assert_eq!(took, 4);
    assert_eq!(attempts, 1);
}

#[tokio::test(start_paused = true)]
async fn a_refusal_beside_an_unanswered_attempt_is_no_refusal() {
    let (outcome, took, _) = call(&[Reply::Lost, Reply::Busy(4)], 1_000).await;
    assert!(matches!(outcome, Outcome::Unknown), "{outcome:?}");
    assert_eq!(took, 1_000);
}

#[tokio::test(start_paused = true)]
async fn a_silent_store_gets_few_attempts_at_a_time() {
    let (outcome, took, attempts) = call(&[Reply::Lost], 3_000).await;
    assert!(matches!(outcome, Outcome::Unknown), "{outcome:?}");
    assert_eq!(took, 3_000);
    assert_eq!(attempts, 3);
}

/// Makes a call with a second one after 700 ms; each attempt ends after its time, or never, and one with an odd time
/// finds the peer gone.
async fn backed_up(attempts: &[Option<u64>]) -> (Option<usize>, u64, usize) {
    let calls = Cell::new(0);
    let began = Instant::now();
    let attempt = || {
        let number = calls.replace(calls.get() + 1);
        let millis = attempts[number];
        async move {
            match millis {
                Some(millis) => sleep(Duration::from_millis(millis)).await,
                None => std::future::pending().await,
            }
            millis.is_some_and(|m| m % 2 == 0).then_some(number)
        }
    };
    let answer = with_backup(Duration::from_millis(700), attempt).await;
    (answer, began.elapsed().as_millis() as u64, calls.get())
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_on_a_silent_connection_is_answered_on_the_next_one() {
    assert_eq!(backed_up(&[None, Some(4)]).await, (Some(1), 704, 2));
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_that_is_slow_to_be_written_is_answered_by_its_first_call() {
    assert_eq!(backed_up(&[Some(900), Some(900)]).await, (Some(0), 900, 2));
    assert_eq!(backed_up(&[Some(600), Some(4)]).await, (Some(0), 600, 1));
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_ends_once_its_owner_is_known_to_be_gone() {
    assert_eq!(backed_up(&[None, Some(501)]).await, (None, 1_201, 2));
    assert_eq!(backed_up(&[Some(3), Some(4)]).await, (None, 3, 1));
}
