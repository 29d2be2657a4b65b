//! The answers with which the gate itself refuses requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};

use myrtle_base::Kind;

/// Header that says whether a request was run, in every answer of the gate itself.
pub const RAN: &str = "myrtle-ran";

/// Header that names the kind of a refusal.
pub const KIND: &str = "myrtle-kind";

/// A refusal of `kind`; `detail` is the exact cause, or empty.
pub fn refusal(kind: Kind, after: Option<Duration>, detail: &str) -> Response<Full<Bytes>> {
    let detail = if detail.is_empty() { kind.hint() } else { detail };
    let after_ms = after.map_or(0, |a| a.as_millis() as u64);
    let body = serde_json::json!({
        "kind": kind.word(),
        "ran": kind.ran(),
        "detail": detail,
        "hint": kind.hint(),
        "after_ms": after_ms,
    });
    let mut answer = Response::new(Full::from(body.to_string()));
    *answer.status_mut() = kind.status().try_into().expect("the table holds valid statuses");
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(KIND, HeaderValue::from_static(kind.word()));
    let ran = match kind.ran() {
        myrtle_base::Ran::No => "no",
        myrtle_base::Ran::Yes => "yes",
        myrtle_base::Ran::Unknown => "unknown",
    };
    headers.insert(RAN, HeaderValue::from_static(ran));
    if let Some(after) = after {
        // The header has whole seconds, the body milliseconds.
        let seconds = after.as_secs_f64().ceil() as u64;
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds.max(1)));
    }
    answer
}
