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

/// How long a connection may take.
const CONNECT: Duration = Duration::from_millis(800);

/// The largest answer that is kept whole, in bytes; larger ones need a watch.
const MAX_ANSWER: usize = 16 << 20;

/// How long an attempt that nobody waits for may hold its slot.
const ABANDONED: Duration = Duration::from_secs(30);

/// An upstream's word that it did not run a request.
const NOT_RUN: &str = "myrtle-not-run";

/// An upstream's word that it is leaving.
const LEAVING: &str = "myrtle-leaving";

/// Headers that concern one connection only, and the caller's secret.
const DROPPED: &[HeaderName] = &[
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
    /// The upstream answered in full.
    Answer(Response<Bytes>),
    /// The upstream answers and goes on answering.
    Stream(Response<Incoming>, Slot),
    /// The upstream was given none of it, or said that it did not run it.
    NotRun,
    /// The upstream was given it and failed.
    Unknown,
}

/// What is sent.
#[derive(Debug)]
pub enum Payload {
    /// A body kept whole.
    Whole(Bytes),
    /// A body passed on as it comes.
    Stream(Incoming),
}

/// A slot in use; it is given back when this is dropped.
#[derive(Debug)]
pub struct Slot {
    tables: Arc<Tables>,
    service: String,
    ticket: Option<Ticket>,
}

impl Slot {
    /// Takes charge of a ticket.
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
        self.with_core(|core| core.done(ticket, now));
    }

    /// Gives the slot back after a failure.
    fn failed(mut self, fault: Fault) {
        let now = self.tables.now();
        let ticket = self.ticket.take();
        let Some(ticket) = ticket else { return };
        self.with_core(|core| core.failed(ticket, now, fault));
    }

    fn with_core(&self, change: impl FnOnce(&mut crate::core::Core)) {
        self.tables.with_core(&self.service, change);
    }

    /// Where the upstream serves, and how many connections may stay idle there.
    fn place(&self) -> Option<(SocketAddr, usize)> {
        let no = self.ticket?.upstream;
        self.tables.core(|cores| {
            let core = cores.get(&self.service)?;
            let at = core.places.get(no as usize)?.at;
            Some((at, core.upstreams.get(no).held as usize))
        })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.tables.now();
        let Some(ticket) = self.ticket.take() else { return };
        self.with_core(|core| {
            core.upstreams.give_back(ticket);
            core.dispatch(now);
        });
    }
}

/// Sends a request and takes in the answer; the slot is held until the upstream is through.
///
/// Runs to its end even if nobody waits for it, since the upstream does too; but no longer than
/// [`ABANDONED`] beyond `limit`, since a connection that went silent would hold the slot for good.
pub async fn run(
    slot: Slot,
    head: Arc<Parts>,
    payload: Payload,
    limit: Duration,
    watch: bool,
) -> Outcome {
    let Some((at, idle)) = slot.place() else { return Outcome::NotRun };
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
        let sent = timeout(limit + ABANDONED, connection.try_send_request(request)).await;
        tables.pool(|p| p.over(at, number, matches!(sent, Ok(Ok(_)))));
        let Ok(sent) = sent else {
            slot.failed(Fault::Broken);
            return Outcome::Unknown;
        };
        match sent {
            Ok(answer) => return take_answer(slot, connection, at, idle, answer, watch).await,
            Err(mut e) => {
                let Some(unsent) = e.take_message() else {
                    slot.failed(Fault::Broken);
                    return Outcome::Unknown;
                };
                // Nothing of it was written: an idle connection had closed, try a fresh one.
                if !reused {
                    slot.failed(Fault::Broken);
                    return Outcome::NotRun;
                }
                payload = match unsent.into_body() {
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

async fn take_answer(
    slot: Slot,
    connection: Connection,
    at: SocketAddr,
    idle: usize,
    answer: Response<Incoming>,
    watch: bool,
) -> Outcome {
    let tables = slot.tables.clone();
    if answer.headers().contains_key(LEAVING) {
        note_leaving(&slot);
    }
    if answer.status() == StatusCode::SERVICE_UNAVAILABLE && answer.headers().contains_key(NOT_RUN)
    {
        slot.failed(Fault::Bad);
        return Outcome::NotRun;
    }
    if watch {
        return Outcome::Stream(answer, slot);
    }
    // Without a length the end of an answer looks like a cut.
    let delimited = answer.body().size_hint().exact().is_some()
        || answer.headers().contains_key(TRANSFER_ENCODING);
    let (head, body) = answer.into_parts();
    let body = timeout(ABANDONED, Limited::new(body, MAX_ANSWER).collect()).await;
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
    let stream = timeout(CONNECT, TcpStream::connect(at)).await??;
    stream.set_nodelay(true)?;
    let shaken = http1::handshake::<_, Outgoing>(TokioIo::new(stream)).await;
    let (connection, driver) = shaken.map_err(std::io::Error::other)?;
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
    *request.headers_mut() = passed(&head.headers);
    request
}

/// The headers that go on to the other side.
pub fn passed(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in DROPPED {
        headers.remove(name);
    }
    headers
}

fn note_leaving(slot: &Slot) {
    let Some(no) = slot.upstream() else { return };
    slot.with_core(|core| core.upstreams.set_leaving(no, true));
    slot.tables.ring.add("gate", format!("upstream {no} says that it is leaving"));
}
