//! Overhead of a gate, compared in request run with direct connections to the same upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use bytes::Bytes;
use futures::future::join_all;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use myrtle_config::hash_token;
use myrtle_platform::Role;
use myrtle_standin::{World, WorldConfig, until};

/// Number of upstreams.
const UPSTREAMS: usize = 8;

/// Concurrent callers for the throughput figures.
const CALLERS: u64 = 32;

/// Rounds, with direct requests first and then requests by the gate.
const ROUNDS: u64 = 5;

/// measure the overhead of request gate
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "toll")]
pub struct Toll {
    /// requests through the gate in all
    #[argh(option, default = "200000")]
    requests: u64,
}

type Http = Client<HttpConnector, Full<Bytes>>;

/// Prints the figures; returns false if memory grew by more than a tenth after the first round.
pub async fn run(toll: &Toll) -> Result<bool, String> {
    let world = World::start(&WorldConfig { workers: UPSTREAMS, ..WorldConfig::default() }).await;
    let world = world.map_err(|e| e.to_string())?;
    world.apply(&desired(), 0).await;
    let mut scheds = Vec::new();
    for n in 0..3 {
        let settings = world.settings(&format!("s{n}"), "attiki-a");
        scheds.push(myrtle_sched::start(settings).await.map_err(|e| e.to_string())?);
    }
    let gate = myrtle_gate::start(world.settings("g0", "attiki-a")).await;
    let gate = gate.map_err(|e| e.to_string())?;
    until("the gate is ready", || gate.ready()).await;
    let upstreams: Vec<SocketAddr> =
        world.hosts.list().iter().filter(|h| h.role == Role::Worker).map(|h| h.peer).collect();
    let gates = vec![gate.http];
    let per_round = toll.requests / ROUNDS / 2;
    let mut figures = Vec::new();
    let mut memory = Vec::new();
    for _ in 0..ROUNDS {
        let direct =
            (latency(&upstreams, per_round / 10).await, throughput(&upstreams, per_round).await);
        let via_gate =
            (latency(&gates, per_round / 10).await, throughput(&gates, per_round * 2).await);
        figures.push((direct, via_gate));
        memory.push(resident());
    }
    figures.sort_by_key(|f| f.1.0);
    let (direct, via_gate) = &figures[figures.len() / 2];
    let ratio = via_gate.1 / direct.1;
    println!(
        "median direct {} us, through the gate {} us, added {} us",
        direct.0,
        via_gate.0,
        via_gate.0.saturating_sub(direct.0)
    );
    println!(
        "throughput direct {:.0}/s, through the gate {:.0}/s, ratio {ratio:.2}",
        direct.1, via_gate.1
    );
    println!("memory of the whole process after each round: {memory:?} kB");
    let (first, last) = (memory[0] as f64, memory[memory.len() - 1] as f64);
    Ok(last <= first * 1.1)
}

/// Measures the median latency for request caller, in microseconds.
async fn latency(addrs: &[SocketAddr], count: u64) -> u64 {
    let http = client();
    let mut histogram: Histogram<u64> = Histogram::new(3).expect("valid precision");
    histogram.auto(true);
    for n in 0..count {
        let start = Instant::now();
        send(&http, addrs[n as usize % addrs.len()]).await;
        let _ = histogram.record(start.elapsed().as_nanos() as u64 / 1000);
    }
    histogram.value_at_quantile(0.5)
}

/// Measures the requests per second of concurrent callers.
async fn throughput(addrs: &[SocketAddr], count: u64) -> f64 {
    let start = Instant::now();
    let callers = (0..CALLERS).map(|c| {
        let addrs = Arc::new(addrs.to_vec());
        tokio::spawn(async move {
            let http = client();
            for n in 0..count / CALLERS {
                send(&http, addrs[(n + c) as usize % addrs.len()]).await;
            }
        })
    });
    join_all(callers).await;
    count as f64 / start.elapsed().as_secs_f64()
}

async fn send(http: &Http, at: SocketAddr) {
    let request = Request::builder()
        .uri(format!("http://{at}/x"))
        .header("authorization", "Bearer demo-helios")
        .header("x-request-id", "toll")
        .header("x-work-us", "0")
        .body(Full::default())
        .expect("valid request");
    if let Ok(answer) = http.request(request).await {
        let _ = answer.into_body().collect().await;
    }
}

fn client() -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_secs(30))
        .build(connector)
}

/// Returns the resident memory in kilobytes, 0 where it can't be read.
pub fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).unwrap_or_default()
}

fn desired() -> String {
    format!(
        "scope: platform\ndata_centres:\n  attiki-a:\n    region: attiki\n    hosts: [s0, s1, s2]\n\
         services:\n  nomgate:\n    slots: 8\n    connections: 64\n    target: 150ms\nclasses:\n  \
         check:\n    price: 1\n    deadline: 2s\nparties:\n  helios:\n    token_sha256: {}\n    \
         rate: 10000000\n    classes: [check]\n",
        hash_token("demo-helios")
    )
}
