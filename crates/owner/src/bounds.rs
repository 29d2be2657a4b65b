//! Figures of a deployment that bind an owner.

/// What the deployment's settings say; milliseconds where nothing else is said.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// The longest lease that a worker grants.
    pub hold: u64,
    /// How long a stop may take.
    pub stop: u64,
    /// The shortest time that a serving task may be over its target before fillers must give way.
    pub harm: u64,
    /// How long the state of a job that is over is kept.
    pub status: u64,
}

impl Default for Bounds {
    /// The figures of the first deployments.
    fn default() -> Self {
        Self { hold: 10_000, stop: 900, harm: 4_000, status: 120_000 }
    }
}
