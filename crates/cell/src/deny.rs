//! Why the fold turns a command down.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a command changed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Deny {
    /// It landed after its own deadline.
    #[display("it landed after its deadline")]
    Expired,
    /// The same batch was folded before.
    #[display("the batch was folded before")]
    Repeated,
    /// The hosts are already named.
    #[display("the hosts are already named")]
    Named,
    /// No such worker, job, task, gate or unit.
    #[display("there is no such thing")]
    Missing,
    /// It is about an earlier life, version or attempt.
    #[display("it is about an earlier life, version or attempt")]
    Old,
    /// The task is not in a state that allows it.
    #[display("the task's state does not allow it")]
    State,
    /// The task waits after a failure.
    #[display("the task waits after a failure")]
    Backoff,
    /// The worker has no room for it.
    #[display("the worker has no room")]
    Room,
    /// The worker or gate is suspected, lapsed or gone.
    #[display("the holder is not up")]
    Down,
    /// The worker is set aside after failures.
    #[display("the worker is set aside")]
    Aside,
    /// Another gate keeps the unit.
    #[display("another gate keeps the unit")]
    Kept,
    /// Leases may still be running.
    #[display("leases may still be running")]
    Early,
    /// No majority of the hosts promised.
    #[display("no majority of the hosts promised")]
    Minority,
}
