//! Repeats a call while earlier tries still wait, so that neither a lost answer nor a slow one holds
//! it up.
//!
//! A try that is given up may have been carried out all the same, and its answer would have told so:
//! slow answers are waited for, on their own connections, beside a new try. The call must be one
//! that does no harm when it is carried out twice.

use std::pin::pin;
use std::time::Duration;

use futures::StreamExt;
use futures::future::{Either, select};
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep, timeout};

use myrtle_adapter::StoreError;

use crate::patience::Patience;

/// Tries that wait at the same time: a store that is slow must not get many times its usual calls.
const AT_ONCE: usize = 3;

/// The pause after a try that was refused.
const PAUSE: Duration = Duration::from_millis(40);

/// How a call came out.
#[derive(Debug)]
pub enum Outcome<T> {
    /// It was carried out.
    Done(T),
    /// It surely was not carried out.
    Refused(StoreError),
    /// It may have been carried out, or may still be.
    Unknown,
}

/// What a try came to, for the caller to note.
#[derive(Debug)]
pub enum Seen<'a> {
    /// A good answer.
    Answer,
    /// A failure.
    Failure(&'a StoreError),
    /// No answer so far.
    Silence,
}

/// Tries a call until it is carried out, is refused beyond doubt, or `end` has come.
///
/// `call` is given the time that is left. A failure for which `last` holds ends the call at once.
pub async fn hedged<T, F>(
    patience: &mut Patience,
    end: Instant,
    call: impl Fn(Duration) -> F,
    last: impl Fn(&StoreError) -> bool,
    note: impl Fn(Seen<'_>),
) -> Outcome<T>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut tries = FuturesUnordered::new();
    let mut doubt = false;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Outcome::Unknown;
        }
        if tries.len() < AT_ONCE {
            let (began, answer) = (Instant::now(), call(left));
            tries.push(async move { (began, answer.await) });
        }
        let limit = patience.limit().min(left);
        let (began, answer) = match timeout(limit, tries.next()).await {
            Ok(Some(first)) => first,
            // The others go on waiting beside a new try.
            Ok(None) | Err(_) => {
                patience.missed();
                note(Seen::Silence);
                continue;
            }
        };
        match answer {
            Ok(done) => {
                patience.answered(began.elapsed());
                note(Seen::Answer);
                return Outcome::Done(done);
            }
            Err(e) if last(&e) => return Outcome::Refused(e),
            Err(e) => {
                note(Seen::Failure(&e));
                doubt |= e.unknown();
                if !doubt && tries.is_empty() {
                    return Outcome::Refused(e);
                }
                sleep(PAUSE.min(end.saturating_duration_since(Instant::now()))).await;
            }
        }
    }
}

/// Makes a call again beside the first one if that has no answer after a while; the first answer
/// counts.
pub async fn beside<T, F>(after: Duration, call: impl Fn() -> F) -> Option<T>
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
        Either::Left((None, rest)) => rest.await,
        // It has met somebody who is gone, and so has the first.
        Either::Right((None, _)) => None,
    }
}
