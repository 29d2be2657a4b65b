//! The stand-in for an upstream, which counts requests and connections and can simulate faults.

use std::convert::Infallible;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use xxhash_rust::xxh3::xxh3_64;

use crate::Record;

/// The behaviour of an upstream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamMode {
    /// It answers normally.
    #[default]
    Ok,
    /// It takes three times as long to answer.
    Slow,
    /// It answers 250 ms later than normally.
    Heavy,
    /// It runs the request and answers 500 without delay.
    Fail,
    /// It answers at once that it did not run the request.
    Refuse,
    /// It delays its answer by 120 s.
    Stall,
    /// It truncates its answers.
    Cut,
    /// It sends bytes that are not HTTP.
    Garbage,
    /// It reads the request and closes the connection without an answer.
    Close,
    /// It answers with a header that says it is leaving.
    Leaving,
}

/// The additional time that a heavy upstream takes.
const HEAVY_DELAY: Duration = Duration::from_millis(250);

type Body = BoxBody<Bytes, std::io::Error>;

/// The stand-in for an upstream.
#[derive(Debug)]
pub struct Upstream {
    name: String,
    record: Arc<Record>,
    mode: Mutex<UpstreamMode>,
    busy: AtomicU32,
    open: AtomicU32,
    latencies: Mutex<Vec<u64>>,
}

/// Decrements a count of requests or connections when dropped, however they end.
struct CountGuard<'a>(&'a AtomicU32);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The hash of a request body that the answer contains, so that a caller can match it to its request.
pub fn body_mark(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

impl Upstream {
    /// Creates an upstream that answers normally.
    pub fn new(name: &str, record: Arc<Record>) -> Self {
        let (mode, busy, open) = (Mutex::default(), AtomicU32::new(0), AtomicU32::new(0));
        Self { name: name.into(), record, mode, busy, open, latencies: Mutex::default() }
    }

    /// Changes the behaviour.
    pub fn set(&self, mode: UpstreamMode) {
        *self.mode.lock().expect("no holder panics") = mode;
    }

    /// The 99th percentile of the latencies since the last call, in microseconds; 0 if there were no requests.
    pub fn take_p99(&self) -> u64 {
        let mut latencies = std::mem::take(&mut *self.latencies.lock().expect("no holder panics"));
        latencies.sort_unstable();
        latencies.get(latencies.len() * 99 / 100).copied().unwrap_or_default()
    }

    /// Serves requests until the future is dropped.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            tokio::spawn(self.clone().connection(stream));
        }
    }

    async fn connection(self: Arc<Self>, mut stream: TcpStream) {
        let open = self.open.fetch_add(1, Ordering::AcqRel) + 1;
        let _guard = CountGuard(&self.open);
        self.record.open(&self.name, open);
        if self.mode() == UpstreamMode::Garbage {
            let _ = stream.write_all(b"\0\0this is no answer\r\n\r\n").await;
            return;
        }
        let service = service_fn(|request| self.clone().answer(request));
        let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Closed> {
        let mode = self.mode();
        if mode == UpstreamMode::Refuse {
            let refusal = Response::builder().status(503).header("myrtle-not-run", "1");
            return Ok(refusal.body(full_body("not run")).expect("the parts are valid"));
        }
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let (id, work) = (header("x-request-id"), header("x-work-us"));
        let busy = self.busy.fetch_add(1, Ordering::AcqRel) + 1;
        let _guard = CountGuard(&self.busy);
        self.record.begin_request(&self.name, &id, busy);
        let began = std::time::Instant::now();
        let body = request.into_body().collect().await.map_err(|_| Closed)?.to_bytes();
        let work = Duration::from_micros(work.parse().unwrap_or(2_000));
        match mode {
            UpstreamMode::Fail => {
                let failed = Response::builder().status(500);
                return Ok(failed.body(full_body("failed")).expect("the parts are valid"));
            }
            UpstreamMode::Stall => tokio::time::sleep(Duration::from_secs(120)).await,
            UpstreamMode::Close => return Err(Closed),
            UpstreamMode::Slow => tokio::time::sleep(work * 3).await,
            UpstreamMode::Heavy => tokio::time::sleep(work + HEAVY_DELAY).await,
            _ => tokio::time::sleep(work).await,
        }
        self.latencies.lock().expect("no holder panics").push(began.elapsed().as_micros() as u64);
        let text = format!("{{\"id\":\"{id}\",\"mark\":\"{}\"}}", body_mark(&body));
        let mut answer = Response::builder().header("content-type", "application/json");
        if mode == UpstreamMode::Leaving {
            answer = answer.header("myrtle-leaving", "1");
        }
        if mode == UpstreamMode::Cut {
            let answer = answer.header("content-length", text.len() + 10);
            return Ok(answer.body(cut_body(text)).expect("the parts are valid"));
        }
        Ok(answer.body(full_body(&text)).expect("the parts are valid"))
    }

    fn mode(&self) -> UpstreamMode {
        *self.mode.lock().expect("no holder panics")
    }
}

/// The error with which the upstream closes a connection without an answer.
#[derive(Debug)]
struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without an answer")
    }
}

impl std::error::Error for Closed {}

fn full_body(text: &str) -> Body {
    Full::new(Bytes::from(text.to_string())).map_err(|e: Infallible| match e {}).boxed()
}

fn cut_body(text: String) -> Body {
    let end = Err(std::io::Error::other("cut"));
    let frames = stream::iter([Ok(Frame::data(Bytes::from(text))), end]);
    BodyExt::boxed(StreamBody::new(frames))
}
