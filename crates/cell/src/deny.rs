//! Reasons for the rejection of a command.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why the fold rejected a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Deny {
    /// The batch reached the log after its deadline.
    #[display("it landed after its deadline")]
    Expired,
    /// The batch was applied before.
    #[display("the batch was folded before")]
    Repeated,
    /// The voters are already set.
    #[display("the hosts are already named")]
    VotersSet,
    /// There is no such worker, job, task, gate or resource.
    #[display("there is no such thing")]
    Missing,
    /// The command is about an earlier incarnation, version or attempt.
    #[display("it is about an earlier life, version or attempt")]
    Outdated,
    /// The current state doesn't permit the command.
    #[display("the task's state does not allow it")]
    State,
    /// The task is in backoff after a failure.
    #[display("the task waits after a failure")]
    Backoff,
    /// The worker has too little free room.
    #[display("the worker has no room")]
    Room,
    /// The worker or gate is suspected or lapsed.
    #[display("the holder is not up")]
    Down,
    /// The worker is draining, or in backoff after failures.
    #[display("the worker is set aside")]
    Unavailable,
    /// Another gate coordinates the resource.
    #[display("another gate keeps the unit")]
    Assigned,
    /// Leases may still be running.
    #[display("leases may still be running")]
    Early,
    /// Fewer than a majority of the voters promised.
    #[display("no majority of the hosts promised")]
    Minority,
}
