//! Repeats a call while earlier attempts still wait, so that neither a lost nor a slow answer delays it.
//!
//! An attempt without an answer may still have been carried out, so it goes on waiting on its own connection beside a
//! new one. The call must be idempotent.

use std::pin::pin;
use std::time::Duration;

use futures::StreamExt;
use futures::future::{Either, select};
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep, timeout};

use myrtle_adapter::StoreError;

use crate::answer_time::AnswerTime;

/// The largest number of attempts at a time: a slow store must not get many times its usual calls.
const MAX_ATTEMPTS: usize = 3;

/// The pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// The outcome of a call.
#[derive(Debug)]
pub enum Outcome<T> {
    /// It was carried out.
    Done(T),
    /// It was certainly not carried out.
    Refused(StoreError),
    /// It may have been carried out, now or later.
    Unknown,
}

/// The result of one attempt, for the caller's records.
#[derive(Debug)]
pub enum Attempt<'a> {
    /// A good answer.
    Answer,
    /// A failure.
    Failure(&'a StoreError),
    /// No answer so far.
    NoAnswer,
}

/// Repeats a call until it is carried out, is certainly refused, or `end` is reached.
///
/// `call` gets the remaining time. A failure for which `is_final` holds ends the call at once.
pub async fn hedged<T, F>(
    answer_time: &mut AnswerTime,
    end: Instant,
    call: impl Fn(Duration) -> F,
    is_final: impl Fn(&StoreError) -> bool,
    note: impl Fn(Attempt<'_>),
) -> Outcome<T>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut attempts = FuturesUnordered::new();
    let mut maybe_done = false;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Outcome::Unknown;
        }
        if attempts.len() < MAX_ATTEMPTS {
            let (began, answer) = (Instant::now(), call(left));
            attempts.push(async move { (began, answer.await) });
        }
        let limit = answer_time.limit().min(left);
        let (began, answer) = match timeout(limit, attempts.next()).await {
            Ok(Some(first)) => first,
            // The others go on waiting beside a new attempt.
            Ok(None) | Err(_) => {
                answer_time.timed_out();
                note(Attempt::NoAnswer);
                continue;
            }
        };
        match answer {
            Ok(done) => {
                answer_time.answered(began.elapsed());
                note(Attempt::Answer);
                return Outcome::Done(done);
            }
            Err(e) if is_final(&e) => return Outcome::Refused(e),
            Err(e) => {
                note(Attempt::Failure(&e));
                maybe_done |= e.may_have_run();
                if !maybe_done && attempts.is_empty() {
                    return Outcome::Refused(e);
                }
                sleep(RETRY_PAUSE.min(end.saturating_duration_since(Instant::now()))).await;
            }
        }
    }
}

/// Makes a call, and a second one beside it if the first has no answer after some time; returns the first answer.
pub async fn with_backup<T, F>(after: Duration, call: impl Fn() -> F) -> Option<T>
where
    F: Future<Output = Option<T>>,
{
    let mut first = pin!(call());
    if let Ok(answer) = timeout(after, &mut first).await {
        return answer;
    }
    let second = pin!(call());
    match select(first, second).await {
        Either::Left((Some(answer), _)) | Either::Right((Some(answer), _)) => Some(answer),
        Either::Left((None, second)) => second.await,
        // The second call found the peer gone, so the first one can't be answered either.
        Either::Right((None, _)) => None,
    }
}
