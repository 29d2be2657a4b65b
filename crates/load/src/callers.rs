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

/// How long a caller waits beyond the deadline that it told.
const SLACK: Duration = Duration::from_secs(3);

/// What a caller sends.
#[derive(Debug, Clone)]
pub struct Mix {
    /// The parties; the token of P is `demo-P`.
    pub parties: Vec<String>,
    /// Classes with the part of the requests that each has.
    pub classes: Vec<(String, f64)>,
    /// The part of the requests that is unsafe to repeat.
    pub unsafe_part: f64,
    /// Of those, the part that carries a key.
    pub keyed_part: f64,
    /// The mean work of a request in microseconds.
    pub work_us: f64,
}

/// How a request came out for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    /// It was answered in full.
    Answered,
    /// It was refused as not run.
    NotRun,
    /// The refusal says that it ran.
    Ran,
    /// The refusal says that nobody knows.
    Unknown,
    /// There was no answer at all.
    Nothing,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Its id.
    pub id: String,
    /// Whether it may run twice.
    pub safe: bool,
    /// How it came out.
    pub said: Said,
}

/// What all callers saw.
#[derive(Debug, Default)]
pub struct Book {
    /// Every request.
    pub seen: Mutex<Vec<Seen>>,
    /// Refusals by kind.
    pub refused: Mutex<BTreeMap<String, u64>>,
    /// Latencies in microseconds by class.
    pub latency: Mutex<BTreeMap<String, Histogram<u64>>>,
    /// Answers that were cut, mixed up or another caller's.
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
    book: Arc<Book>,
}

/// One request.
#[derive(Debug, Clone)]
pub struct Order {
    /// Its id.
    pub id: String,
    /// Who pays.
    pub party: String,
    /// Its class.
    pub class: String,
    /// Whether it may run twice.
    pub safe: bool,
    /// Its key.
    pub key: Option<Uuid>,
    /// The work in microseconds.
    pub work: u64,
    /// The body.
    pub body: String,
}

impl Caller {
    /// A caller that writes into `book`.
    pub fn new(book: Arc<Book>) -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http(), book }
    }

    /// Sends a request to one gate and notes what came of it.
    pub async fn send(&self, at: SocketAddr, order: &Order) -> Said {
        let began = Instant::now();
        let limit = Duration::from_secs(5) + SLACK;
        let answer = tokio::time::timeout(limit, self.exchange(at, order)).await;
        let said = match answer {
            Ok(Ok((status, headers, body))) => self.judge(order, status, &headers, &body),
            _ => Said::Nothing,
        };
        if said == Said::Answered {
            let us = began.elapsed().as_micros() as u64;
            let mut latency = self.book.latency.lock().expect("no holder panics");
            let fresh = || Histogram::new_with_max(60_000_000, 3).expect("the bounds are valid");
            latency.entry(order.class.clone()).or_insert_with(fresh).saturating_record(us);
        }
        let seen = Seen { id: order.id.clone(), safe: order.safe, said };
        self.book.seen.lock().expect("no holder panics").push(seen);
        said
    }

    async fn exchange(
        &self,
        at: SocketAddr,
        order: &Order,
    ) -> Result<(u16, HeaderMap, Bytes), Box<dyn std::error::Error + Send + Sync>> {
        let method = if order.safe { Method::GET } else { Method::POST };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{at}/{}", order.class))
            .header("authorization", format!("Bearer demo-{}", order.party))
            .header("myrtle-class", &order.class)
            .header("x-request-id", &order.id)
            .header("x-work-us", order.work);
        if let Some(key) = order.key {
            request = request.header("idempotency-key", key.to_string());
        }
        let request = request.body(Full::from(order.body.clone()))?;
        let answer = self.client.request(request).await?;
        let (head, body) = answer.into_parts();
        Ok((head.status.as_u16(), head.headers, body.collect().await?.to_bytes()))
    }

    fn judge(&self, order: &Order, status: u16, headers: &HeaderMap, body: &[u8]) -> Said {
        if headers.contains_key("myrtle-kind") {
            return self.judge_refusal(body);
        }
        if status >= 500 {
            return Said::Ran;
        }
        let whole = serde_json::from_slice::<Body>(body).ok();
        let own =
            whole.is_some_and(|b| b.id == order.id && b.mark == body_mark(order.body.as_bytes()));
        if !own {
            let text = format!("{}: {}", order.id, String::from_utf8_lossy(body));
            self.book.broken.lock().expect("no holder panics").push(text);
        }
        Said::Answered
    }

    fn judge_refusal(&self, body: &[u8]) -> Said {
        let Ok(refusal) = serde_json::from_slice::<Refusal>(body) else {
            let text = String::from_utf8_lossy(body).into_owned();
            self.book.broken.lock().expect("no holder panics").push(text);
            return Said::Unknown;
        };
        let mut refused = self.book.refused.lock().expect("no holder panics");
        *refused.entry(refusal.kind).or_default() += 1;
        match refusal.ran.as_str() {
            "no" => Said::NotRun,
            "yes" => Said::Ran,
            _ => Said::Unknown,
        }
    }
}

/// Sends requests one after the other until `end`, each to a random gate.
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
        let order = order(&mix, &mut rng, seed, n);
        let gate = gates[rng.random_range(0..gates.len())];
        let said = caller.send(gate, &order).await;
        // A caller whose keyed request found no answer asks again with the key, elsewhere.
        if order.key.is_some() && matches!(said, Said::Nothing | Said::NotRun) {
            let gate = gates[rng.random_range(0..gates.len())];
            caller.send(gate, &order).await;
        }
        tokio::time::sleep(pause.mul_f64(rng.random_range(0.5..1.5))).await;
    }
}

fn order(mix: &Mix, rng: &mut ChaCha8Rng, seed: u64, n: u64) -> Order {
    let party = mix.parties[rng.random_range(0..mix.parties.len())].clone();
    let mut roll: f64 = rng.random();
    let class = mix.classes.iter().find(|(_, part)| {
        roll -= part;
        roll <= 0.0
    });
    let class = class.unwrap_or(&mix.classes[0]).0.clone();
    let safe = rng.random::<f64>() >= mix.unsafe_part;
    let keyed = !safe && rng.random::<f64>() < mix.keyed_part;
    let id = format!("{seed}-{n}");
    let body = match safe {
        true => String::new(),
        false => format!("{id}:{}", "x".repeat(rng.random_range(10..2000))),
    };
    Order {
        id,
        party,
        class,
        safe,
        key: keyed.then(Uuid::now_v7),
        work: (mix.work_us * rng.random_range(0.3..1.7)) as u64,
        body,
    }
}
