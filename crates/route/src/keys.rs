//! Idempotency keys, so that a request that is unsafe to repeat runs at most once.
//!
//! Each bucket of keys has one coordinator at a time, which has every key that it accepted since it
//! took over. An older key that it doesn't have may have run under an earlier coordinator: its
//! outcome is unknown and it is not run again. The time of issue is part of the key (UUID version
//! 7). A coordinator accepts a key only if its time is at most [`MAX_SKEW`] ahead of the
//! coordinator's own clock, so a key that an earlier coordinator accepted is never newer than the
//! end of that coordinator's term plus a margin.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use myrtle_base::{Kind, Millis};

/// Number of buckets over which the keys are spread.
const BUCKETS: u16 = 32;

/// How far a key's time may be ahead of the coordinator's clock.
pub const MAX_SKEW: Millis = Millis(1_000);

/// How far keys of an earlier coordinator may be ahead of the log's clock: the skew, and the
/// difference between the clocks of hosts and log.
const CLOCK_MARGIN: Millis = Millis(2_000);

/// How long a key is kept; the outcome of an older one is unknown.
const RETENTION: Millis = Millis(10 * 60 * 1000);

/// The largest answer that is kept for repeats, in bytes.
const MAX_BODY: usize = 16 << 10;

/// The most keys in one bucket.
const MAX_KEYS: usize = 50_000;

/// The bucket of a key.
pub fn bucket_of(key: &Uuid) -> u16 {
    key.as_bytes()[15] as u16 % BUCKETS
}

/// When a version 7 key was issued, by the caller's clock; nothing for other versions.
pub fn issued_at(key: &Uuid) -> Option<Millis> {
    let time = key.get_timestamp().filter(|_| key.get_version_num() == 7)?;
    let (seconds, nanos) = time.to_unix();
    Some(Millis(seconds * 1000 + u64::from(nanos) / 1_000_000))
}

/// An answer that is kept for repeats of its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// The state of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// A gate runs the request and has not reported its end.
    Running {
        /// The hash of the request.
        hash: u64,
        /// The number that the gate that runs it uses for this request.
        runner: u64,
    },
    /// The upstream answered, and the answer is kept.
    Ended {
        /// The hash of the request.
        hash: u64,
        /// The answer.
        saved: SavedAnswer,
    },
    /// The upstream answered; the answer is too large to keep.
    NotKept {
        /// The hash of the request.
        hash: u64,
    },
    /// The outcome is unknown.
    Unknown {
        /// The hash of the request.
        hash: u64,
    },
}

/// What the gate that received a request must do with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// Run it once and report its end.
    Run,
    /// Don't run it again; send this answer.
    Replay(SavedAnswer),
    /// Don't run it; refuse it as this kind.
    Refuse(Kind),
}

/// The keys of one bucket.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    keys: BTreeMap<Uuid, KeyState>,
    order: VecDeque<Uuid>,
    /// Keys issued up to this time may have been removed.
    removed_until: Millis,
}

/// The buckets that one gate coordinates.
#[derive(Debug, Default)]
pub struct KeyTable {
    buckets: BTreeMap<u16, Bucket>,
}

impl KeyState {
    fn hash(&self) -> u64 {
        match self {
            KeyState::Running { hash, .. }
            | KeyState::Ended { hash, .. }
            | KeyState::NotKept { hash }
            | KeyState::Unknown { hash } => *hash,
        }
    }
}

impl Bucket {
    /// An empty bucket; keys issued up to a margin after `since` may have run under an earlier
    /// coordinator.
    pub fn since(since: Millis) -> Self {
        Self { removed_until: since + CLOCK_MARGIN, ..Self::default() }
    }

    /// Decides whether a request with a key runs; `now` is wall time.
    ///
    /// `runner` is a number that the asking gate uses for this request only: a gate that asks again
    /// since the reply was lost has not run the request, and still may.
    pub fn begin(&mut self, key: Uuid, hash: u64, runner: u64, now: Millis) -> Decision {
        let Some(issued) = issued_at(&key) else { return Decision::Refuse(Kind::BadKey) };
        if issued > now + MAX_SKEW {
            return Decision::Refuse(Kind::BadKey);
        }
        if let Some(state) = self.keys.get(&key) {
            return decide_repeat(state, hash, runner);
        }
        self.evict(now);
        if issued <= self.removed_until {
            return Decision::Refuse(Kind::Unknown);
        }
        self.keys.insert(key, KeyState::Running { hash, runner });
        self.order.push_back(key);
        Decision::Run
    }

    /// Records that the upstream answered.
    pub fn ended(&mut self, key: &Uuid, saved: SavedAnswer) {
        let Some(state) = self.keys.get_mut(key) else { return };
        let hash = state.hash();
        let small = saved.body.len() <= MAX_BODY;
        *state = if small { KeyState::Ended { hash, saved } } else { KeyState::NotKept { hash } };
    }

    /// Records that it is unknown whether an upstream ran the request.
    pub fn unknown(&mut self, key: &Uuid) {
        if let Some(state) = self.keys.get_mut(key) {
            *state = KeyState::Unknown { hash: state.hash() };
        }
    }

    /// Records that no upstream received the request, so that a repeat may run.
    pub fn not_run(&mut self, key: &Uuid) {
        if let Some(KeyState::Running { .. }) = self.keys.get(key) {
            self.keys.remove(key);
            self.order.retain(|k| k != key);
        }
    }

    /// Removes old keys, and the oldest of too many; keys of their age then count as unknown.
    fn evict(&mut self, now: Millis) {
        while let Some(oldest) = self.order.front() {
            let issued = issued_at(oldest).unwrap_or_default();
            if now.since(issued) < RETENTION && self.order.len() < MAX_KEYS {
                return;
            }
            self.removed_until = self.removed_until.max(issued);
            self.keys.remove(oldest);
            self.order.pop_front();
        }
    }
}

impl KeyTable {
    /// The numbers of all buckets.
    pub fn buckets() -> impl Iterator<Item = u16> {
        0..BUCKETS
    }

    /// Adds a bucket that this gate coordinates from now on.
    pub fn open(&mut self, no: u16, bucket: Bucket) {
        self.buckets.entry(no).or_insert(bucket);
    }

    /// The bucket of that number, if this gate coordinates it.
    pub fn bucket(&mut self, no: u16) -> Option<&mut Bucket> {
        self.buckets.get_mut(&no)
    }

    /// Removes a bucket and returns it.
    pub fn close(&mut self, no: u16) -> Option<Bucket> {
        self.buckets.remove(&no)
    }

    /// Removes all buckets.
    pub fn clear(&mut self) {
        self.buckets.clear();
    }
}

fn decide_repeat(state: &KeyState, hash: u64, runner: u64) -> Decision {
    if state.hash() != hash {
        return Decision::Refuse(Kind::KeyReused);
    }
    match state {
        KeyState::Running { runner: h, .. } if *h == runner => Decision::Run,
        KeyState::Running { .. } => Decision::Refuse(Kind::Running),
        KeyState::Ended { saved, .. } => Decision::Replay(saved.clone()),
        KeyState::NotKept { .. } => Decision::Refuse(Kind::NotKept),
        KeyState::Unknown { .. } => Decision::Refuse(Kind::Unknown),
    }
}
