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
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use myrtle_adapter::Limits;

use crate::answer::Answer;
use crate::entry;
use crate::host::Host;
use activity::{Activity, Timeouts};
use watched::Watched;

/// The smallest buffer of a connection that hyper allows, in bytes.
const MIN_BUFFER: usize = 8 << 10;

/// How long an idle connection is still read before it is closed: after a stall of the process, requests that have
/// arrived become readable only some turns of the runtime later.
const LAST_READ: Duration = Duration::from_millis(100);

/// Serves the requests of a connection until either end closes it; from `closing` on, it is closed once it is idle.
pub async fn serve(host: Arc<Host>, stream: TcpStream, closing: CancellationToken) {
    let limits = host.configuration().map_or_else(Limits::default, |c| c.limits);
    let timeouts = Timeouts::new(&limits);
    let activity = Arc::new(Activity::new());
    let service = service_fn(|request: Request<Incoming>| {
        let host = host.clone();
        let serving = activity.begin();
        async move {
            let answer = entry::serve(host, request).await;
            serving.answered();
            Ok::<Answer, Infallible>(answer)
        }
    });
    // The time limits are those of `activity`: hyper's limit on heads would close idle connections as well.
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        // A client that has sent all it wants may close its sending side before the answer.
        .half_close(true)
        .max_buf_size(limits.header.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(Watched::new(stream, activity.clone())), service);
    tokio::pin!(connection);
    let result = loop {
        tokio::select! {
            biased;
            result = &mut connection => break Some(result),
            () = closing.cancelled() => {
                break close_idle(&mut connection, &activity, |c| c.graceful_shutdown()).await;
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
