//! A small HTTP server for operator interfaces and stand-ins, which buffers whole requests and replies.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// The maximum size of a request body, in bytes.
const MAX_BODY: usize = 8 << 20;

/// The timeout for receiving the header section.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// The timeout for receiving the body; without it, the connection of a silent client stays open forever.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request with its whole body.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query; empty if there is none.
    pub query: String,
    /// The request headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl HttpRequest {
    /// The value of a query parameter.
    pub fn param(&self, key: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|p| p.0 == key).map(|p| p.1)
    }
}

/// A reply with its whole body.
pub type Reply = Response<Full<Bytes>>;

/// Serves connections until the future is dropped.
pub async fn serve<F, R>(listener: TcpListener, handle: F)
where
    F: Fn(HttpRequest) -> R + Clone + Send + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        tokio::spawn(serve_one(stream, handle.clone()));
    }
}

/// Serves one connection until it ends or the future is dropped.
pub async fn serve_one<F, R>(stream: TcpStream, handle: F)
where
    F: Fn(HttpRequest) -> R + Clone + Send + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| respond(request, handle.clone()));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // The client notices errors of the connection.
    let _ = served.await;
}

/// A plain-text reply.
pub fn text(status: u16, body: impl Into<String>) -> Reply {
    reply(status, "text/plain; charset=utf-8", body.into().into_bytes())
}

/// A JSON reply with status 200, or 500 if the value can't be encoded.
pub fn json(value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => reply(200, "application/json", body),
        Err(e) => text(500, e.to_string()),
    }
}

/// A reply with the given status and content type.
pub fn reply(status: u16, content: &str, body: Vec<u8>) -> Reply {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    if let Ok(value) = content.parse() {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}

async fn respond<F, R>(request: Request<Incoming>, handle: F) -> Result<Reply, Infallible>
where
    F: Fn(HttpRequest) -> R,
    R: Future<Output = Reply>,
{
    let (head, body) = request.into_parts();
    let body = match timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY).collect()).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => {
            return Ok(text(413, format!("the body is larger than {MAX_BODY} bytes or was cut")));
        }
        Err(_) => return Ok(text(408, "the body came too slowly")),
    };
    let path = head.uri.path().to_string();
    let query = head.uri.query().unwrap_or_default().to_string();
    let (method, headers, body) = (head.method, head.headers, body.to_bytes());
    Ok(handle(HttpRequest { method, path, query, headers, body }).await)
}
