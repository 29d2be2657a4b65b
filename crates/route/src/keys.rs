//! Idempotency keys: a request that is unsafe to repeat runs at most once.
//!
//! Each bucket of keys has one keeper at a time. The keeper knows every key issued after it took
//! over. A key issued before that, which it does not know, may have run under an earlier keeper:
//! its outcome is unknown and it is not run again. The time of issue is part of the key (UUID
//! version 7). A keeper accepts a key only if its time is at most [`MAX_SKEW`] ahead of the
//! keeper's own clock, so a key that an earlier keeper accepted is never newer than that keeper's
//! end and a margin.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use myrtle_base::{Kind, Millis};

/// Buckets that the keys are spread over.
const BUCKETS: u16 = 32;

/// How far a key's time may be ahead of the keeper's clock.
pub const MAX_SKEW: Millis = Millis(1_000);

/// How far keys of an earlier keeper may be ahead of the log's clock: the skew, and what the
/// clocks of hosts and log may differ by.
const MARGIN: Millis = Millis(2_000);

/// How long a key is known; an older one is answered as unknown.
const KEPT: Millis = Millis(10 * 60 * 1000);

/// The largest answer that is kept for repeats, in bytes.
const MAX_SAVED: usize = 16 << 10;

/// Keys that one bucket knows at most.
const MAX_KEYS: usize = 50_000;

/// The bucket of a key.
pub fn bucket_of(key: &Uuid) -> u16 {
    key.as_bytes()[15] as u16 % BUCKETS
}

/// When a version 7 key was issued, by the caller's clock; nothing for other versions.
pub fn issued(key: &Uuid) -> Option<Millis> {
    let time = key.get_timestamp().filter(|_| key.get_version_num() == 7)?;
    let (seconds, nanos) = time.to_unix();
    Some(Millis(seconds * 1000 + u64::from(nanos) / 1_000_000))
}

/// An answer kept for repeats of its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content: String,
    /// The body.
    pub body: Vec<u8>,
}

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A gate was told to run it and has not reported.
    Running {
        /// The hash of the request.
        hash: u64,
        /// The number by which the gate that runs it names itself.
        holder: u64,
    },
    /// It ended with an answer that is kept.
    Ended {
        /// The hash of the request.
        hash: u64,
        /// The answer.
        saved: Saved,
    },
    /// It ended; the answer is too large to keep.
    NotKept {
        /// The hash of the request.
        hash: u64,
    },
    /// Its outcome is unknown.
    Unknown {
        /// The hash of the request.
        hash: u64,
    },
}

/// What the gate that holds a request is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Begin {
    /// Run it, once; report its end.
    Run,
    /// It has run: give this answer.
    Replay(Saved),
    /// Do not run it: give this answer.
    Refuse(Kind),
}

/// The keys of one bucket.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    keys: BTreeMap<Uuid, Entry>,
    order: VecDeque<Uuid>,
    /// Keys issued up to this time may have been dropped.
    floor: Millis,
}

/// The buckets that one gate keeps.
#[derive(Debug, Default)]
pub struct KeyTable {
    buckets: BTreeMap<u16, Bucket>,
}

impl Entry {
    fn hash(&self) -> u64 {
        match self {
            Entry::Running { hash, .. }
            | Entry::Ended { hash, .. }
            | Entry::NotKept { hash }
            | Entry::Unknown { hash } => *hash,
        }
    }
}

impl Bucket {
    /// An empty bucket; keys issued up to a margin after `since` may have run elsewhere.
    pub fn since(since: Millis) -> Self {
        Self { floor: since + MARGIN, ..Self::default() }
    }

    /// Decides on a request with a key; `now` is wall time.
    ///
    /// `holder` is a number that the asking gate uses for this request only: when an answer was
    /// lost and the gate asks again, it has not run the request and still may.
    pub fn begin(&mut self, key: Uuid, hash: u64, holder: u64, now: Millis) -> Begin {
        let Some(at) = issued(&key) else { return Begin::Refuse(Kind::BadKey) };
        if at > now + MAX_SKEW {
            return Begin::Refuse(Kind::BadKey);
        }
        if let Some(entry) = self.keys.get(&key) {
            return repeat(entry, hash, holder);
        }
        self.forget(now);
        if at <= self.floor {
            return Begin::Refuse(Kind::Unknown);
        }
        self.keys.insert(key, Entry::Running { hash, holder });
        self.order.push_back(key);
        Begin::Run
    }

    /// Notes that the upstream answered.
    pub fn ended(&mut self, key: &Uuid, saved: Saved) {
        let Some(entry) = self.keys.get_mut(key) else { return };
        let hash = entry.hash();
        let small = saved.body.len() <= MAX_SAVED;
        *entry = if small { Entry::Ended { hash, saved } } else { Entry::NotKept { hash } };
    }

    /// Notes that nobody knows whether the upstream ran it.
    pub fn unknown(&mut self, key: &Uuid) {
        if let Some(entry) = self.keys.get_mut(key) {
            *entry = Entry::Unknown { hash: entry.hash() };
        }
    }

    /// Notes that no upstream was given it, so that a repeat may run.
    pub fn not_run(&mut self, key: &Uuid) {
        if let Some(Entry::Running { .. }) = self.keys.get(key) {
            self.keys.remove(key);
            self.order.retain(|k| k != key);
        }
    }

    /// Drops the oldest keys; from then on all keys of their age count as unknown.
    fn forget(&mut self, now: Millis) {
        while let Some(oldest) = self.order.front() {
            let at = issued(oldest).unwrap_or_default();
            if now.since(at) < KEPT && self.order.len() < MAX_KEYS {
                return;
            }
            self.floor = self.floor.max(at);
            self.keys.remove(oldest);
            self.order.pop_front();
        }
    }
}

impl KeyTable {
    /// The number of every bucket.
    pub fn buckets() -> impl Iterator<Item = u16> {
        0..BUCKETS
    }

    /// Starts to keep a bucket with what is known of it.
    pub fn open(&mut self, no: u16, bucket: Bucket) {
        self.buckets.entry(no).or_insert(bucket);
    }

    /// The bucket of a key, if this gate keeps it.
    pub fn bucket(&mut self, no: u16) -> Option<&mut Bucket> {
        self.buckets.get_mut(&no)
    }

    /// Stops keeping a bucket and returns what is known of it.
    pub fn close(&mut self, no: u16) -> Option<Bucket> {
        self.buckets.remove(&no)
    }

    /// Stops keeping all buckets.
    pub fn clear(&mut self) {
        self.buckets.clear();
    }
}

fn repeat(entry: &Entry, hash: u64, holder: u64) -> Begin {
    if entry.hash() != hash {
        return Begin::Refuse(Kind::KeyReused);
    }
    match entry {
        Entry::Running { holder: h, .. } if *h == holder => Begin::Run,
        Entry::Running { .. } => Begin::Refuse(Kind::Running),
        Entry::Ended { saved, .. } => Begin::Replay(saved.clone()),
        Entry::NotKept { .. } => Begin::Refuse(Kind::NotKept),
        Entry::Unknown { .. } => Begin::Refuse(Kind::Unknown),
    }
}
