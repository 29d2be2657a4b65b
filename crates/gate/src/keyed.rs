//! Serves requests with an idempotency key; the key's coordinator decides whether they run.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::request::Parts;
use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3Default;

use myrtle_base::{Kind, Ran, winner};
use myrtle_cell::Resource;
use myrtle_peer::{GatePeerClient, KeyOutcome, Link};
use myrtle_route::{Decision, SavedAnswer, bucket_of};

use crate::call::Call;
use crate::exchange::exchange;
use crate::rate::take_rate;
use crate::refusal::RAN;
use crate::serve::{Refusal, Reply, complete};
use crate::tables::{Tables, wall};

/// How long a coordinator is looked for; a bucket changes its coordinator within this time.
const SEARCH_LIMIT: Duration = Duration::from_millis(1_500);

/// The pause between two attempts to find a coordinator.
const PAUSE: Duration = Duration::from_millis(100);

/// How long another gate may take to reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);

/// How often the end of a request is reported before the report is given up.
const MAX_REPORTS: u32 = 4;

/// Header of an answer that was kept from the first run.
const REPLAYED: &str = "myrtle-replayed";

/// The gate to ask about a key.
enum Coordinator {
    /// This gate.
    ThisGate,
    /// Another gate; the flag says whether it must not forward the question.
    OtherGate(Arc<Link<GatePeerClient>>, bool),
}

/// Serves an unsafe request with a key.
pub async fn serve(
    tables: &Arc<Tables>,
    call: &Call,
    head: Parts,
    body: Bytes,
    deadline: Duration,
    key: Uuid,
) -> Result<Reply, Refusal> {
    let hash = hash(call, &head, &body);
    let home = home(tables, call, &key);
    match begin(tables, &home, key, hash, deadline).await? {
        Decision::Replay(saved) => Ok(replay(saved)),
        Decision::Refuse(kind) => Err(kind.into()),
        Decision::Run => {
            let result = match take_rate(tables, call, deadline).await {
                Ok(()) => exchange(tables, call, &Arc::new(head), &body, deadline).await,
                Err(refusal) => Err(refusal),
            };
            let outcome = match &result {
                Ok(answer) => KeyOutcome::Answered(saved(answer)),
                Err(refusal) if refusal.kind.ran() == Ran::No => KeyOutcome::NotRun,
                Err(_) => KeyOutcome::Unknown,
            };
            tokio::spawn(report_end(tables.clone(), home, key, outcome));
            result.map(complete)
        }
    }
}

/// Decides at this gate whether a request runs, if it coordinates the key's bucket.
pub fn begin_here(tables: &Tables, key: Uuid, hash: u64, runner: u64) -> Option<Decision> {
    if tables.lease_left().is_zero() || !tables.is_listed() {
        return None;
    }
    tables.resources(|r| r.bucket(&key).map(|bucket| bucket.begin(key, hash, runner, wall())))
}

/// Records at this gate how a request ended, if it coordinates the key's bucket.
pub fn end_here(tables: &Tables, key: &Uuid, outcome: &KeyOutcome) -> bool {
    tables.resources(|r| {
        let Some(bucket) = r.bucket(key) else { return false };
        match outcome {
            KeyOutcome::Answered(saved) => bucket.ended(key, saved.clone()),
            KeyOutcome::NotRun => bucket.not_run(key),
            KeyOutcome::Unknown => bucket.unknown(key),
        }
        true
    })
}

/// Asks the coordinator of a key of this data centre on behalf of another gate.
pub async fn begin_for(
    tables: &Arc<Tables>,
    key: Uuid,
    hash: u64,
    runner: u64,
    forwarded: bool,
) -> Decision {
    if let Some(begin) = begin_here(tables, key, hash, runner) {
        return begin;
    }
    let Some(Coordinator::OtherGate(link, _)) =
        coordinator(tables, tables.settings.data_centre.as_str(), &key)
    else {
        return Decision::Refuse(Kind::NoCoordinator);
    };
    if forwarded {
        return Decision::Refuse(Kind::NoCoordinator);
    }
    ask(tables, &link, key, hash, runner, true)
        .await
        .unwrap_or(Decision::Refuse(Kind::NoCoordinator))
}

/// Reports the end of a request to the coordinator of its key, on behalf of another gate.
pub async fn end_for(tables: &Arc<Tables>, key: Uuid, outcome: KeyOutcome, forwarded: bool) {
    if end_here(tables, &key, &outcome) || forwarded {
        return;
    }
    let home = tables.settings.data_centre.clone();
    report_end(tables.clone(), home, key, outcome).await;
}

/// The data centre whose gates coordinate the key: as the caller says, or else chosen by the key.
fn home(tables: &Tables, call: &Call, key: &Uuid) -> String {
    let view = tables.view.load();
    let named = call.home.as_ref().filter(|h| view.centres.contains(h));
    let by_key = || winner(view.centres.iter().map(String::as_str), &key.to_string());
    match named {
        Some(home) => home.clone(),
        None => by_key().unwrap_or(&tables.settings.data_centre).to_string(),
    }
}

async fn begin(
    tables: &Arc<Tables>,
    home: &str,
    key: Uuid,
    hash: u64,
    deadline: Duration,
) -> Result<Decision, Refusal> {
    let runner: u64 = rand::random();
    let end = deadline.min(tables.now() + SEARCH_LIMIT);
    loop {
        let reply = match coordinator(tables, home, &key) {
            Some(Coordinator::ThisGate) => begin_here(tables, key, hash, runner),
            Some(Coordinator::OtherGate(link, forwarded)) => {
                ask(tables, &link, key, hash, runner, forwarded).await
            }
            None => None,
        };
        match reply {
            Some(Decision::Refuse(Kind::NoCoordinator)) | None => {}
            Some(reply) => return Ok(reply),
        }
        if tables.now() + PAUSE >= end {
            return Err(Refusal::after(Kind::NoCoordinator, Duration::from_secs(2)));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn ask(
    tables: &Tables,
    link: &Link<GatePeerClient>,
    key: Uuid,
    hash: u64,
    runner: u64,
    forwarded: bool,
) -> Option<Decision> {
    let stamp = tables.ring.clock().tick();
    let call =
        |c: GatePeerClient, x| async move { c.begin(x, stamp, key, hash, runner, forwarded).await };
    link.call(REPLY_TIMEOUT, call).await
}

async fn report_end(tables: Arc<Tables>, home: String, key: Uuid, outcome: KeyOutcome) {
    for _ in 0..MAX_REPORTS {
        match coordinator(&tables, &home, &key) {
            Some(Coordinator::ThisGate) if end_here(&tables, &key, &outcome) => return,
            Some(Coordinator::OtherGate(link, forwarded)) => {
                let (stamp, outcome) = (tables.ring.clock().tick(), outcome.clone());
                let call = |c: GatePeerClient, x| async move {
                    c.end(x, stamp, key, outcome, forwarded).await
                };
                if link.call(REPLY_TIMEOUT, call).await.is_some() {
                    return;
                }
            }
            _ => {}
        }
        tokio::time::sleep(PAUSE * 3).await;
    }
}

/// The gate that coordinates a key, according to this gate's view.
fn coordinator(tables: &Tables, home: &str, key: &Uuid) -> Option<Coordinator> {
    let view = tables.view.load();
    if home != tables.settings.data_centre {
        let gates = view.peering.peers.iter().filter(|(_, (centre, _))| centre == home);
        let gate = winner(gates.map(|(name, _)| name.as_str()), &key.to_string())?;
        return Some(Coordinator::OtherGate(tables.gate_link(view.peer(gate)?), false));
    }
    let keeping = view.peering.coordinators.get(&Resource::Keys(bucket_of(key)))?;
    if keeping.gate == tables.name() {
        return Some(Coordinator::ThisGate);
    }
    Some(Coordinator::OtherGate(tables.gate_link(view.peer(&keeping.gate)?), true))
}

/// Hashes what must be the same in all requests with one key.
fn hash(call: &Call, head: &Parts, body: &[u8]) -> u64 {
    let mut hasher = Xxh3Default::new();
    hasher.update(call.customer.as_bytes());
    hasher.update(head.method.as_str().as_bytes());
    hasher.update(head.uri.path_and_query().map_or("/", |p| p.as_str()).as_bytes());
    hasher.update(body);
    hasher.digest()
}

fn saved(answer: &Response<Bytes>) -> SavedAnswer {
    let content = answer.headers().get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    SavedAnswer {
        status: answer.status().as_u16(),
        content_type: content.unwrap_or_default().into(),
        body: answer.body().to_vec(),
    }
}

fn replay(saved: SavedAnswer) -> Reply {
    let mut answer = Response::new(Either::Left(Full::from(saved.body)));
    *answer.status_mut() = saved.status.try_into().unwrap_or_default();
    let headers = answer.headers_mut();
    if let Ok(content) = HeaderValue::from_str(&saved.content_type) {
        headers.insert(CONTENT_TYPE, content);
    }
    headers.insert(RAN, HeaderValue::from_static("yes"));
    headers.insert(REPLAYED, HeaderValue::from_static("1"));
    answer
}
