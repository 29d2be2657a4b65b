//! Builds answers to clients.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// After how many seconds a refused client should retry.
const RETRY_SECONDS: &str = "1";

/// An answer to a client.
pub type Answer = Response<Full<Bytes>>;

/// An answer with a body in JSON.
pub fn json(body: String) -> Answer {
    let mut answer = Response::new(Full::from(body));
    let content_type = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}

/// An answer with a reason as plain text.
pub fn plain(status: StatusCode, why: &str) -> Answer {
    let mut answer = Response::new(Full::from(format!("{why}\n")));
    *answer.status_mut() = status;
    answer
}

/// A refusal of a request that was not carried out, with a time to retry.
pub fn refuse(status: StatusCode, why: &str) -> Answer {
    let mut answer = plain(status, why);
    let retry_after = HeaderValue::from_static(RETRY_SECONDS);
    answer.headers_mut().insert(RETRY_AFTER, retry_after);
    answer
}
