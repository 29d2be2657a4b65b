//! What waits in a cell, by which cells choose where to transfer short jobs.

use serde::{Deserialize, Serialize};

use crate::Load;

/// Tasks that wait in a cell, and how fast it starts such tasks.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TaskQueue {
    /// The work that waits and may still be in time, in thousandths of a core times milliseconds.
    pub waiting: f64,
    /// The work that the cell starts in a millisecond, in the same units; 0 if nothing can start.
    pub rate: f64,
}

impl TaskQueue {
    /// The time until what waits, and `more` work, has been started, in milliseconds; infinite if nothing can start.
    pub fn delay(&self, more: f64) -> f64 {
        let work = self.waiting + more;
        if work <= 0.0 { 0.0 } else { work / self.rate }
    }
}

/// What a cell reports to others.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct CellReport {
    /// The load by long-running tasks, and free room.
    pub load: Load,
    /// The queue of short tasks that claim processors.
    pub short: TaskQueue,
    /// The queue of fillers.
    pub fillers: TaskQueue,
}
