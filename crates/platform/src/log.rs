//! The log service: streams of records with offsets, kept for a limited time.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use hyper::Method;
use serde::{Deserialize, Serialize};

use myrtle_base::Millis;

use crate::{Caller, Failure};

/// How long an append may take before its answer counts as lost.
const APPEND: Duration = Duration::from_secs(2);

/// How much longer than the asked wait a read may take.
const SLACK: Duration = Duration::from_secs(2);

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place from 0.
    pub offset: u64,
    /// When the log took it in, by the log's clock.
    pub time: Millis,
    /// What was appended.
    pub data: Vec<u8>,
}

/// Consecutive records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The records, in order; none if the wait passed without one.
    pub entries: Vec<Entry>,
    /// The log's clock.
    pub time: Millis,
    /// Whether there were more than fit on the page.
    pub more: bool,
}

/// Why a read gave no page.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ReadError {
    /// The records are no longer kept; the first kept one has this offset.
    #[display("records before {_0} are no longer kept")]
    Gone(u64),
    /// The log cannot be read.
    #[display("{_0}")]
    Away(Failure),
}

/// A client of the log service.
#[derive(Debug, Clone)]
pub struct LogClient {
    caller: Caller,
    at: SocketAddr,
}

impl LogClient {
    /// A client of the service at `at`.
    pub fn new(caller: Caller, at: SocketAddr) -> Self {
        Self { caller, at }
    }

    /// Appends a record; after [`Failure::Lost`] it may or may not be there.
    pub async fn append(&self, stream: &str, data: Vec<u8>) -> Result<u64, Failure> {
        let path = format!("/streams/{stream}");
        let bytes = self.caller.call(Method::POST, self.at, &path, data, APPEND).await?;
        serde_json::from_slice(&bytes).map_err(|e| Failure::Garbage(e.to_string()))
    }

    /// Reads records from `from` on, waiting up to `wait` for the first.
    ///
    /// The page holds everything that was in the stream when the read arrived, up to the
    /// service's limit on pages; an empty page means that there was nothing.
    pub async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Page, ReadError> {
        let path = format!("/streams/{stream}?from={from}&wait_ms={}", wait.as_millis());
        let answer = self.caller.call(Method::GET, self.at, &path, Vec::new(), wait + SLACK).await;
        let bytes = match answer {
            Ok(bytes) => bytes,
            Err(Failure::Status(410, text)) => {
                return Err(ReadError::Gone(text.trim().parse().unwrap_or_default()));
            }
            Err(e) => return Err(ReadError::Away(e)),
        };
        let garbage = |e: postcard::Error| ReadError::Away(Failure::Garbage(e.to_string()));
        postcard::from_bytes(&bytes).map_err(garbage)
    }
}
