//! Time as a whole number of milliseconds.

use derive_more::{Add, AddAssign, Display, From, Sub, Sum};
use serde::{Deserialize, Serialize};

/// A point in time or a length of time in milliseconds.
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
    Add,
    AddAssign,
    Sub,
    Sum,
    Display,
    From,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
#[display("{_0} ms")]
pub struct Millis(pub u64);

impl Millis {
    /// The time since an earlier point, zero if that point is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// The same length as a [`std::time::Duration`].
    pub fn std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl From<std::time::Duration> for Millis {
    fn from(d: std::time::Duration) -> Self {
        Millis(d.as_millis() as u64)
    }
}
