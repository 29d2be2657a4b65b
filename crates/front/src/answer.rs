//! Answers to clients.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// When a client that was refused should come back, in seconds.
const COME_BACK: &str = "1";

/// An answer to a client.
pub type Answer = Response<Full<Bytes>>;

/// An answer with a body in JSON.
pub fn json(body: String) -> Answer {
    let mut answer = Response::new(Full::from(body));
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

/// An answer that says why.
pub fn plain(status: StatusCode, why: &str) -> Answer {
    let mut answer = Response::new(Full::from(format!("{why}\n")));
    *answer.status_mut() = status;
    answer
}

/// A refusal of something that was not done, with when to come back.
pub fn refuse(status: StatusCode, why: &str) -> Answer {
    let mut answer = plain(status, why);
    let when = HeaderValue::from_static(COME_BACK);
    answer.headers_mut().insert(RETRY_AFTER, when);
    answer
}
