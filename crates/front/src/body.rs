//! Reads the bodies of clients' requests.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout, timeout_at};

/// How long a body that is not used is read.
const DISCARD_LIMIT: Duration = Duration::from_secs(1);

/// Why a body could not be read.
#[derive(Debug, Display)]
pub enum BodyError {
    /// It is longer than the limit.
    #[display("the body is over the limit")]
    TooLarge,
    /// The connection broke.
    #[display("the body broke off")]
    Broken,
    /// It did not arrive in time.
    #[display("the body came too slowly")]
    Late,
}

/// Reads a body of at most `limit` bytes until `end`.
///
/// # Errors
///
/// Fails if the body is too large or does not arrive in time.
pub async fn read(body: &mut Incoming, limit: usize, end: Instant) -> Result<Bytes, BodyError> {
    match timeout_at(end, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) => Err(BodyError::Broken),
        Err(_) => Err(BodyError::Late),
    }
}

/// Reads the rest of a body that is not used: if the connection were closed before, the client might lose the answer.
pub async fn discard(body: &mut Incoming) {
    if body.is_end_stream() {
        return;
    }
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    // Without the rest, the answer is still sent.
    let _ = timeout(DISCARD_LIMIT, rest).await;
}
