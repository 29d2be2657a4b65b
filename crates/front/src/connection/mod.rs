//! Serves one client connection and decides when it is closed.
//!
//! Clients use a connection until its other end closes it, so a request may arrive at the moment of closing. While the
//! host stops, each answer therefore tells the client to make another connection, and an idle connection is closed only
//! once everything that has arrived on it was read.

mod activity;
mod watched;

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use myrtle_adapter::Limits;

use crate::answer::Answer;
use crate::clients::{OpenConnection, Reason, UNREAD_BYTES};
use crate::host::Host;
use crate::{entry, listen};
use activity::Timeouts;
use watched::Watched;

pub use activity::Activity;

/// The smallest buffer of a connection that hyper allows, in bytes.
const MIN_BUFFER: usize = 8 << 10;

/// How long an idle connection is still read before it is closed: after a stall of the process, requests that have
/// arrived become readable only some turns of the runtime later.
const LAST_READ: Duration = Duration::from_millis(100);

/// What the tasks of a connection need besides its buffers, in bytes.
const OVERHEAD: usize = 4 << 10;

/// How long a connection for checks may be idle; a dead one would stay open forever.
const CHECK_IDLE: Duration = Duration::from_secs(10);

/// The bytes that are held for a connection whose heads have at most `header` bytes.
pub fn base_bytes(header: usize) -> usize {
    header.max(MIN_BUFFER) + UNREAD_BYTES + OVERHEAD
}

/// Serves a client's requests until either end closes the connection; from `closing` on, it is closed once it is idle.
pub async fn serve_client(
    host: Arc<Host>,
    stream: TcpStream,
    open: Arc<OpenConnection>,
    closing: CancellationToken,
) {
    let limits = host.configuration().map_or_else(Limits::default, |c| c.limits);
    let service = service_fn(|request: Request<Incoming>| {
        let (host, open) = (host.clone(), open.clone());
        let serving = open.activity.begin();
        async move {
            let answer = entry::serve(host, &open, request).await;
            serving.answered();
            Ok::<Answer, Infallible>(answer)
        }
    });
    let timeouts = Timeouts::new(&limits);
    serve(&host, stream, &open, timeouts, limits.header, &closing, service).await;
}

/// Serves checks or readers of metrics until either end closes the connection.
pub async fn serve_check(host: Arc<Host>, stream: TcpStream, open: Arc<OpenConnection>) {
    let service = service_fn(|request: Request<Incoming>| {
        let serving = open.activity.begin();
        let answer = listen::check(&host, request.uri().path());
        serving.answered();
        async move { Ok::<Answer, Infallible>(answer) }
    });
    let (timeouts, never) = (Timeouts::short(CHECK_IDLE), CancellationToken::new());
    serve(&host, stream, &open, timeouts, MIN_BUFFER, &never, service).await;
}

/// Serves a connection until either end closes it, a time limit is over, or it is evicted.
async fn serve<S>(
    host: &Host,
    stream: TcpStream,
    open: &OpenConnection,
    timeouts: Timeouts,
    header: usize,
    closing: &CancellationToken,
    service: S,
) where
    S: Service<Request<Incoming>, Response = Answer, Error = Infallible>,
{
    let activity = &open.activity;
    // The time limits are those of `activity`: hyper's limit on heads would close idle connections as well.
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        // A client that has sent all it wants may close its sending side before the answer.
        .half_close(true)
        .max_buf_size(header.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(Watched::new(stream, activity.clone())), service);
    tokio::pin!(connection);
    let result = loop {
        tokio::select! {
            biased;
            result = &mut connection => break Some(result),
            () = open.wait_evicted() => break None,
            () = closing.cancelled() => {
                let idle = close_idle(&mut connection, activity, |c| c.graceful_shutdown());
                tokio::select! {
                    result = idle => break result,
                    () = open.wait_evicted() => break None,
                }
            }
            () = activity.head_begun.notified() => {}
            () = sleep_until(activity.due(&timeouts)) => {}
        }
        if !activity.expired(&timeouts, Instant::now()) {
            continue;
        }
        if let Ok(result) = timeout(LAST_READ, &mut connection).await {
            break Some(result);
        }
        if activity.expired(&timeouts, Instant::now()) {
            host.meter.count("myrtle_client_evictions", &Reason::Expired.to_string());
            debug!("event=connection-expired idle={}", activity.is_idle());
            break None;
        }
    };
    if let Some(Err(e)) = result {
        debug!("event=connection-broken reason=\"{e}\"");
    }
}

/// Closes a connection once it is idle and everything that has arrived on it was read; otherwise after the answer to
/// the request in progress, which tells the client so.
async fn close_idle<C: Future>(
    connection: &mut Pin<&mut C>,
    activity: &Activity,
    shut_down: impl FnOnce(Pin<&mut C>),
) -> Option<C::Output> {
    if let Ok(result) = timeout(LAST_READ, connection.as_mut()).await {
        return Some(result);
    }
    if activity.is_idle() {
        shut_down(connection.as_mut());
    }
    Some(connection.as_mut().await)
}
