//! When other cells have room for a task.

use crate::placing::booking::SOON;

/// How long it takes until a cell with room has started what is handed on to it, in milliseconds; until then the other
/// tasks of a step count that as away.
const UNDER_WAY: u64 = 4_000;

/// When another cell has room for a task; the earliest is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Offer {
    /// Now.
    Free,
    /// Once short tasks have ended; the task waits for that there, and what is short leaves the room to it.
    Soon,
}

impl Offer {
    /// How long it takes until tasks that go by the offer are at work, in milliseconds.
    pub(crate) fn takes(self) -> u64 {
        match self {
            Self::Free => UNDER_WAY,
            Self::Soon => SOON + UNDER_WAY,
        }
    }
}
