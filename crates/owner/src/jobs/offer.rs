//! Estimates when another cell has room for a task.

use crate::placing::reservation::HORIZON;

/// The time until a cell with room has started a transferred task, in milliseconds; until then the
/// other tasks of the step count it as unavailable.
const TRANSFER_DELAY: u64 = 4_000;

/// When another cell has room for a task; the earliest is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Offer {
    /// The room is free.
    Now,
    /// The room is free once short tasks have ended; the transferred task waits, and room is
    /// reserved for it.
    Soon,
}

impl Offer {
    /// The time until tasks transferred by the offer are running, in milliseconds.
    pub(crate) fn delay(self) -> u64 {
        match self {
            Self::Now => TRANSFER_DELAY,
            Self::Soon => HORIZON + TRANSFER_DELAY,
        }
    }
}
