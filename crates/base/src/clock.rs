//! A hybrid logical clock: wall time that never runs against cause and effect.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Bits of a stamp that count events within one millisecond.
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
    /// The wall time part in milliseconds since 1970.
    pub fn millis(self) -> u64 {
        self.0 >> COUNT_BITS
    }
}

/// The clock of one process.
#[derive(Debug, Default)]
pub struct Clock {
    last: AtomicU64,
}

impl Clock {
    /// Stamps an event of this process, or a message that leaves it.
    pub fn tick(&self) -> Stamp {
        let wall = wall_millis() << COUNT_BITS;
        let step = |last: u64| Some(wall.max(last + 1));
        let last = self.last.fetch_update(Ordering::AcqRel, Ordering::Acquire, step);
        Stamp(wall.max(last.unwrap_or_default() + 1))
    }

    /// Takes in the stamp of a message that arrived.
    pub fn merge(&self, seen: Stamp) {
        self.last.fetch_max(seen.0, Ordering::AcqRel);
    }
}

/// Wall time in milliseconds since 1970.
fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|d| d.as_millis() as u64).unwrap_or_default()
}
