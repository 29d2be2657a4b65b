//! Requests with a key: the key's keeper says whether they run.

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
use myrtle_cell::Unit;
use myrtle_peer::{Done, GatePeerClient, Link};
use myrtle_route::{Begin, Saved, bucket_of};

use crate::call::Call;
use crate::exchange::exchange;
use crate::rate::take_rate;
use crate::refusal::RAN;
use crate::serve::{Refusal, Reply, whole};
use crate::tables::{Tables, wall};

/// How long a keeper is looked for; a bucket changes hands within it.
const SEARCH: Duration = Duration::from_millis(1_500);

/// The pause between two looks for a keeper.
const PAUSE: Duration = Duration::from_millis(100);

/// How long another gate may take to answer.
const WORD: Duration = Duration::from_millis(700);

/// How often the end of a request is told before it is given up.
const TELLS: u32 = 4;

/// Marks an answer that was kept from the first run.
const REPLAYED: &str = "myrtle-replayed";

/// Who knows about a key.
enum Keeper {
    /// This gate.
    Here,
    /// Another gate; the flag says whether it must not pass the question on.
    There(Arc<Link<GatePeerClient>>, bool),
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
        Begin::Replay(saved) => Ok(replay(saved)),
        Begin::Refuse(kind) => Err(kind.into()),
        Begin::Run => {
            let result = match take_rate(tables, call, deadline).await {
                Ok(()) => exchange(tables, call, &Arc::new(head), &body, deadline).await,
                Err(refusal) => Err(refusal),
            };
            let done = match &result {
                Ok(answer) => Done::Answered(saved(answer)),
                Err(refusal) if refusal.kind.ran() == Ran::No => Done::NotRun,
                Err(_) => Done::Unknown,
            };
            tokio::spawn(tell(tables.clone(), home, key, done));
            result.map(whole)
        }
    }
}

/// Decides at this gate, if it keeps the key's bucket.
pub fn begin_here(tables: &Tables, key: Uuid, hash: u64, holder: u64) -> Option<Begin> {
    if tables.lease_left().is_zero() || !tables.entered() {
        return None;
    }
    tables.books(|b| b.bucket(&key).map(|bucket| bucket.begin(key, hash, holder, wall())))
}

/// Notes at this gate how a request ended, if it keeps the key's bucket.
pub fn end_here(tables: &Tables, key: &Uuid, done: &Done) -> bool {
    tables.books(|b| {
        let Some(bucket) = b.bucket(key) else { return false };
        match done {
            Done::Answered(saved) => bucket.ended(key, saved.clone()),
            Done::NotRun => bucket.not_run(key),
            Done::Unknown => bucket.unknown(key),
        }
        true
    })
}

/// Asks the keeper of a key of this data centre on behalf of another gate.
pub async fn begin_for(
    tables: &Arc<Tables>,
    key: Uuid,
    hash: u64,
    holder: u64,
    passed: bool,
) -> Begin {
    if let Some(begin) = begin_here(tables, key, hash, holder) {
        return begin;
    }
    let Some(Keeper::There(link, _)) = keeper(tables, tables.settings.data_centre.as_str(), &key)
    else {
        return Begin::Refuse(Kind::NoKeeper);
    };
    if passed {
        return Begin::Refuse(Kind::NoKeeper);
    }
    ask(tables, &link, key, hash, holder, true).await.unwrap_or(Begin::Refuse(Kind::NoKeeper))
}

/// Tells the keeper of a key of this data centre on behalf of another gate.
pub async fn end_for(tables: &Arc<Tables>, key: Uuid, done: Done, passed: bool) {
    if end_here(tables, &key, &done) || passed {
        return;
    }
    let home = tables.settings.data_centre.clone();
    tell(tables.clone(), home, key, done).await;
}

/// The data centre whose gates keep the key: as the caller says, or by the key.
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
) -> Result<Begin, Refusal> {
    let holder: u64 = rand::random();
    let end = deadline.min(tables.now() + SEARCH);
    loop {
        let word = match keeper(tables, home, &key) {
            Some(Keeper::Here) => begin_here(tables, key, hash, holder),
            Some(Keeper::There(link, passed)) => {
                ask(tables, &link, key, hash, holder, passed).await
            }
            None => None,
        };
        match word {
            Some(Begin::Refuse(Kind::NoKeeper)) | None => {}
            Some(word) => return Ok(word),
        }
        if tables.now() + PAUSE >= end {
            return Err(Refusal::after(Kind::NoKeeper, Duration::from_secs(2)));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn ask(
    tables: &Tables,
    link: &Link<GatePeerClient>,
    key: Uuid,
    hash: u64,
    holder: u64,
    passed: bool,
) -> Option<Begin> {
    let stamp = tables.ring.clock().tick();
    let call =
        |c: GatePeerClient, x| async move { c.begin(x, stamp, key, hash, holder, passed).await };
    link.call(WORD, call).await
}

async fn tell(tables: Arc<Tables>, home: String, key: Uuid, done: Done) {
    for _ in 0..TELLS {
        match keeper(&tables, &home, &key) {
            Some(Keeper::Here) if end_here(&tables, &key, &done) => return,
            Some(Keeper::There(link, passed)) => {
                let (stamp, done) = (tables.ring.clock().tick(), done.clone());
                let call =
                    |c: GatePeerClient, x| async move { c.end(x, stamp, key, done, passed).await };
                if link.call(WORD, call).await.is_some() {
                    return;
                }
            }
            _ => {}
        }
        tokio::time::sleep(PAUSE * 3).await;
    }
}

/// The gate that knows about a key, as far as this one knows.
fn keeper(tables: &Tables, home: &str, key: &Uuid) -> Option<Keeper> {
    let view = tables.view.load();
    if home != tables.settings.data_centre {
        let gates = view.peering.peers.iter().filter(|(_, (centre, _))| centre == home);
        let gate = winner(gates.map(|(name, _)| name.as_str()), &key.to_string())?;
        return Some(Keeper::There(tables.gate_link(view.peer(gate)?), false));
    }
    let keep = view.peering.units.get(&Unit::Keys(bucket_of(key)))?;
    if keep.gate == tables.name() {
        return Some(Keeper::Here);
    }
    Some(Keeper::There(tables.gate_link(view.peer(&keep.gate)?), true))
}

/// Tells two requests apart that use the same key.
fn hash(call: &Call, head: &Parts, body: &[u8]) -> u64 {
    let mut hasher = Xxh3Default::new();
    hasher.update(call.party.as_bytes());
    hasher.update(head.method.as_str().as_bytes());
    hasher.update(head.uri.path_and_query().map_or("/", |p| p.as_str()).as_bytes());
    hasher.update(body);
    hasher.digest()
}

fn saved(answer: &Response<Bytes>) -> Saved {
    let content = answer.headers().get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    Saved {
        status: answer.status().as_u16(),
        content: content.unwrap_or_default().into(),
        body: answer.body().to_vec(),
    }
}

fn replay(saved: Saved) -> Reply {
    let mut answer = Response::new(Either::Left(Full::from(saved.body)));
    *answer.status_mut() = saved.status.try_into().unwrap_or_default();
    let headers = answer.headers_mut();
    if let Ok(content) = HeaderValue::from_str(&saved.content) {
        headers.insert(CONTENT_TYPE, content);
    }
    headers.insert(RAN, HeaderValue::from_static("yes"));
    headers.insert(REPLAYED, HeaderValue::from_static("1"));
    answer
}
