//! The stand-in for the platform's metadata store, with partitioned topics, the newest records by key and groups.

mod group;
mod topic;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use myrtle_adapter::{frame, unframe, unframe_keyed};
use myrtle_platform::{HttpRequest, Reply, json, reply, text};

use group::Group;
use topic::{Partition, Refusal, Writer};

/// The number of partitions of a topic, as on the users' platform.
const PARTITIONS: u32 = 24;

/// The size from which a page of a read ends, in bytes; pages are short so that callers need more than one.
const PAGE_BYTES: usize = 16 << 10;

/// The maximum wait of a read.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// The key of the delay of joins, beside those of topics.
pub const JOINS: &str = "log-join";

/// The behaviour of the store.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// It works normally.
    #[default]
    Ok,
    /// It refuses all calls without executing them.
    Away,
    /// It refuses all calls but appends and joins.
    NoReads,
    /// It neither executes calls nor replies.
    Silent,
    /// It executes calls but never replies to appends.
    Lose,
    /// It executes appends one at a time, each taking this long.
    Slow(Duration),
}

/// The stand-in for the metadata store.
#[derive(Debug, Default)]
pub struct Store {
    partitions: Mutex<HashMap<(String, u32), Partition>>,
    groups: Mutex<BTreeMap<String, Group>>,
    mode: Mutex<StoreMode>,
    appended: Notify,
    /// Serializes appends while the store is slow.
    append_lock: tokio::sync::Mutex<()>,
    calls: Mutex<BTreeMap<String, u64>>,
    /// The number of joins that wait for their delay.
    waiting_joins: AtomicUsize,
    /// The number of appends by topic.
    appends: Mutex<BTreeMap<String, u64>>,
    /// The delay of reads by topic.
    delays: Mutex<BTreeMap<String, Duration>>,
    /// The highest epoch whose writers are rejected, by topic.
    rejected: Mutex<BTreeMap<String, u64>>,
    /// Topics that refuse all appends.
    refusing: Mutex<BTreeSet<String>>,
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
    /// Changes the behaviour.
    pub fn set(&self, mode: StoreMode) {
        *self.mode.lock().expect("no holder panics") = mode;
    }

    /// Delays all reads of a topic by `wait`.
    pub fn delay(&self, topic: &str, wait: Duration) {
        self.delays.lock().expect("no holder panics").insert(topic.into(), wait);
    }

    /// Rejects the writers of a topic up to `epoch` and serves later ones.
    pub fn reject_writers(&self, topic: &str, epoch: u64) {
        self.rejected.lock().expect("no holder panics").insert(topic.into(), epoch);
    }

    /// Sets whether a topic refuses all appends without executing them, as while its partitions are down.
    pub fn refuse_appends(&self, topic: &str, refuses: bool) {
        let mut refusing = self.refusing.lock().expect("no holder panics");
        match refuses {
            true => refusing.insert(topic.into()),
            false => refusing.remove(topic),
        };
    }

    /// The number of calls by path.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.calls.lock().expect("no holder panics").clone()
    }

    /// The number of appends by topic.
    pub fn appends(&self) -> BTreeMap<String, u64> {
        self.appends.lock().expect("no holder panics").clone()
    }

    /// Writes a record of a keyed topic, as the operator and the workers do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let record = keyed(key, value);
        self.partition(topic, 0, |partition| partition.records.push(record));
        self.appended.notify_waiters();
    }

    /// Writes a record and deletes the topic's history including it, so that readers find it only among the newest
    /// records.
    pub fn put_compacted(&self, topic: &str, key: &str, value: &[u8]) {
        let record = keyed(key, value);
        self.partition(topic, 0, |partition| {
            partition.records.push(record);
            partition.first = partition.records.len();
        });
        self.appended.notify_waiters();
    }

    /// The keys in a topic's first partition that have a value.
    pub fn keys(&self, topic: &str) -> BTreeSet<String> {
        self.newest_values(topic).into_keys().collect()
    }

    /// The newest value of a key in a topic's first partition.
    pub fn value(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        self.newest_values(topic).remove(key)
    }

    fn newest_values(&self, topic: &str) -> BTreeMap<String, Vec<u8>> {
        let mut values = BTreeMap::new();
        self.partition(topic, 0, |partition| {
            for record in &partition.records {
                let (key, value) = record[1..].split_at(usize::from(record[0]));
                let key = String::from_utf8_lossy(key).into_owned();
                match value.is_empty() {
                    true => drop(values.remove(&key)),
                    false => drop(values.insert(key, value.to_vec())),
                }
            }
        });
        values
    }

    /// The partitions of a group with their members.
    pub fn owners(&self, group: &str) -> Vec<(u32, String)> {
        let mut groups = self.groups.lock().expect("no holder panics");
        let group = groups.entry(group.into()).or_default();
        group.expire(PARTITIONS);
        group.rows().map(|(partition, member)| (partition, member.to_string())).collect()
    }

    /// The number of joins that wait for their delay.
    pub fn waiting_joins(&self) -> usize {
        self.waiting_joins.load(Ordering::Relaxed)
    }

    /// Lets a member join a group and leave at once, as one that arrives late does; returns whether that took
    /// `partition` from its previous member.
    pub fn join_briefly(&self, group: &str, member: &str, partition: u32) -> bool {
        let mut groups = self.groups.lock().expect("no holder panics");
        let group = groups.entry(group.into()).or_default();
        let previous = group.rows().find(|(p, _)| *p == partition).map(|(_, m)| m.to_string());
        group.join(member, Duration::from_secs(1), PARTITIONS, 0);
        group.leave(member, PARTITIONS);
        previous.is_some_and(|previous| !group.partitions(&previous).contains(&partition))
    }

    /// The member that receives a partition of a group when it joins.
    pub fn assignee(&self, group: &str, partition: u32) -> Option<String> {
        let mut groups = self.groups.lock().expect("no holder panics");
        let group = groups.entry(group.into()).or_default();
        let member = group.rows().find(|(p, _)| *p == partition).map(|(_, m)| m.to_string())?;
        group.partitions(&member).contains(&partition).then_some(member)
    }

    /// Removes all members of a group without notice, as a rebalance does.
    pub fn clear_group(&self, group: &str) {
        if let Some(group) = self.groups.lock().expect("no holder panics").get_mut(group) {
            group.clear();
        }
    }

    /// Handles a request.
    pub async fn handle(&self, ask: HttpRequest) -> Reply {
        *self.calls.lock().expect("no holder panics").entry(ask.path.clone()).or_default() += 1;
        if ask.path == "/api/log-append"
            && let Some(topic) = ask.param("topic")
        {
            *self.appends.lock().expect("no holder panics").entry(topic.into()).or_default() += 1;
        }
        let mode = *self.mode.lock().expect("no holder panics");
        match mode {
            StoreMode::Away => return text(503, "store unavailable"),
            StoreMode::NoReads if !matches!(&*ask.path, "/api/log-append" | "/api/log-join") => {
                return text(503, "store unavailable");
            }
            StoreMode::Silent => std::future::pending::<()>().await,
            _ => {}
        }
        match ask.path.as_str() {
            "/api/log-append" => {
                if let StoreMode::Slow(each) = mode {
                    let _lock = self.append_lock.lock().await;
                    sleep(each).await;
                }
                let answer = self.append(&ask);
                if mode == StoreMode::Lose {
                    std::future::pending::<()>().await;
                }
                answer
            }
            "/api/log-read" => {
                self.delay_read(&ask).await;
                let answer = self.read(&ask).await;
                // A read that waited while the store went away is refused as well.
                match *self.mode.lock().expect("no holder panics") {
                    StoreMode::Away | StoreMode::NoReads => text(503, "store unavailable"),
                    _ => answer,
                }
            }
            "/api/log-newest" => {
                self.delay_read(&ask).await;
                self.newest(&ask)
            }
            "/api/log-join" => {
                self.waiting_joins.fetch_add(1, Ordering::Relaxed);
                self.wait_delay(JOINS).await;
                self.waiting_joins.fetch_sub(1, Ordering::Relaxed);
                self.join(&ask)
            }
            "/api/log-leave" => self.leave(&ask),
            "/api/log-owners" => self.list_owners(&ask),
            _ => text(404, "unknown path"),
        }
    }

    /// Waits for the delay of reads of the topic.
    async fn delay_read(&self, ask: &HttpRequest) {
        self.wait_delay(ask.param("topic").unwrap_or_default()).await;
    }

    /// Waits for the delay of calls of a kind.
    async fn wait_delay(&self, key: &str) {
        let wait = self.delays.lock().expect("no holder panics").get(key).copied();
        sleep(wait.unwrap_or_default()).await;
    }

    fn append(&self, ask: &HttpRequest) -> Reply {
        let Ok(records) = unframe(ask.body.clone()) else {
            return text(400, "body truncated within a record");
        };
        let writer = ask.param("producer").map(|name| Writer {
            name: name.into(),
            epoch: number(ask, "epoch"),
            call: number(ask, "call_seq"),
        });
        let topic = ask.param("topic").unwrap_or_default();
        if self.refusing.lock().expect("no holder panics").contains(topic) {
            return text(503, "partition unavailable");
        }
        let rejected = self.rejected_epoch(ask);
        if writer.as_ref().is_some_and(|w| rejected.is_some_and(|epoch| w.epoch <= epoch)) {
            return text(503, "writer rejected");
        }
        let done = self.with_partition(ask, |partition| partition.append(writer, records));
        self.appended.notify_waiters();
        match done {
            Ok((offset, end)) => json(&json!({ "offset": offset, "end": end })),
            Err(Refusal::Fenced) => conflict(&json!({ "reason": "fenced" })),
            Err(Refusal::Sequence(expected)) => {
                conflict(&json!({ "reason": "seq", "call_seq": expected }))
            }
        }
    }

    /// The highest epoch whose writers of the topic are rejected.
    fn rejected_epoch(&self, ask: &HttpRequest) -> Option<u64> {
        let topic = ask.param("topic").unwrap_or_default();
        self.rejected.lock().expect("no holder panics").get(topic).copied()
    }

    async fn read(&self, ask: &HttpRequest) -> Reply {
        let from = number(ask, "from") as usize;
        let wait = Duration::from_millis(number(ask, "wait_ms")).min(MAX_WAIT);
        let end = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            let (records, first, last) = self.with_partition(ask, |partition| {
                let records = partition.records.get(from..).unwrap_or_default().to_vec();
                (records, partition.first, partition.records.len() as u64)
            });
            if from < first {
                let gone = json!({ "first": first }).to_string().into_bytes();
                return reply(410, "application/json", gone);
            }
            let left = end.saturating_duration_since(Instant::now());
            if !records.is_empty() || left.is_zero() {
                let mut body = bytes::BytesMut::new();
                body.extend(last.to_be_bytes());
                body.extend((first as u64).to_be_bytes());
                for record in &records {
                    if body.len() >= PAGE_BYTES {
                        break;
                    }
                    frame(&mut body, record);
                }
                return reply(200, "application/octet-stream", body.to_vec());
            }
            let _ = timeout(left, appended).await;
        }
    }

    fn newest(&self, ask: &HttpRequest) -> Reply {
        let after = ask.param("after").unwrap_or_default().to_string();
        self.with_partition(ask, |partition| {
            let mut newest = BTreeMap::new();
            for (offset, record) in partition.records.iter().enumerate() {
                let Ok(framed) = unframe_keyed(record.clone()) else {
                    continue;
                };
                newest.insert(framed.key, (offset, framed.value));
            }
            newest.retain(|key, (_, value)| !value.is_empty() && *key > after);
            // Pages are short so that callers need more than one.
            let more = newest.len() > 50;
            let items: Vec<_> = newest
                .into_iter()
                .take(50)
                .map(|(key, (offset, value))| {
                    json!({ "key": key, "value": STANDARD.encode(&value), "offset": offset })
                })
                .collect();
            json(&json!({ "items": items, "more": more, "end": partition.records.len() }))
        })
    }

    fn join(&self, ask: &HttpRequest) -> Reply {
        let Ok(join) = serde_json::from_slice::<Join>(&ask.body) else {
            return text(400, "malformed join");
        };
        let mut groups = self.groups.lock().expect("no holder panics");
        let group = groups.entry(join.group).or_default();
        let ttl = Duration::from_millis(join.ttl_ms);
        group.join(&join.member, ttl, PARTITIONS, join.generation);
        let topic = join.topics.first().cloned().unwrap_or_default();
        let parts = group
            .partitions(&join.member)
            .into_iter()
            .map(|partition| json!([topic, partition, 0]));
        let parts: Vec<_> = parts.collect();
        json(&json!({ "generation": group.generation(), "ttl_ms": join.ttl_ms, "parts": parts }))
    }

    fn leave(&self, ask: &HttpRequest) -> Reply {
        let Ok(leave) = serde_json::from_slice::<Leave>(&ask.body) else {
            return text(400, "malformed leave");
        };
        let mut groups = self.groups.lock().expect("no holder panics");
        groups.entry(leave.group).or_default().leave(&leave.member, PARTITIONS);
        json(&json!({}))
    }

    fn list_owners(&self, ask: &HttpRequest) -> Reply {
        let rows = self.owners(ask.param("group").unwrap_or_default());
        let rows = rows.into_iter().map(|(partition, member)| json!(["t", partition, member, 0]));
        json(&json!({ "owners": rows.collect::<Vec<_>>() }))
    }

    fn with_partition<T>(&self, ask: &HttpRequest, f: impl FnOnce(&mut Partition) -> T) -> T {
        let topic = ask.param("topic").unwrap_or_default().to_string();
        self.partition(&topic, number(ask, "part") as u32, f)
    }

    fn partition<T>(&self, topic: &str, partition: u32, f: impl FnOnce(&mut Partition) -> T) -> T {
        let mut partitions = self.partitions.lock().expect("no holder panics");
        f(partitions.entry((topic.into(), partition)).or_default())
    }
}

/// Encodes a keyed record as stored in a topic.
fn keyed(key: &str, value: &[u8]) -> Bytes {
    let mut record = vec![key.len() as u8];
    record.extend(key.as_bytes());
    record.extend(value);
    record.into()
}

fn number(ask: &HttpRequest, key: &str) -> u64 {
    ask.param(key).and_then(|v| v.parse().ok()).unwrap_or_default()
}

fn conflict(value: &serde_json::Value) -> Reply {
    reply(409, "application/json", value.to_string().into_bytes())
}
