//! Callers that send requests through the gates and check each answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use uuid::Uuid;

use myrtle_standin::body_mark;

/// How long a caller waits beyond the deadline of its request.
const TIMEOUT_SLACK: Duration = Duration::from_secs(3);

/// Distribution of the requests of a caller.
#[derive(Debug, Clone)]
pub struct Mix {
    /// The customers; the token of customer C is `demo-C`.
    pub customers: Vec<String>,
    /// Classes with their shares of the requests.
    pub classes: Vec<(String, f64)>,
    /// The share of requests that are unsafe to repeat.
    pub unsafe_share: f64,
    /// The share of unsafe requests that carry an idempotency key.
    pub keyed_share: f64,
    /// The mean work of a request in microseconds.
    pub work_us: f64,
}

/// The outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered in full.
    Answered,
    /// It was refused as not run.
    NotRun,
    /// The refusal says that it ran.
    Ran,
    /// The refusal says that it may have run.
    Unknown,
    /// No answer came before the timeout, or the connection failed.
    NoAnswer,
}

/// A request and its outcome for the caller.
#[derive(Debug, Clone)]
pub struct Observed {
    /// The request's id.
    pub id: String,
    /// Whether it may run twice.
    pub safe: bool,
    /// The outcome.
    pub outcome: Outcome,
}

/// Outcomes of the requests of all callers.
#[derive(Debug, Default)]
pub struct Log {
    /// All requests in call of completion.
    pub seen: Mutex<Vec<Observed>>,
    /// Refusals by kind.
    pub refused: Mutex<BTreeMap<String, u64>>,
    /// Latencies in microseconds by class.
    pub latency: Mutex<BTreeMap<String, Histogram<u64>>>,
    /// Answers that are truncated or belong to another request.
    pub broken: Mutex<Vec<String>>,
}

#[derive(Debug, Deserialize)]
struct Body {
    id: String,
    mark: String,
}

#[derive(Debug, Deserialize)]
struct Refusal {
    kind: String,
    ran: String,
}

/// A client with its own connections.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    log: Arc<Log>,
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request's id.
    pub id: String,
    /// The customer.
    pub customer: String,
    /// The class of requests.
    pub class: String,
    /// Whether it may run twice.
    pub safe: bool,
    /// The idempotency key.
    pub key: Option<Uuid>,
    /// The work in microseconds.
    pub work: u64,
    /// The body.
    pub body: String,
}

impl Caller {
    /// Creates a caller that records outcomes in `log`.
    pub fn new(log: Arc<Log>) -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http(), log }
    }

    /// Sends a request to one gate and records the outcome.
    pub async fn send(&self, at: SocketAddr, call: &Call) -> Outcome {
        let start = Instant::now();
        let limit = Duration::from_secs(5) + TIMEOUT_SLACK;
        let answer = tokio::time::timeout(limit, self.exchange(at, call)).await;
        let outcome = match answer {
            Ok(Ok((status, headers, body))) => self.judge(call, status, &headers, &body),
            _ => Outcome::NoAnswer,
        };
        if outcome == Outcome::Answered {
            let us = start.elapsed().as_micros() as u64;
            let mut latency = self.log.latency.lock().expect("lock not poisoned");
            let histogram = || Histogram::new_with_max(60_000_000, 3).expect("valid bounds");
            latency.entry(call.class.clone()).or_insert_with(histogram).saturating_record(us);
        }
        let seen = Observed { id: call.id.clone(), safe: call.safe, outcome };
        self.log.seen.lock().expect("lock not poisoned").push(seen);
        outcome
    }

    async fn exchange(
        &self,
        at: SocketAddr,
        call: &Call,
    ) -> Result<(u16, HeaderMap, Bytes), Box<dyn std::error::Error + Send + Sync>> {
        let method = if call.safe { Method::GET } else { Method::POST };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{at}/{}", call.class))
            .header("authorization", format!("Bearer demo-{}", call.customer))
            .header("myrtle-class", &call.class)
            .header("x-request-id", &call.id)
            .header("x-work-us", call.work);
        if let Some(key) = call.key {
            request = request.header("idempotency-key", key.to_string());
        }
        let request = request.body(Full::from(call.body.clone()))?;
        let answer = self.client.request(request).await?;
        let (head, body) = answer.into_parts();
        Ok((head.status.as_u16(), head.headers, body.collect().await?.to_bytes()))
    }

    fn judge(&self, call: &Call, status: u16, headers: &HeaderMap, body: &[u8]) -> Outcome {
        if headers.contains_key("myrtle-kind") {
            return self.judge_refusal(body);
        }
        if status >= 500 {
            return Outcome::Ran;
        }
        let parsed = serde_json::from_slice::<Body>(body).ok();
        let own =
            parsed.is_some_and(|b| b.id == call.id && b.mark == body_mark(call.body.as_bytes()));
        if !own {
            let text = format!("{}: {}", call.id, String::from_utf8_lossy(body));
            self.log.broken.lock().expect("lock not poisoned").push(text);
        }
        Outcome::Answered
    }

    fn judge_refusal(&self, body: &[u8]) -> Outcome {
        let Ok(refusal) = serde_json::from_slice::<Refusal>(body) else {
            let text = String::from_utf8_lossy(body).into_owned();
            self.log.broken.lock().expect("lock not poisoned").push(text);
            return Outcome::Unknown;
        };
        let mut refused = self.log.refused.lock().expect("lock not poisoned");
        *refused.entry(refusal.kind).or_default() += 1;
        match refusal.ran.as_str() {
            "no" => Outcome::NotRun,
            "yes" => Outcome::Ran,
            _ => Outcome::Unknown,
        }
    }
}

/// Sends requests sequentially until `end`, each to a random gate.
pub async fn drive(
    caller: Caller,
    gates: Vec<SocketAddr>,
    mix: Arc<Mix>,
    seed: u64,
    end: Instant,
    pause: Duration,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut n = 0;
    while Instant::now() < end {
        n += 1;
        let call = draw_call(&mix, &mut rng, seed, n);
        let gate = gates[rng.random_range(0..gates.len())];
        let outcome = caller.send(gate, &call).await;
        // A keyed request that had no answer or did not run is retried at a random gate.
        if call.key.is_some() && matches!(outcome, Outcome::NoAnswer | Outcome::NotRun) {
            let gate = gates[rng.random_range(0..gates.len())];
            caller.send(gate, &call).await;
        }
        tokio::time::sleep(pause.mul_f64(rng.random_range(0.5..1.5))).await;
    }
}

fn draw_call(mix: &Mix, rng: &mut ChaCha8Rng, seed: u64, n: u64) -> Call {
    let customer = mix.customers[rng.random_range(0..mix.customers.len())].clone();
    let mut roll: f64 = rng.random();
    let class = mix.classes.iter().find(|(_, share)| {
        roll -= share;
        roll <= 0.0
    });
    let class = class.unwrap_or(&mix.classes[0]).0.clone();
    let safe = rng.random::<f64>() >= mix.unsafe_share;
    let keyed = !safe && rng.random::<f64>() < mix.keyed_share;
    let id = format!("{seed}-{n}");
    let body = match safe {
        true => String::new(),
        false => format!("{id}:{}", "x".repeat(rng.random_range(10..2000))),
    };
    Call {
        id,
        customer,
        class,
        safe,
        key: keyed.then(Uuid::now_v7),
        work: (mix.work_us * rng.random_range(0.3..1.7)) as u64,
        body,
    }
}
