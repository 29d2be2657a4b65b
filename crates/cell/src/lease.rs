//! Leases: the times until which workers and gates may act, by their own clocks.
//!
//! A host grants a lease after a log read that shows no suspicion. The lease ends at the time that the holder's clock
//! showed in its last message plus [`LEASE`] minus the age of the read, so it ends within [`LEASE`] of the read
//! however long the host or a message is delayed. A suspicion that the read didn't show is newer than the read, so
//! [`LEASE`] plus [`GUARD`] after the suspicion no such lease runs any more.
//!
//! [`GUARD`]: myrtle_base::GUARD

use serde::{Deserialize, Serialize};

use myrtle_base::{LEASE, Millis};

/// A log read that confirmed the fold as up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LogRead {
    /// When the read was sent, by the reader's clock.
    pub sent_at: Millis,
}

/// A lease of a worker or gate.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Lease {
    /// When the lease ends, by the holder's clock.
    pub until: Millis,
}

impl LogRead {
    /// The lease of a holder whose clock showed `stamp` in a message that arrived at `arrived` by the reader's
    /// clock; none if the read is too old.
    pub fn grant(&self, stamp: Millis, arrived: Millis) -> Option<Lease> {
        let age = arrived.since(self.sent_at);
        (age < LEASE).then(|| Lease { until: stamp + LEASE - age })
    }
}
