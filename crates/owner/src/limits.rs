//! Limits that a deployment sets for an owner.

/// Limits from the deployment's settings, in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct TimeLimits {
    /// The longest lease that a worker grants.
    pub max_lease: u64,
    /// The longest time that a stop may take.
    pub max_stop: u64,
    /// The shortest time for which a serving task exceeds its target before fillers are throttled.
    pub throttle_after: u64,
    /// The time for which the state of a finished job is kept.
    pub status_ttl: u64,
}

impl Default for TimeLimits {
    /// The limits of the first deployments.
    fn default() -> Self {
        Self { max_lease: 10_000, max_stop: 900, throttle_after: 4_000, status_ttl: 120_000 }
    }
}
