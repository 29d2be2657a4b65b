//! The platform's metadata store: topics of partitions, the newest record of each key, groups.

mod group;
mod topic;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use myrtle_adapter::{frame, unframe, unframe_keyed};
use myrtle_platform::{Answer, Ask, answer, json, text};

use group::Group;
use topic::{Part, Refusal, Writer};

/// Partitions of each topic, as on the users' platform.
const PARTS: u32 = 24;

/// The longest wait of a read.
const LONGEST: Duration = Duration::from_secs(30);

/// What the store does to its callers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// It works.
    #[default]
    Ok,
    /// It refuses everything and does nothing.
    Away,
    /// It says nothing to anybody and does nothing.
    Silent,
    /// It does what it is asked and never answers appends.
    Lose,
    /// It takes appends in turn, each in so long.
    Slow(Duration),
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    parts: Mutex<HashMap<(String, u32), Part>>,
    groups: Mutex<BTreeMap<String, Group>>,
    mode: Mutex<StoreMode>,
    grown: Notify,
    /// Whose append is taken while the store is slow.
    turn: tokio::sync::Mutex<()>,
    calls: Mutex<BTreeMap<String, u64>>,
    /// Topics whose readers wait, and for how long.
    delays: Mutex<BTreeMap<String, Duration>>,
    /// Topics whose writers up to an epoch are turned away.
    shut: Mutex<BTreeMap<String, u64>>,
}

#[derive(Deserialize)]
struct Join {
    group: String,
    member: String,
    topics: Vec<String>,
    ttl_ms: u64,
    #[serde(default)]
    generation: u64,
}

#[derive(Deserialize)]
struct Leave {
    group: String,
    member: String,
}

impl Store {
    /// Changes what it does to its callers.
    pub fn set(&self, mode: StoreMode) {
        *self.mode.lock().expect("no holder panics") = mode;
    }

    /// Lets every reader of a topic wait for so long before it is answered.
    pub fn delay(&self, topic: &str, wait: Duration) {
        self.delays.lock().expect("no holder panics").insert(topic.into(), wait);
    }

    /// Turns away the writers of a topic whose epoch is up to this one, and serves later ones.
    pub fn shut(&self, topic: &str, epoch: u64) {
        self.shut.lock().expect("no holder panics").insert(topic.into(), epoch);
    }

    /// How often each call was made.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.calls.lock().expect("no holder panics").clone()
    }

    /// Writes a record of a topic with keys, as the operator and the workers do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let record = keyed(key, value);
        self.part(topic, 0, |part| part.records.push(record));
        self.grown.notify_waiters();
    }

    /// Writes a record and drops the topic's history with it: readers learn of it only from the newest
    /// records.
    pub fn put_unread(&self, topic: &str, key: &str, value: &[u8]) {
        let record = keyed(key, value);
        self.part(topic, 0, |part| {
            part.records.push(record);
            part.first = part.records.len();
        });
        self.grown.notify_waiters();
    }

    /// The keys of a topic's first partition that have a value now.
    pub fn keys(&self, topic: &str) -> BTreeSet<String> {
        let mut keys = BTreeSet::new();
        self.part(topic, 0, |part| {
            for record in &part.records {
                let (key, value) = record[1..].split_at(usize::from(record[0]));
                let key = String::from_utf8_lossy(key).into_owned();
                match value.is_empty() {
                    true => drop(keys.remove(&key)),
                    false => drop(keys.insert(key)),
                }
            }
        });
        keys
    }

    /// The partitions of a group with their members.
    pub fn owners(&self, group: &str) -> Vec<(u32, String)> {
        let mut groups = self.groups.lock().expect("no holder panics");
        let group = groups.entry(group.into()).or_default();
        group.lapse(PARTS);
        group.rows().map(|(part, member)| (part, member.to_string())).collect()
    }

    /// A member joins a group and leaves it again at once, as one does that came too late; true if that dealt a
    /// partition away from its holder.
    pub fn visit(&self, group: &str, member: &str, part: u32) -> bool {
        let mut groups = self.groups.lock().expect("no holder panics");
        let group = groups.entry(group.into()).or_default();
        let holder = group.rows().find(|(p, _)| *p == part).map(|(_, m)| m.to_string());
        group.join(member, Duration::from_secs(1), PARTS, 0);
        group.leave(member, PARTS);
        holder.is_some_and(|holder| !group.held(&holder).contains(&part))
    }

    /// The member that a partition of a group is told to when it joins.
    pub fn holds(&self, group: &str, part: u32) -> Option<String> {
        let mut groups = self.groups.lock().expect("no holder panics");
        let group = groups.entry(group.into()).or_default();
        let member = group.rows().find(|(p, _)| *p == part).map(|(_, m)| m.to_string())?;
        group.held(&member).contains(&part).then_some(member)
    }

    /// Takes a partition from its holder without a word, as a rebalance does.
    pub fn rebalance(&self, group: &str) {
        if let Some(group) = self.groups.lock().expect("no holder panics").get_mut(group) {
            group.forget();
        }
    }

    /// Answers a call.
    pub async fn handle(&self, ask: Ask) -> Answer {
        *self.calls.lock().expect("no holder panics").entry(ask.path.clone()).or_default() += 1;
        let mode = *self.mode.lock().expect("no holder panics");
        match mode {
            StoreMode::Away => return text(503, "the store is away"),
            StoreMode::Silent => std::future::pending::<()>().await,
            _ => {}
        }
        match ask.path.as_str() {
            "/api/log-append" => {
                if let StoreMode::Slow(each) = mode {
                    let _turn = self.turn.lock().await;
                    sleep(each).await;
                }
                let answer = self.append(&ask);
                if mode == StoreMode::Lose {
                    std::future::pending::<()>().await;
                }
                answer
            }
            "/api/log-read" => {
                self.wait(&ask).await;
                self.read(&ask).await
            }
            "/api/log-newest" => {
                self.wait(&ask).await;
                self.newest(&ask)
            }
            "/api/log-join" => self.join(&ask),
            "/api/log-leave" => self.leave(&ask),
            "/api/log-owners" => self.told_owners(&ask),
            _ => text(404, "the store has no such call"),
        }
    }

    /// Waits as long as readers of the topic have to.
    async fn wait(&self, ask: &Ask) {
        let topic = ask.param("topic").unwrap_or_default();
        let wait = self.delays.lock().expect("no holder panics").get(topic).copied();
        sleep(wait.unwrap_or_default()).await;
    }

    fn append(&self, ask: &Ask) -> Answer {
        let Ok(records) = unframe(ask.body.clone()) else {
            return text(400, "the body is torn");
        };
        let writer = ask.param("producer").map(|name| Writer {
            name: name.into(),
            epoch: number(ask, "epoch"),
            call: number(ask, "call_seq"),
        });
        let shut = self.shut_until(ask);
        if writer.as_ref().is_some_and(|w| shut.is_some_and(|epoch| w.epoch <= epoch)) {
            return text(503, "the store turns this writer away");
        }
        let done = self.at(ask, |part| part.append(writer, records));
        self.grown.notify_waiters();
        match done {
            Ok((offset, end)) => json(&json!({ "offset": offset, "end": end })),
            Err(Refusal::Fenced) => conflict(&json!({ "reason": "fenced" })),
            Err(Refusal::Sequence(wanted)) => {
                conflict(&json!({ "reason": "seq", "call_seq": wanted }))
            }
        }
    }

    /// Up to which epoch writers of the topic are turned away.
    fn shut_until(&self, ask: &Ask) -> Option<u64> {
        let topic = ask.param("topic").unwrap_or_default();
        self.shut.lock().expect("no holder panics").get(topic).copied()
    }

    async fn read(&self, ask: &Ask) -> Answer {
        let from = number(ask, "from") as usize;
        let wait = Duration::from_millis(number(ask, "wait_ms")).min(LONGEST);
        let end = Instant::now() + wait;
        loop {
            let grown = self.grown.notified();
            let (records, first, last) = self.at(ask, |part| {
                let records = part.records.get(from..).unwrap_or_default().to_vec();
                (records, part.first, part.records.len() as u64)
            });
            if from < first {
                let gone = json!({ "first": first }).to_string().into_bytes();
                return answer(410, "application/json", gone);
            }
            let left = end.saturating_duration_since(Instant::now());
            if !records.is_empty() || left.is_zero() {
                let mut body = bytes::BytesMut::new();
                body.extend(last.to_be_bytes());
                body.extend((first as u64).to_be_bytes());
                records.iter().for_each(|r| frame(&mut body, r));
                return answer(200, "application/octet-stream", body.to_vec());
            }
            let _ = timeout(left, grown).await;
        }
    }

    fn newest(&self, ask: &Ask) -> Answer {
        let after = ask.param("after").unwrap_or_default().to_string();
        self.at(ask, |part| {
            let mut newest = BTreeMap::new();
            for (offset, record) in part.records.iter().enumerate() {
                let Ok(framed) = unframe_keyed(record.clone()) else {
                    continue;
                };
                newest.insert(framed.key, (offset, framed.value));
            }
            newest.retain(|key, (_, value)| !value.is_empty() && *key > after);
            // Short pages, so that callers meet more than one.
            let more = newest.len() > 50;
            let items: Vec<_> = newest
                .into_iter()
                .take(50)
                .map(|(key, (offset, value))| {
                    json!({ "key": key, "value": STANDARD.encode(&value), "offset": offset })
                })
                .collect();
            json(&json!({ "items": items, "more": more, "end": part.records.len() }))
        })
    }

    fn join(&self, ask: &Ask) -> Answer {
        let Ok(join) = serde_json::from_slice::<Join>(&ask.body) else {
            return text(400, "no join");
        };
        let mut groups = self.groups.lock().expect("no holder panics");
        let group = groups.entry(join.group).or_default();
        let ttl = Duration::from_millis(join.ttl_ms);
        group.join(&join.member, ttl, PARTS, join.generation);
        let topic = join.topics.first().cloned().unwrap_or_default();
        let parts = group.held(&join.member).into_iter().map(|part| json!([topic, part, 0]));
        let parts: Vec<_> = parts.collect();
        json(&json!({ "generation": group.generation(), "ttl_ms": join.ttl_ms, "parts": parts }))
    }

    fn leave(&self, ask: &Ask) -> Answer {
        let Ok(leave) = serde_json::from_slice::<Leave>(&ask.body) else {
            return text(400, "no leave");
        };
        let mut groups = self.groups.lock().expect("no holder panics");
        groups.entry(leave.group).or_default().leave(&leave.member, PARTS);
        json(&json!({}))
    }

    fn told_owners(&self, ask: &Ask) -> Answer {
        let rows = self.owners(ask.param("group").unwrap_or_default());
        let rows = rows.into_iter().map(|(part, member)| json!(["t", part, member, 0]));
        json(&json!({ "owners": rows.collect::<Vec<_>>() }))
    }

    fn at<T>(&self, ask: &Ask, f: impl FnOnce(&mut Part) -> T) -> T {
        let topic = ask.param("topic").unwrap_or_default().to_string();
        self.part(&topic, number(ask, "part") as u32, f)
    }

    fn part<T>(&self, topic: &str, part: u32, f: impl FnOnce(&mut Part) -> T) -> T {
        let mut parts = self.parts.lock().expect("no holder panics");
        f(parts.entry((topic.into(), part)).or_default())
    }
}

/// A record with a key, as it lies in a topic.
fn keyed(key: &str, value: &[u8]) -> Bytes {
    let mut record = vec![key.len() as u8];
    record.extend(key.as_bytes());
    record.extend(value);
    record.into()
}

fn number(ask: &Ask, key: &str) -> u64 {
    ask.param(key).and_then(|v| v.parse().ok()).unwrap_or_default()
}

fn conflict(value: &serde_json::Value) -> Answer {
    answer(409, "application/json", value.to_string().into_bytes())
}
