//! HTTP calls with a timeout over pooled connections.

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

/// The maximum size of a reply, in bytes.
const MAX_REPLY: usize = 16 << 20;

/// The failure of a call.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Failure {
    /// The connection failed; nothing was sent.
    #[display("cannot connect to {_0}")]
    Connect(SocketAddr),
    /// The call was sent but got no reply; whether it took effect is unknown.
    #[display("no reply from {_0}")]
    Lost(SocketAddr),
    /// The reply's status is not 2xx.
    #[display("status {_0}: {_1}")]
    Status(u16, String),
    /// The reply can't be decoded, or the request can't be encoded.
    #[display("malformed request or reply: {_0}")]
    Malformed(String),
}

impl std::error::Error for Failure {}

/// The connection pool of one address.
type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Makes calls over pooled connections.
#[derive(Debug, Clone, Default)]
pub struct Caller {
    clients: Arc<Mutex<HashMap<SocketAddr, HttpClient>>>,
}

impl Caller {
    /// Sends `body` and returns the reply's body if the status is 2xx.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Bytes, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::from(body))
            .map_err(|e| Failure::Malformed(e.to_string()))?;
        let client = self.clients().entry(address).or_insert_with(new_client).clone();
        let reply = tokio::time::timeout(limit, exchange(client, address, request)).await;
        reply.unwrap_or_else(|_| {
            // The other idle connections may have gone silent at the same time.
            self.clients().remove(&address);
            Err(Failure::Lost(address))
        })
    }

    /// Gets a JSON value.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<T, Failure> {
        let bytes = self.call(Method::GET, address, path, Vec::new(), limit).await?;
        read_json(&bytes)
    }

    /// Posts a JSON value and decodes the JSON reply.
    pub async fn post<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        value: &impl Serialize,
        limit: Duration,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(value).map_err(|e| Failure::Malformed(e.to_string()))?;
        let bytes = self.call(Method::POST, address, path, body, limit).await?;
        read_json(&bytes)
    }

    fn clients(&self) -> MutexGuard<'_, HashMap<SocketAddr, HttpClient>> {
        self.clients.lock().expect("no holder panics")
    }
}

fn new_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    Client::builder(TokioExecutor::new()).build(connector)
}

async fn exchange(
    client: HttpClient,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Bytes, Failure> {
    let reply = client.request(request).await.map_err(|e| match e.is_connect() {
        true => Failure::Connect(address),
        false => Failure::Lost(address),
    })?;
    let status = reply.status();
    let body = Limited::new(reply.into_body(), MAX_REPLY).collect().await;
    let bytes = body.map_err(|_| Failure::Lost(address))?.to_bytes();
    if !status.is_success() {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        return Err(Failure::Status(status.as_u16(), text));
    }
    Ok(bytes)
}

fn read_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(bytes).map_err(|e| Failure::Malformed(e.to_string()))
}
