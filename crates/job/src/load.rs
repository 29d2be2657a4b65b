//! How much of a cell lasting tasks have taken, and what is free there.

use serde::{Deserialize, Serialize};

use myrtle_base::Room;

/// How much of a cell lasting tasks have taken, in thousandths of a core.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// What the tasks ask for, whether they run or wait.
    pub claimed: f64,
    /// What the workers have that are listed, not silent and not about to leave.
    pub size: f64,
    /// What is free on the workers that have most, for each service.
    pub free: Vec<Free>,
    /// The same for tasks that ran before: what waits and never ran has to leave them that room.
    pub again: Vec<Free>,
    /// The same once short tasks that should end soon have ended: a cell keeps that room for tasks that ran before.
    pub soon: Vec<Free>,
}

/// What is free on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Free {
    /// The service whose tasks the worker runs.
    pub service: String,
    /// What is free there.
    pub room: Room,
}

impl Load {
    /// How many workers of a service are told of: about what one cell hands on between two questions.
    pub const WORKERS: usize = 16;

    /// The share that is taken once `more` is asked for as well.
    pub fn share(&self, more: f64) -> f64 {
        (self.claimed + more) / self.size.max(1.0)
    }
}
