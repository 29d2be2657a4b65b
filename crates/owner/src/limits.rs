//! Limits that a deployment sets for an owner.

/// Limits from the deployment's settings, in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// The longest lease that a worker grants.
    pub hold: u64,
    /// The longest time that a stop may take.
    pub stop: u64,
    /// The shortest time for which a serving task exceeds its target before fillers are throttled.
    pub harm: u64,
    /// The time for which the state of a finished job is kept.
    pub status: u64,
}

impl Default for Bounds {
    /// The limits of the first deployments.
    fn default() -> Self {
        Self { hold: 10_000, stop: 900, harm: 4_000, status: 120_000 }
    }
}
