//! The load of a cell by long-running tasks and its free room, by which cells choose where to transfer tasks.

use serde::{Deserialize, Serialize};

use myrtle_base::Room;

/// The load of a cell by long-running tasks, in thousandths of a core, and its free room.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The claims of running and waiting long-running tasks.
    pub claimed: f64,
    /// The capacity of the listed workers that are neither silent nor about to leave.
    pub capacity: f64,
    /// The workers with the most free room, for each service.
    pub free: Vec<FreeRoom>,
    /// The same for tasks that ran before; waiting tasks that never ran must leave them this room.
    pub restart_free: Vec<FreeRoom>,
    /// The same after the expected end of short tasks; a cell reserves this room for tasks that ran before.
    pub soon_free: Vec<FreeRoom>,
}

/// The free room of one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreeRoom {
    /// The service whose tasks the worker runs.
    pub service: String,
    /// The free room.
    pub room: Room,
}

impl Load {
    /// The most workers listed for a service: about the number of tasks that a cell transfers between two queries.
    pub const MAX_WORKERS: usize = 16;

    /// The share of the capacity that is claimed after adding `more`, in thousandths of a core.
    pub fn share(&self, more: f64) -> f64 {
        (self.claimed + more) / self.capacity.max(1.0)
    }
}
