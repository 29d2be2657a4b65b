//! Listens for clients, for readiness checks and for readers of metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, warn};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer::Answer;
use crate::connection;
use crate::host::Host;

/// How long a connection for checks may be idle; a dead one would stay open forever.
const CHECK_IDLE: Duration = Duration::from_secs(10);

/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts clients until the process ends; from `closing` on, idle connections are closed.
pub async fn clients(
    host: Arc<Host>,
    listener: TcpListener,
    closing: CancellationToken,
    tracker: TaskTracker,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!("event=accept-failed reason=\"{e}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        tracker.spawn(connection::serve(host.clone(), stream, closing.clone()));
    }
}

/// Serves readiness checks and readers of metrics.
pub async fn checks(host: Arc<Host>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let host = host.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = check(&host, request.uri().path());
                async move { Ok::<Answer, Infallible>(answer) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(CHECK_IDLE)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(e) = connection.await {
                debug!("event=check-broken reason=\"{e}\"");
            }
        });
    }
}

fn check(host: &Host, path: &str) -> Answer {
    if path.ends_with("/metrics") {
        update_calls(host);
        return Response::new(Full::from(host.meter.text()));
    }
    let mut answer = Response::new(Full::<Bytes>::default());
    if !host.ready() {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    answer
}

/// Updates the metrics of calls to the store.
fn update_calls(host: &Host) {
    for (kind, sum) in host.store.call_counts().totals() {
        host.meter.level("myrtle_store_calls", &kind, sum.calls as i64);
        host.meter.level("myrtle_store_bytes", &kind, sum.bytes as i64);
    }
}
