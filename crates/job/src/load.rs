//! How much of a cell lasting tasks have taken.

use serde::{Deserialize, Serialize};

/// How much of a cell lasting tasks have taken, in thousandths of a core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// What the tasks ask for, whether they run or wait.
    pub claimed: f64,
    /// What the workers have that are listed and not silent.
    pub size: f64,
}

impl Load {
    /// The share that is taken once `more` is asked for as well.
    pub fn share(&self, more: f64) -> f64 {
        (self.claimed + more) / self.size.max(1.0)
    }
}
