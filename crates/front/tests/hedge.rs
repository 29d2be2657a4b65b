//! Calls that are repeated while earlier tries wait, in virtual time.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use myrtle_adapter::StoreError;
use myrtle_front::{AnswerTime, Outcome, hedged, with_backup};

/// What one try comes to, and after how many milliseconds.
#[derive(Clone, Copy)]
enum Try {
    Good(u64),
    Lost,
    Busy(u64),
}

/// Makes a call whose tries come to what is told; gives the outcome, the milliseconds that it took
/// and how many tries there were.
async fn call(tries: &[Try], limit: u64) -> (Outcome<usize>, u64, usize) {
    let made = Cell::new(0);
    let began = Instant::now();
    let one = |_left| {
        let number = made.replace(made.get() + 1);
        let what = tries.get(number).or(tries.last()).copied().unwrap_or(Try::Lost);
        async move {
            match what {
                Try::Good(millis) => {
                    sleep(Duration::from_millis(millis)).await;
                    Ok(number)
                }
                Try::Lost => std::future::pending().await,
                Try::Busy(millis) => {
                    sleep(Duration::from_millis(millis)).await;
                    Err(StoreError::Busy { status: 503 })
                }
            }
        }
    };
    let end = began + Duration::from_millis(limit);
    let outcome = hedged(&mut AnswerTime::new(), end, one, |_| false, |_| {}).await;
    (outcome, began.elapsed().as_millis() as u64, made.get())
}

#[tokio::test(start_paused = true)]
async fn a_slow_answer_is_taken_though_a_new_try_was_made() {
    let (outcome, took, tries) = call(&[Try::Good(400), Try::Good(400)], 3_000).await;
    assert!(matches!(outcome, Outcome::Done(0)), "{outcome:?}");
    assert_eq!(took, 400);
    assert_eq!(tries, 2);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_costs_one_wait() {
    let (outcome, took, tries) = call(&[Try::Lost, Try::Good(4)], 3_000).await;
    assert!(matches!(outcome, Outcome::Done(1)), "{outcome:?}");
    assert_eq!(took, 154);
    assert_eq!(tries, 2);
}

#[tokio::test(start_paused = true)]
async fn a_refusal_is_told_at_once() {
    let (outcome, took, tries) = call(&[Try::Busy(4)], 3_000).await;
    assert!(matches!(outcome, Outcome::Refused(StoreError::Busy { .. })), "{outcome:?}");
    assert_eq!(took, 4);
    assert_eq!(tries, 1);
}

#[tokio::test(start_paused = true)]
async fn a_refusal_beside_a_try_in_doubt_is_no_refusal() {
    let (outcome, took, _) = call(&[Try::Lost, Try::Busy(4)], 1_000).await;
    assert!(matches!(outcome, Outcome::Unknown), "{outcome:?}");
    assert_eq!(took, 1_000);
}

#[tokio::test(start_paused = true)]
async fn a_silent_store_gets_few_tries_at_a_time() {
    let (outcome, took, tries) = call(&[Try::Lost], 3_000).await;
    assert!(matches!(outcome, Outcome::Unknown), "{outcome:?}");
    assert_eq!(took, 3_000);
    assert_eq!(tries, 3);
}

/// Makes a call beside which another one is made after 700 ms; each try ends after its time, or
/// never, and one whose time is odd finds nobody.
async fn side_by_side(tries: &[Option<u64>]) -> (Option<usize>, u64, usize) {
    let made = Cell::new(0);
    let began = Instant::now();
    let one = || {
        let number = made.replace(made.get() + 1);
        let millis = tries[number];
        async move {
            match millis {
                Some(millis) => sleep(Duration::from_millis(millis)).await,
                None => std::future::pending().await,
            }
            millis.is_some_and(|m| m % 2 == 0).then_some(number)
        }
    };
    let answer = with_backup(Duration::from_millis(700), one).await;
    (answer, began.elapsed().as_millis() as u64, made.get())
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_on_a_silent_connection_is_answered_on_the_next_one() {
    assert_eq!(side_by_side(&[None, Some(4)]).await, (Some(1), 704, 2));
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_that_is_slow_to_be_written_is_answered_by_its_first_call() {
    assert_eq!(side_by_side(&[Some(900), Some(900)]).await, (Some(0), 900, 2));
    assert_eq!(side_by_side(&[Some(600), Some(4)]).await, (Some(0), 600, 1));
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_ends_once_its_owner_is_known_to_be_gone() {
    assert_eq!(side_by_side(&[None, Some(501)]).await, (None, 1_201, 2));
    assert_eq!(side_by_side(&[Some(3), Some(4)]).await, (None, 3, 1));
}
