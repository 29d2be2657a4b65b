//! An upstream with slots and connections that counts what it is given.

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

/// What an upstream does to requests.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamMode {
    /// It answers.
    #[default]
    Ok,
    /// It answers after three times the time.
    Slow,
    /// It answers after a quarter of a second more.
    Heavy,
    /// It answers 500 at once, after running.
    Fail,
    /// It says at once that it did not run the request.
    Refuse,
    /// It never answers.
    Stall,
    /// It cuts its answers short.
    Cut,
    /// It answers what is no HTTP.
    Garbage,
    /// It runs the request and closes without an answer.
    Close,
    /// It answers and says that it is leaving.
    Leaving,
}

/// What a heavy upstream takes more.
const HEAVY: Duration = Duration::from_millis(250);

type Body = BoxBody<Bytes, std::io::Error>;

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    name: String,
    record: Arc<Record>,
    mode: Mutex<UpstreamMode>,
    busy: AtomicU32,
    open: AtomicU32,
    recent: Mutex<Vec<u64>>,
}

/// Counts down when a request or a connection ends, however it ends.
struct Held<'a>(&'a AtomicU32);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The mark of a body in an answer, by which a caller knows its own.
pub fn body_mark(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

impl Upstream {
    /// An upstream that answers.
    pub fn new(name: &str, record: Arc<Record>) -> Self {
        let (mode, busy, open) = (Mutex::default(), AtomicU32::new(0), AtomicU32::new(0));
        Self { name: name.into(), record, mode, busy, open, recent: Mutex::default() }
    }

    /// Changes what it does.
    pub fn set(&self, mode: UpstreamMode) {
        *self.mode.lock().expect("no holder panics") = mode;
    }

    /// The 99th percentile of the times since the last look in microseconds, 0 for none.
    pub fn take_p99(&self) -> u64 {
        let mut recent = std::mem::take(&mut *self.recent.lock().expect("no holder panics"));
        recent.sort_unstable();
        recent.get(recent.len() * 99 / 100).copied().unwrap_or_default()
    }

    /// Serves until the future is dropped.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            tokio::spawn(self.clone().connection(stream));
        }
    }

    async fn connection(self: Arc<Self>, mut stream: TcpStream) {
        let open = self.open.fetch_add(1, Ordering::AcqRel) + 1;
        let _held = Held(&self.open);
        self.record.open(&self.name, open);
        if self.mode() == UpstreamMode::Garbage {
            let _ = stream.write_all(b"\0\0this is no answer\r\n\r\n").await;
            return;
        }
        let service = service_fn(|request| self.clone().answer(request));
        let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Gone> {
        let mode = self.mode();
        if mode == UpstreamMode::Refuse {
            let refusal = Response::builder().status(503).header("myrtle-not-run", "1");
            return Ok(refusal.body(whole("not run")).expect("the parts are valid"));
        }
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let (id, work) = (header("x-request-id"), header("x-work-us"));
        let busy = self.busy.fetch_add(1, Ordering::AcqRel) + 1;
        let _held = Held(&self.busy);
        self.record.begin_request(&self.name, &id, busy);
        let began = std::time::Instant::now();
        let body = request.into_body().collect().await.map_err(|_| Gone)?.to_bytes();
        let work = Duration::from_micros(work.parse().unwrap_or(2_000));
        match mode {
            UpstreamMode::Fail => {
                let failed = Response::builder().status(500);
                return Ok(failed.body(whole("failed")).expect("the parts are valid"));
            }
            UpstreamMode::Stall => tokio::time::sleep(Duration::from_secs(120)).await,
            UpstreamMode::Close => return Err(Gone),
            UpstreamMode::Slow => tokio::time::sleep(work * 3).await,
            UpstreamMode::Heavy => tokio::time::sleep(work + HEAVY).await,
            _ => tokio::time::sleep(work).await,
        }
        self.recent.lock().expect("no holder panics").push(began.elapsed().as_micros() as u64);
        let text = format!("{{\"id\":\"{id}\",\"mark\":\"{}\"}}", body_mark(&body));
        let mut answer = Response::builder().header("content-type", "application/json");
        if mode == UpstreamMode::Leaving {
            answer = answer.header("myrtle-leaving", "1");
        }
        if mode == UpstreamMode::Cut {
            let answer = answer.header("content-length", text.len() + 10);
            return Ok(answer.body(cut(text)).expect("the parts are valid"));
        }
        Ok(answer.body(whole(&text)).expect("the parts are valid"))
    }

    fn mode(&self) -> UpstreamMode {
        *self.mode.lock().expect("no holder panics")
    }
}

/// The upstream closes without an answer.
#[derive(Debug)]
struct Gone;

impl std::fmt::Display for Gone {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("closed without an answer")
    }
}

impl std::error::Error for Gone {}

fn whole(text: &str) -> Body {
    Full::new(Bytes::from(text.to_string())).map_err(|e: Infallible| match e {}).boxed()
}

fn cut(text: String) -> Body {
    let end = Err(std::io::Error::other("cut"));
    let frames = stream::iter([Ok(Frame::data(Bytes::from(text))), end]);
    BodyExt::boxed(StreamBody::new(frames))
}
