//! Leases: until when a subject may act, by its own clock.
//!
//! A host grants a lease on a log read that shows no suspicion. The end is counted from the
//! subject's own clock, which the subject reported before the grant, less the age of the read.
//! However long the host or a message is held up, the lease ends within [`LEASE`] of the read. A
//! suspicion that the read did not show is younger than the read, so [`LEASE`] and [`GUARD`]
//! after it no such lease runs any more.
//!
//! [`GUARD`]: myrtle_base::GUARD

use serde::{Deserialize, Serialize};

use myrtle_base::{LEASE, Millis};

/// When the log was last known to hold nothing beyond the fold, by the reader's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Read {
    /// When the read was sent.
    pub sent: Millis,
}

/// A lease for a subject, in the subject's own clock.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Grant {
    /// The subject's clock at which the lease ends.
    pub until: Millis,
}

impl Read {
    /// The lease for a subject whose clock showed `stamp` in a message that arrived at `arrived`.
    ///
    /// `arrived` is by the reader's clock. Returns nothing if the read is too old for a lease.
    pub fn grant(&self, stamp: Millis, arrived: Millis) -> Option<Grant> {
        let age = arrived.since(self.sent);
        (age < LEASE).then(|| Grant { until: stamp + LEASE - age })
    }
}
