//! One attempt of a request at one upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use myrtle_route::{Fault, Ticket};

use crate::pool::{Connection, Outgoing};
use crate::tables::Tables;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// The largest answer that is buffered, in bytes; larger ones need a watch.
const MAX_ANSWER: usize = 16 << 20;

/// How long an attempt that no caller waits for may hold its slot.
const MAX_ABANDONED: Duration = Duration::from_secs(30);

/// Header by which an upstream says that it did not run a request.
const NOT_RUN: &str = "myrtle-not-run";

/// Header by which an upstream announces that it is leaving.
const LEAVING: &str = "myrtle-leaving";

/// Headers that are not forwarded: they concern one connection only, or hold the caller's token.
const NOT_FORWARDED: &[HeaderName] = &[
    CONNECTION,
    TRANSFER_ENCODING,
    CONTENT_LENGTH,
    hyper::header::TE,
    hyper::header::TRAILER,
    hyper::header::UPGRADE,
    hyper::header::AUTHORIZATION,
    hyper::header::EXPECT,
];

/// How an attempt ended.
#[derive(Debug)]
pub enum Outcome {
    /// The upstream sent a complete answer.
    Answer(Response<Bytes>),
    /// The upstream sent the head of an answer, whose body is streamed.
    Stream(Response<Incoming>, Slot),
    /// The upstream received nothing of the request, or said that it did not run it.
    NotRun,
    /// The upstream received the request and failed.
    Unknown,
}

/// The body that is sent.
#[derive(Debug)]
pub enum Payload {
    /// A buffered body, which can be sent again.
    Whole(Bytes),
    /// A streamed body.
    Stream(Incoming),
}

/// A slot in use; given back when this is dropped.
#[derive(Debug)]
pub struct Slot {
    tables: Arc<Tables>,
    service: String,
    ticket: Option<Ticket>,
}

impl Slot {
    /// Wraps a ticket so that it is given back.
    pub fn new(tables: Arc<Tables>, service: &str, ticket: Ticket) -> Self {
        Self { tables, service: service.into(), ticket: Some(ticket) }
    }

    /// The upstream's number.
    pub fn upstream(&self) -> Option<u32> {
        self.ticket.map(|t| t.upstream)
    }

    /// Gives the slot back after an answer.
    fn done(mut self) {
        let now = self.tables.now();
        let ticket = self.ticket.take();
        let Some(ticket) = ticket else { return };
        self.with_queue(|queue| queue.done(ticket, now));
    }

    /// Gives the slot back after a failure.
    fn failed(mut self, fault: Fault) {
        let now = self.tables.now();
        let ticket = self.ticket.take();
        let Some(ticket) = ticket else { return };
        self.with_queue(|queue| queue.failed(ticket, now, fault));
    }

    fn with_queue(&self, change: impl FnOnce(&mut crate::queue::ServiceQueue)) {
        self.tables.with_queue(&self.service, change);
    }

    /// The upstream's address, and how many connections to it may stay idle.
    fn target(&self) -> Option<(SocketAddr, usize)> {
        let number = self.ticket?.upstream;
        self.tables.queues(|queues| {
            let queue = queues.get(&self.service)?;
            let at = queue.endpoints.get(number as usize)?.at;
            Some((at, queue.upstreams.get(number).held as usize))
        })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.tables.now();
        let Some(ticket) = self.ticket.take() else { return };
        self.with_queue(|queue| {
            queue.upstreams.give_back(ticket);
            queue.dispatch(now);
        });
    }
}

/// Sends a request and reads the answer; the slot is held until the upstream has finished.
///
/// Runs to its end even if no caller waits for it, since the upstream does so too, but no longer
/// than [`MAX_ABANDONED`] beyond `limit`: a connection that went silent would otherwise hold the
/// slot for good.
pub async fn run(
    slot: Slot,
    head: Arc<Parts>,
    payload: Payload,
    limit: Duration,
    watch: bool,
) -> Outcome {
    let Some((at, idle)) = slot.target() else { return Outcome::NotRun };
    let tables = slot.tables.clone();
    let mut pooled = tables.pool(|p| p.take(at));
    let mut payload = payload;
    loop {
        let reused = pooled.is_some();
        let connection = match pooled.take() {
            Some(connection) => Ok(connection),
            None => connect(at).await,
        };
        let Ok(mut connection) = connection else {
            slot.failed(Fault::Broken);
            return Outcome::NotRun;
        };
        let request = request(&head, payload);
        let number = tables.pool(|p| p.sent(at, reused));
        let sent = timeout(limit + MAX_ABANDONED, connection.try_send_request(request)).await;
        tables.pool(|p| p.ended(at, number, matches!(sent, Ok(Ok(_)))));
        let Ok(sent) = sent else {
            slot.failed(Fault::Broken);
            return Outcome::Unknown;
        };
        match sent {
            Ok(answer) => return read_answer(slot, connection, at, idle, answer, watch).await,
            Err(mut e) => {
                let Some(not_sent) = e.take_message() else {
                    slot.failed(Fault::Broken);
                    return Outcome::Unknown;
                };
                // Nothing was written, since the idle connection had been closed: try a new one.
                if !reused {
                    slot.failed(Fault::Broken);
                    return Outcome::NotRun;
                }
                payload = match not_sent.into_body() {
                    Either::Left(whole) => match whole.collect().await {
                        Ok(body) => Payload::Whole(body.to_bytes()),
                        Err(never) => match never {},
                    },
                    Either::Right(stream) => Payload::Stream(stream),
                };
            }
        }
    }
}

async fn read_answer(
    slot: Slot,
    connection: Connection,
    at: SocketAddr,
    idle: usize,
    answer: Response<Incoming>,
    watch: bool,
) -> Outcome {
    let tables = slot.tables.clone();
    if answer.headers().contains_key(LEAVING) {
        mark_leaving(&slot);
    }
    if answer.status() == StatusCode::SERVICE_UNAVAILABLE && answer.headers().contains_key(NOT_RUN)
    {
        slot.failed(Fault::Bad);
        return Outcome::NotRun;
    }
    if watch {
        return Outcome::Stream(answer, slot);
    }
    // Without a length or chunks, a truncated answer looks like a complete one.
    let delimited = answer.body().size_hint().exact().is_some()
        || answer.headers().contains_key(TRANSFER_ENCODING);
    let (head, body) = answer.into_parts();
    let body = timeout(MAX_ABANDONED, Limited::new(body, MAX_ANSWER).collect()).await;
    match body {
        Ok(Ok(whole)) if delimited => {
            if connection.is_ready() {
                tables.pool(|p| p.put(at, connection, idle));
            }
            if head.status.is_server_error() {
                slot.failed(Fault::Bad)
            } else {
                slot.done()
            }
            Outcome::Answer(Response::from_parts(head, whole.to_bytes()))
        }
        _ => {
            slot.failed(Fault::Broken);
            Outcome::Unknown
        }
    }
}

async fn connect(at: SocketAddr) -> std::io::Result<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await??;
    stream.set_nodelay(true)?;
    let handshake = http1::handshake::<_, Outgoing>(TokioIo::new(stream)).await;
    let (connection, driver) = handshake.map_err(std::io::Error::other)?;
    tokio::spawn(driver);
    Ok(connection)
}

fn request(head: &Parts, payload: Payload) -> Request<Outgoing> {
    let body = match payload {
        Payload::Whole(bytes) => Either::Left(Full::from(bytes)),
        Payload::Stream(stream) => Either::Right(stream),
    };
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() =
        head.uri.path_and_query().map_or("/".parse(), |p| p.as_str().parse()).unwrap_or_default();
    *request.headers_mut() = forwarded_headers(&head.headers);
    request
}

/// The headers that are forwarded to the other side.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in NOT_FORWARDED {
        headers.remove(name);
    }
    headers
}

fn mark_leaving(slot: &Slot) {
    let Some(number) = slot.upstream() else { return };
    slot.with_queue(|queue| queue.upstreams.set_leaving(number, true));
    slot.tables.ring.add("gate", format!("upstream {number} announced that it is leaving"));
}
