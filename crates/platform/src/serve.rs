//! A small HTTP server for operators and stand-ins: whole requests in, whole answers out.

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

/// The largest request body that is taken in, in bytes.
const MAX_BODY: usize = 8 << 20;

/// How long a caller may take to send its head.
const HEAD: Duration = Duration::from_secs(5);

/// How long a caller may take to send its body; one that went silent would be kept for good.
const BODY: Duration = Duration::from_secs(10);

/// A whole request.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query, empty if there is none.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Ask {
    /// A value of the query.
    pub fn param(&self, key: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|p| p.0 == key).map(|p| p.1)
    }
}

/// A whole answer.
pub type Answer = Response<Full<Bytes>>;

/// Serves connections until the future is dropped.
pub async fn serve<F, R>(listener: TcpListener, handle: F)
where
    F: Fn(Ask) -> R + Clone + Send + 'static,
    R: Future<Output = Answer> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        tokio::spawn(serve_one(stream, handle.clone()));
    }
}

/// Serves one connection until it ends or the future is dropped.
pub async fn serve_one<F, R>(stream: TcpStream, handle: F)
where
    F: Fn(Ask) -> R + Clone + Send + 'static,
    R: Future<Output = Answer> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| one(request, handle.clone()));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD)
        .serve_connection(TokioIo::new(stream), service);
    // What went wrong on a connection is its peer's to notice.
    let _ = served.await;
}

/// An answer of plain text.
pub fn text(status: u16, body: impl Into<String>) -> Answer {
    answer(status, "text/plain; charset=utf-8", body.into().into_bytes())
}

/// An answer of JSON.
pub fn json(value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => answer(200, "application/json", body),
        Err(e) => text(500, e.to_string()),
    }
}

/// An answer of any kind.
pub fn answer(status: u16, content: &str, body: Vec<u8>) -> Answer {
    let mut answer = Response::new(Full::from(body));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    if let Ok(value) = content.parse() {
        answer.headers_mut().insert(CONTENT_TYPE, value);
    }
    answer
}

async fn one<F, R>(request: Request<Incoming>, handle: F) -> Result<Answer, Infallible>
where
    F: Fn(Ask) -> R,
    R: Future<Output = Answer>,
{
    let (head, body) = request.into_parts();
    let body = match timeout(BODY, Limited::new(body, MAX_BODY).collect()).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => {
            return Ok(text(413, format!("the body is larger than {MAX_BODY} bytes or was cut")));
        }
        Err(_) => return Ok(text(408, "the body came too slowly")),
    };
    let path = head.uri.path().to_string();
    let query = head.uri.query().unwrap_or_default().to_string();
    let (method, headers, body) = (head.method, head.headers, body.to_bytes());
    Ok(handle(Ask { method, path, query, headers, body }).await)
}
