//! The client of the log service, which stores streams of records for a limited time.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use hyper::Method;
use serde::{Deserialize, Serialize};

use myrtle_base::Millis;

use crate::{Caller, Failure};

/// The timeout of an append, after which its outcome is unknown.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// The time that a read may take in addition to its wait.
const READ_MARGIN: Duration = Duration::from_secs(2);

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The offset in the stream, from 0.
    pub offset: u64,
    /// The time of the append, on the log's clock.
    pub time: Millis,
    /// The content of the record.
    pub data: Vec<u8>,
}

/// A page of consecutive records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The records, in order; empty if none arrived within the wait.
    pub entries: Vec<Entry>,
    /// The time of the read, on the log's clock.
    pub time: Millis,
    /// Whether more records follow than fit on the page.
    pub more: bool,
}

/// The error of a read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ReadError {
    /// The records have been deleted; the first remaining one has this offset.
    #[display("records before offset {_0} have been deleted")]
    Gone(u64),
    /// The call to the log failed.
    #[display("{_0}")]
    Unavailable(Failure),
}

/// A client of the log service.
#[derive(Debug, Clone)]
pub struct LogClient {
    caller: Caller,
    at: SocketAddr,
}

impl LogClient {
    /// Creates a client of the service at `at`.
    pub fn new(caller: Caller, at: SocketAddr) -> Self {
        Self { caller, at }
    }

    /// Appends a record and returns its offset; after [`Failure::Lost`] it may or may not be appended.
    pub async fn append(&self, stream: &str, data: Vec<u8>) -> Result<u64, Failure> {
        let path = format!("/streams/{stream}");
        let bytes = self.caller.call(Method::POST, self.at, &path, data, APPEND_TIMEOUT).await?;
        serde_json::from_slice(&bytes).map_err(|e| Failure::Malformed(e.to_string()))
    }

    /// Reads records from offset `from` on, waiting up to `wait` for the first one.
    ///
    /// The page contains all records in the stream when the read arrived, up to the service's
    /// page limit; an empty page means that there were none.
    pub async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Page, ReadError> {
        let path = format!("/streams/{stream}?from={from}&wait_ms={}", wait.as_millis());
        let reply =
            self.caller.call(Method::GET, self.at, &path, Vec::new(), wait + READ_MARGIN).await;
        let bytes = match reply {
            Ok(bytes) => bytes,
            Err(Failure::Status(410, text)) => {
                return Err(ReadError::Gone(text.trim().parse().unwrap_or_default()));
            }
            Err(e) => return Err(ReadError::Unavailable(e)),
        };
        let malformed =
            |e: postcard::Error| ReadError::Unavailable(Failure::Malformed(e.to_string()));
        postcard::from_bytes(&bytes).map_err(malformed)
    }
}
