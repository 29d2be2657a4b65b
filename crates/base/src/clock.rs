//! A hybrid logical clock: wall time that respects causal order.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The bits of a stamp that count events within one millisecond.
const COUNT_BITS: u32 = 16;

/// A point in causal order; of two related events the later has the larger stamp.
#[derive(
    Debug,
    Default,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    /// The wall time in milliseconds since 1970.
    pub fn millis(self) -> u64 {
        self.0 >> COUNT_BITS
    }
}

/// The hybrid logical clock of one process.
#[derive(Debug, Default)]
pub struct Clock {
    last: AtomicU64,
}

impl Clock {
    /// Returns the stamp of an event in this process or of an outgoing message.
    pub fn tick(&self) -> Stamp {
        let wall = wall_millis() << COUNT_BITS;
        let next = |last: u64| Some(wall.max(last + 1));
        let last = self.last.fetch_update(Ordering::AcqRel, Ordering::Acquire, next);
        Stamp(wall.max(last.unwrap_or_default() + 1))
    }

    /// Advances the clock to the stamp of a received message.
    pub fn advance(&self, stamp: Stamp) {
        self.last.fetch_max(stamp.0, Ordering::AcqRel);
    }
}

/// Wall time in milliseconds since 1970.
fn wall_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map(|d| d.as_millis() as u64).unwrap_or_default()
}
