//! One HTTP call with a bound on its time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The largest answer that is taken in, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Why a call gave no good answer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Failure {
    /// Nothing was sent.
    #[display("cannot connect to {_0}")]
    Connect(SocketAddr),
    /// It was sent; whether it took effect is unknown.
    #[display("no answer from {_0}")]
    Lost(SocketAddr),
    /// It was answered with another status than 2xx.
    #[display("answered {_0}: {_1}")]
    Status(u16, String),
    /// The answer cannot be read.
    #[display("cannot read the answer: {_0}")]
    Garbage(String),
}

impl std::error::Error for Failure {}

/// The kept connections to one address.
type Ways = Client<HttpConnector, Full<Bytes>>;

/// Makes calls over kept connections.
#[derive(Debug, Clone, Default)]
pub struct Caller {
    ways: Arc<Mutex<HashMap<SocketAddr, Ways>>>,
}

impl Caller {
    /// Sends `body` and returns the answer's body if the status is 2xx.
    pub async fn call(
        &self,
        method: Method,
        at: SocketAddr,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Bytes, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{at}{path}"))
            .body(Full::from(body))
            .map_err(|e| Failure::Garbage(e.to_string()))?;
        let ways = self.ways().entry(at).or_insert_with(ways).clone();
        let answer = tokio::time::timeout(limit, exchange(ways, at, request)).await;
        answer.unwrap_or_else(|_| {
            // The other kept connections may have gone silent at the same time.
            self.ways().remove(&at);
            Err(Failure::Lost(at))
        })
    }

    /// Gets a JSON value.
    pub async fn get<T: DeserializeOwned>(
        &self,
        at: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<T, Failure> {
        let bytes = self.call(Method::GET, at, path, Vec::new(), limit).await?;
        read_json(&bytes)
    }

    /// Posts a JSON value and reads one back.
    pub async fn post<T: DeserializeOwned>(
        &self,
        at: SocketAddr,
        path: &str,
        value: &impl Serialize,
        limit: Duration,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(value).map_err(|e| Failure::Garbage(e.to_string()))?;
        let bytes = self.call(Method::POST, at, path, body, limit).await?;
        read_json(&bytes)
    }

    fn ways(&self) -> MutexGuard<'_, HashMap<SocketAddr, Ways>> {
        self.ways.lock().expect("no holder panics")
    }
}

fn ways() -> Ways {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    Client::builder(TokioExecutor::new()).build(connector)
}

async fn exchange(
    ways: Ways,
    at: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Bytes, Failure> {
    let answer = ways.request(request).await.map_err(|e| match e.is_connect() {
        true => Failure::Connect(at),
        false => Failure::Lost(at),
    })?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
    let bytes = body.map_err(|_| Failure::Lost(at))?.to_bytes();
    if !status.is_success() {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        return Err(Failure::Status(status.as_u16(), text));
    }
    Ok(bytes)
}

fn read_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(bytes).map_err(|e| Failure::Garbage(e.to_string()))
}
