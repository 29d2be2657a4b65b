//! Serves a request: admission, the attempts at upstreams, and the answer.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use tokio::time::timeout;

use myrtle_base::Kind;
use myrtle_route::{Arrival, Ticket};

use crate::attempt::{self, Outcome, Payload, Slot, forwarded_headers};
use crate::call::{Call, Invalid};
use crate::exchange::exchange;
use crate::rate::take_rate;
use crate::refusal::{RAN, refusal};
use crate::tables::Tables;

/// How long a caller may take to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// An answer to a caller, either complete or streamed.
pub type Reply = Response<Either<Full<Bytes>, StreamedBody>>;

/// An upstream's answer that is streamed to the caller, with the slot that it uses.
#[derive(Debug)]
pub struct StreamedBody {
    body: Incoming,
    _slot: Slot,
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Why a request is refused.
#[derive(Debug)]
pub struct Refusal {
    /// The kind of refusal.
    pub kind: Kind,
    /// How long the caller should wait before it repeats the request.
    pub after: Option<Duration>,
    /// The exact cause; empty if the kind says all.
    pub detail: String,
}

impl From<Invalid> for Refusal {
    fn from((kind, detail): Invalid) -> Self {
        Self { kind, after: None, detail }
    }
}

impl Refusal {
    /// A refusal with the time after which to repeat the request.
    pub fn after(kind: Kind, after: Duration) -> Self {
        Self { kind, after: Some(after), detail: String::new() }
    }
}

impl From<Kind> for Refusal {
    fn from(kind: Kind) -> Self {
        Self { kind, after: None, detail: String::new() }
    }
}

/// Serves one request to its end, even if its caller disconnects.
pub async fn serve(tables: Arc<Tables>, request: Request<Incoming>) -> Result<Reply, Infallible> {
    let served = tokio::spawn(serve_to_end(tables, request)).await;
    Ok(served.unwrap_or_else(|_| refusal(Kind::Unknown, None, "").map(Either::Left)))
}

async fn serve_to_end(tables: Arc<Tables>, request: Request<Incoming>) -> Reply {
    let started_at = tables.now();
    let (head, body) = request.into_parts();
    let view = tables.view.load_full();
    let (class, result) = match Call::read(&head, &view) {
        Ok(call) => (call.class.clone(), serve_valid(&tables, &call, head, body, started_at).await),
        Err(fault) => (String::new(), Err(fault.into())),
    };
    let took = tables.now().saturating_sub(started_at);
    match result {
        Ok(reply) => {
            tables.meter.took("myrtle_answer_us", &class, took);
            tables.meter.count("myrtle_answered", &class);
            reply
        }
        Err(r) => {
            tables.meter.count("myrtle_refused", r.kind.word());
            refusal(r.kind, r.after, &r.detail).map(Either::Left)
        }
    }
}

/// Serves a request whose headers are valid.
async fn serve_valid(
    tables: &Arc<Tables>,
    call: &Call,
    head: Parts,
    body: Incoming,
    started_at: Duration,
) -> Result<Reply, Refusal> {
    let deadline = started_at + call.limit;
    if let Some(key) = call.key.filter(|_| !call.safe && !call.watch) {
        let body = read_body(call, body).await?;
        // The coordinator is asked first and gets the outcome of every later step, refusals
        // included, so that "not run" holds for the key and not only for this attempt.
        return crate::keyed::serve(tables, call, head, body, deadline, key).await;
    }
    take_rate(tables, call, deadline).await?;
    if call.watch {
        return watch(tables, call, head, body, deadline).await;
    }
    let body = read_body(call, body).await?;
    let answer = exchange(tables, call, &Arc::new(head), &body, deadline).await?;
    Ok(complete(answer))
}

/// Streams a long-lived request and its answer in both directions.
async fn watch(
    tables: &Arc<Tables>,
    call: &Call,
    head: Parts,
    body: Incoming,
    deadline: Duration,
) -> Result<Reply, Refusal> {
    let slot = slot(tables, call, deadline, None).await?;
    let run = attempt::run(slot, Arc::new(head), Payload::Stream(body), call.limit, true);
    match run.await {
        Outcome::Stream(answer, slot) => {
            let (mut head, body) = answer.into_parts();
            head.headers = forwarded_headers(&head.headers);
            record_usage(tables, call, Duration::ZERO);
            Ok(Response::from_parts(head, Either::Right(StreamedBody { body, _slot: slot })))
        }
        Outcome::Answer(answer) => Ok(complete(answer)),
        Outcome::NotRun => Err(Refusal::after(Kind::NoUpstream, Duration::from_millis(500))),
        Outcome::Unknown => Err(Kind::Unknown.into()),
    }
}

/// Waits for a slot or a refusal.
pub async fn slot(
    tables: &Arc<Tables>,
    call: &Call,
    deadline: Duration,
    avoid: Option<u32>,
) -> Result<Slot, Refusal> {
    let now = tables.now();
    let arrival = Arrival { id: 0, customer: call.customer_number, price: call.price, deadline };
    let entered = tables.queues(|queues| {
        let queue = queues.get_mut(&call.service).ok_or(Kind::NoUpstream)?;
        Ok(queue.enter(arrival, now, avoid))
    });
    let ticket: Ticket =
        match entered.map_err(|k: Kind| Refusal::after(k, Duration::from_secs(1)))? {
            Ok(ticket) => ticket,
            Err(result) => {
                tables.more_needed.notify_one();
                match result.await {
                    Ok(Ok(ticket)) => ticket,
                    Ok(Err((kind, after))) => return Err(Refusal::after(kind, after)),
                    Err(_) => return Err(Refusal::after(Kind::NotReady, Duration::from_secs(1))),
                }
            }
        };
    Ok(Slot::new(tables.clone(), &call.service, ticket))
}

async fn read_body(call: &Call, body: Incoming) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, call.max_body as usize).collect();
    match timeout(BODY_TIMEOUT.min(call.limit), limited).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            let detail = format!("the body is larger than {} bytes", call.max_body);
            Err((Kind::TooLarge, detail).into())
        }
        Ok(Err(_)) => Err((Kind::BadRequest, "the body was cut".to_string()).into()),
        Err(_) => Err(Kind::SlowCaller.into()),
    }
}

/// Adds a served request to its customer's usage.
pub fn record_usage(tables: &Tables, call: &Call, busy: Duration) {
    tables.served(|served| {
        let used = served.entry((call.customer.clone(), call.class.clone())).or_default();
        used.requests += 1;
        // Usage is charged in whole milliseconds, at least one.
        used.busy.0 += (busy.as_millis() as u64).max(1);
    });
}

/// Turns an upstream's complete answer into the answer to the caller.
pub fn complete(answer: Response<Bytes>) -> Reply {
    let (mut head, body) = answer.into_parts();
    head.headers = forwarded_headers(&head.headers);
    head.headers.insert(RAN, HeaderValue::from_static("yes"));
    Response::from_parts(head, Either::Left(Full::from(body)))
}
