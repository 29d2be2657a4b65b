//! Listens for clients, for readiness checks and for readers of metrics.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use log::{Level, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use myrtle_adapter::Limits;

use crate::answer::Answer;
use crate::clients::{Endpoint, OpenConnection, SOCKET_BUFFER};
use crate::connection::{base_bytes, serve_check, serve_client};
use crate::host::Host;

/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens at an address with small buffers, so that what clients send and nobody has read stays small.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind(at: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    let size = SOCKET_BUFFER as u32;
    let sized = socket.set_recv_buffer_size(size).and_then(|()| socket.set_send_buffer_size(size));
    if let Err(e) = sized {
        warn!("event=socket-option-failed at={at} reason=\"{e}\"");
    }
    socket.bind(at)?;
    socket.listen(backlog)
}

/// Accepts clients until the process ends; from `closing` on, idle connections are closed.
pub async fn clients(
    host: Arc<Host>,
    listener: TcpListener,
    closing: CancellationToken,
    tracker: TaskTracker,
) {
    loop {
        let header = host.configuration().map_or_else(Limits::default, |c| c.limits).header;
        if let Some((stream, open)) = accept(&host, &listener, Endpoint::Clients, header).await {
            tracker.spawn(serve_client(host.clone(), stream, open, closing.clone()));
        }
    }
}

/// Serves readiness checks or readers of metrics.
pub async fn checks(host: Arc<Host>, listener: TcpListener, endpoint: Endpoint) {
    loop {
        if let Some((stream, open)) = accept(&host, &listener, endpoint, 0).await {
            tokio::spawn(serve_check(host.clone(), stream, open));
        }
    }
}

/// Accepts a connection and admits it; without room for it, it is closed.
async fn accept(
    host: &Host,
    listener: &TcpListener,
    endpoint: Endpoint,
    header: usize,
) -> Option<(TcpStream, Arc<OpenConnection>)> {
    let stream = match listener.accept().await {
        Ok((stream, _)) => stream,
        Err(e) => {
            host.clients.log(Level::Warn, || format!("event=accept-failed reason=\"{e}\""));
            tokio::time::sleep(ACCEPT_PAUSE).await;
            return None;
        }
    };
    let _ = stream.set_nodelay(true);
    let open = host.clients.admit(endpoint, base_bytes(header), &host.meter).await?;
    Some((stream, open))
}

/// Answers a check or a reader of metrics.
pub fn check(host: &Host, path: &str) -> Answer {
    if path.ends_with("/metrics") {
        update_calls(host);
        host.clients.report(&host.meter);
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
