//! The requests of clients that don't behave.

use std::fmt::Write;

use myrtle_job::{JobSpec, Repeat, StepSpec};

/// The largest body that the configuration of these tests allows, in bytes.
pub const MAX_BODY: usize = 256 << 10;

/// The path of a job.
pub const JOB: &str = "/p/00000000000000aa";

/// A path without a route.
pub const NOWHERE: &str = "/nowhere/00000000000000aa";

/// The path of the readiness check.
pub const CHECK: &str = "/api/readiness";

/// The head of a POST with further headers, one a line.
fn post(path: &str, headers: &str) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: q.example\r\ndeadline-ms: 300000\r\n{headers}\r\n\r\n"
    );
    head.into_bytes()
}

/// A request with this body.
pub fn with_body(path: &str, body: &[u8]) -> Vec<u8> {
    let head = post(path, &format!("content-length: {}", body.len()));
    [&head, body].concat()
}

/// A request whose body of this many bytes never comes.
pub fn without_body(path: &str, length: usize) -> Vec<u8> {
    post(path, &format!("content-length: {length}"))
}

/// A request whose body of legal size lacks its last byte.
pub fn short_of_end(path: &str, headers: &str) -> Vec<u8> {
    let mut request = post(path, &format!("content-length: {MAX_BODY}{headers}"));
    request.resize(request.len() + MAX_BODY - 1, b' ');
    request
}

/// A request of legal size in chunks of `size` bytes that lacks its last one.
pub fn chunks(path: &str, size: usize, total: usize) -> Vec<u8> {
    let mut request = post(path, "transfer-encoding: chunked");
    let chunk = format!("{size:x}\r\n{}\r\n", " ".repeat(size));
    for _ in 0..total / size - 1 {
        request.extend_from_slice(chunk.as_bytes());
    }
    request
}

/// A body of legal size that is no job, because of a long text where a number belongs.
pub fn long_text() -> Vec<u8> {
    let (begin, end) = (r#"{"steps":[{"count":""#, r#""}]}"#);
    format!("{begin}{}{end}", "a".repeat(MAX_BODY - begin.len() - end.len())).into_bytes()
}

/// A body of legal size with as many empty steps as fit.
pub fn empty_steps() -> Vec<u8> {
    let (begin, end) = (r#"{"steps":[{}"#, "]}");
    let count = (MAX_BODY - begin.len() - end.len()) / 3;
    format!("{begin}{}{end}", ",{}".repeat(count)).into_bytes()
}

/// A body of legal size with as many unknown fields as fit.
pub fn unknown_fields() -> Vec<u8> {
    let mut body = String::from("{\"a\":1");
    for field in 0.. {
        if body.len() + 16 > MAX_BODY {
            break;
        }
        write!(body, ",\"{field:x}\":1").unwrap();
    }
    (body + "}").into_bytes()
}

/// Many requests on one connection.
pub fn pipelined(path: &str, count: usize) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: q.example\r\n\r\n").repeat(count).into_bytes()
}

/// A head of this many bytes that does not end.
pub fn long_head(path: &str, size: usize) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: q.example\r\nx: {}", "a".repeat(size)).into_bytes()
}

/// A job of as many steps and tasks as the format allows; no worker has the label that they require.
pub fn many_tasks() -> Vec<u8> {
    let step = r#"{"count":10000,"requires":"none"}"#;
    let steps = vec![step; 1_000].join(",");
    format!(r#"{{"steps":[{steps}]}}"#).into_bytes()
}

/// A job of steps that are all due very many times; no worker has the label that they require.
pub fn many_times() -> Vec<u8> {
    let repeat = r#""repeat_count":4000000000,"interval_ms":1"#;
    format!(r#"{{"steps":[{{"count":10000,"requires":"none"}}],{repeat}}}"#).into_bytes()
}

/// A job of the largest legal size; no worker has the label that its tasks require.
pub fn long_job() -> Vec<u8> {
    let (begin, end) = (r#"{"steps":[{"count":1,"requires":"none"},{"count":1,"after":[0"#, "]}]}");
    let count = (MAX_BODY - begin.len() - end.len()) / 2;
    format!("{begin}{}{end}", ",0".repeat(count)).into_bytes()
}

/// A job of one step of many tasks that ask for no room and last.
pub fn no_room() -> Vec<u8> {
    br#"{"steps":[{"count":10000,"long_running":true}]}"#.to_vec()
}

/// A step of as many tasks as the format allows; no worker has the label that they require.
fn wide_step() -> StepSpec {
    StepSpec { count: 10_000, requires: Some("none".into()), ..StepSpec::default() }
}

/// The job of `many_tasks` as an earlier build logged it.
pub fn logged_tasks() -> JobSpec {
    JobSpec { steps: vec![wide_step(); 1_000], ..JobSpec::default() }
}

/// The job of `many_times` as an earlier build logged it.
pub fn logged_times() -> JobSpec {
    let repeat = Some(Repeat { first_at: 0, interval_ms: 1, count: 4_000_000_000 });
    JobSpec { steps: vec![wide_step()], repeat, ..JobSpec::default() }
}
