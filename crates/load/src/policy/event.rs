//! The events of a simulation.

use std::time::Duration;

/// What happens next in a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrive,
    /// An attempt of the request with this id end at its upstream.
    End(u64, AttemptEnd),
    /// The request is hedged if this attempt is still its newest.
    Hedge(u64, u32),
    /// An attempt at a stalled upstream releases its slot.
    Abandon(u32),
}

/// An attempt at an upstream that ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptEnd {
    pub(super) upstream: u32,
    pub(super) since: Duration,
    pub(super) failed: bool,
}
