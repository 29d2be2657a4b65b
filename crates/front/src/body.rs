//! Reads the bodies of clients' requests.

use std::time::Duration;

use derive_more::Display;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout, timeout_at};

use myrtle_meter::Meter;

use crate::clients::{BodyPace, Charge, NoRoom};

/// How long a body that is not used is read.
const DISCARD_LIMIT: Duration = Duration::from_secs(1);

/// The first size of a buffer, in bytes.
const FIRST_SIZE: usize = 4 << 10;

/// Why a body could not be read.
#[derive(Debug, Display)]
pub enum BodyError {
    /// It is longer than the limit.
    #[display("the body is over the limit")]
    TooLarge,
    /// The connection broke.
    #[display("the body broke off")]
    Broken,
    /// It did not arrive in time, or made too little progress.
    #[display("the body came too slowly")]
    Late,
    /// There is no room for it.
    #[display("{_0}")]
    NoRoom(NoRoom),
}

/// The limits of a body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// The most bytes.
    pub size: usize,
    /// When it has to be complete.
    pub end: Instant,
    /// The least progress.
    pub pace: BodyPace,
}

/// Reads a body into one buffer, whose capacity is counted for its connection.
///
/// # Errors
///
/// Fails if the body is too large, arrives too slowly or breaks off, or if there is no room for it.
pub async fn read(
    body: &mut Incoming,
    limits: BodyLimits,
    charge: &mut Charge,
    meter: &Meter,
) -> Result<Vec<u8>, BodyError> {
    let BodyLimits { size, end, pace } = limits;
    let hint = body.size_hint();
    if hint.lower() > size as u64 {
        return Err(BodyError::TooLarge);
    }
    let most = hint.exact().map_or(size, |exact| exact as usize);
    let began = Instant::now();
    let mut buffer = Vec::new();
    loop {
        let due = end.min(began + pace.allows(buffer.len()));
        let frame = timeout_at(due, body.frame()).await.map_err(|_| BodyError::Late)?;
        let Some(frame) = frame else {
            return Ok(buffer);
        };
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > size {
            return Err(BodyError::TooLarge);
        }
        grow(&mut buffer, data.len(), most, charge, meter).await.map_err(BodyError::NoRoom)?;
        buffer.extend_from_slice(&data);
    }
}

/// Makes room for more bytes in a buffer that grows to `most` bytes.
async fn grow(
    buffer: &mut Vec<u8>,
    more: usize,
    most: usize,
    charge: &mut Charge,
    meter: &Meter,
) -> Result<(), NoRoom> {
    let (needed, before) = (buffer.len() + more, buffer.capacity());
    if needed <= before {
        return Ok(());
    }
    let capacity = needed.max(2 * before).max(FIRST_SIZE).min(most.max(needed));
    charge.add(capacity, meter).await?;
    buffer.reserve_exact(capacity - buffer.len());
    charge.remove(before);
    Ok(())
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
