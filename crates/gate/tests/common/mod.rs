//! A data centre in one process: simulated platform, scheds and gates, on ports chosen by the
//! system.

#![allow(dead_code, unused_imports, unused_macros, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use uuid::Uuid;

use myrtle_config::hash_token;
use myrtle_gate::Gate;
use myrtle_platform::Role;
use myrtle_sched::Sched;
use myrtle_standin::{Control, UpstreamMode, World, WorldConfig, until};

/// Defines a test on a site with some workers and gates.
macro_rules! case {
    ($name:ident, $workers:literal, $gates:literal, $site:ident => $body:block) => {
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            #[allow(unused_mut)]
            let mut $site = common::Site::start($workers, $gates).await;
            $body
        }
    };
}

pub(crate) use case;

/// Sets how all upstreams behave.
pub fn set_all(site: &Site, mode: UpstreamMode) {
    for name in site.workers() {
        site.order(Control::Upstream(name, mode));
    }
}

/// A running data centre.
pub struct Site {
    pub world: Arc<World>,
    pub scheds: Vec<Sched>,
    pub gates: Vec<Gate>,
    pub http: Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>,
}

/// An answer as the caller receives it.
#[derive(Debug)]
pub struct Got {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Got {
    /// The kind of a refusal, empty for an answer.
    pub fn kind(&self) -> &str {
        self.headers.get("myrtle-kind").map_or("", |v| v.to_str().unwrap_or_default())
    }

    /// What the gate reports on whether the request ran.
    pub fn ran(&self) -> &str {
        self.headers.get("myrtle-ran").map_or("", |v| v.to_str().unwrap_or_default())
    }
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct Send {
    pub method: &'static str,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Send {
    /// A request of the customer helios with an id.
    pub fn new(method: &'static str, id: &str) -> Self {
        let send = Self { method, headers: Vec::new(), body: String::new() };
        send.with("authorization", "Bearer demo-helios").with("x-request-id", id)
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|h| h.0 != name);
        self.headers.push((name.into(), value.into()));
        self
    }

    pub fn key(self, key: Uuid) -> Self {
        self.with("idempotency-key", &key.to_string())
    }

    pub fn body(mut self, body: &str) -> Self {
        self.body = body.into();
        self
    }
}

/// The desired state of the test site; `jobs` is appended.
pub fn desired(rate: u32, jobs: &str) -> String {
    let token = hash_token("demo-helios");
    let other = hash_token("demo-kyma");
    format!(
        "scope: platform\ndata_centres:\n  attiki-a:\n    region: attiki\n    \
         hosts: [s0, s1, s2]\nservices:\n  nomgate:\n    slots: 8\n    connections: 64\n    \
         target: 150ms\n    max_body: 2000\nclasses:\n  dear:\n    price: 9\n    deadline: 2s\n  \
         cheap:\n    price: 1\n    deadline: 2s\nparties:\n  helios:\n    token_sha256: {token}\n    \
         rate: {rate}\n    classes: [dear, cheap]\n  kyma:\n    token_sha256: {other}\n    \
         rate: {rate}\n    classes: [cheap]\n{jobs}"
    )
}

impl Site {
    /// Starts three scheds and `gates` gates over `workers` workers and waits until all serve.
    pub async fn start(workers: usize, gates: usize) -> Self {
        Self::with(workers, gates, &desired(100_000, "")).await
    }

    /// Starts a site with the given desired state.
    pub async fn with(workers: usize, gates: usize, desired: &str) -> Self {
        let plan = WorldConfig { workers, ..WorldConfig::default() };
        let world = World::start(&plan).await.unwrap();
        let http = Client::builder(TokioExecutor::new()).build_http();
        let mut site = Self { world, scheds: Vec::new(), gates: Vec::new(), http };
        site.world.apply(desired, 0).await;
        for n in 0..3 {
            site.add_sched(&format!("s{n}")).await;
        }
        for n in 0..gates {
            site.add_gate(&format!("g{n}")).await;
        }
        site.until_ready().await;
        site
    }

    pub async fn add_sched(&mut self, name: &str) {
        self.scheds.push(myrtle_sched::start(self.world.settings(name, "attiki-a")).await.unwrap());
    }

    pub async fn add_gate(&mut self, name: &str) {
        self.gates.push(myrtle_gate::start(self.world.settings(name, "attiki-a")).await.unwrap());
    }

    /// Waits until all gates serve.
    pub async fn until_ready(&self) {
        until("all gates are ready", || self.gates.iter().all(Gate::ready)).await;
    }

    /// Changes the behaviour of the simulated platform.
    pub fn order(&self, control: Control) {
        self.world.control(control).unwrap();
    }

    /// The names of the workers in the host list.
    pub fn workers(&self) -> Vec<String> {
        let hosts = self.world.hosts.list();
        hosts.into_iter().filter(|h| h.role == Role::Worker).map(|h| h.name).collect()
    }

    /// Sends a request to a gate.
    pub async fn send(&self, gate: usize, send: &Send) -> Option<Got> {
        send_to(&self.http, self.gates[gate].http, send).await
    }

    /// How often upstreams began a request with this id.
    pub fn runs(&self, id: &str) -> u32 {
        self.world.record.summary().requests.get(id).copied().unwrap_or_default()
    }
}

/// Sends a request; nothing if there was no complete answer.
pub async fn send_to(
    http: &Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>,
    at: SocketAddr,
    send: &Send,
) -> Option<Got> {
    let mut request = Request::builder().method(send.method).uri(format!("http://{at}/x"));
    for (name, value) in &send.headers {
        request = request.header(name, value);
    }
    let request = request.body(Full::from(send.body.clone())).unwrap();
    let answer = http.request(request).await.ok()?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Got { status: head.status.as_u16(), headers: head.headers, body })
}
