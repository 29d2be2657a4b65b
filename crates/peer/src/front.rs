//! What front hosts ask of each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use myrtle_job::{JobId, Load, RunEnd, State};

/// What a host says of a job in one of its cells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seen {
    /// The host does not own the cell.
    Elsewhere,
    /// The cell has no such job.
    Unknown,
    /// What the log holds of it.
    Job(State),
    /// Another cell looks after it.
    Moved(u32),
}

/// What came of a job that was passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Passed {
    /// It is in the log.
    Kept,
    /// It surely is not.
    Refused,
    /// It may be.
    Unknown,
}

impl Passed {
    /// What follows from two ways of writing the same job.
    pub fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::Kept, _) | (_, Self::Kept) => Self::Kept,
            (Self::Refused, Self::Refused) => Self::Refused,
            _ => Self::Unknown,
        }
    }
}

/// What a front host does for its peers.
#[tarpc::service]
pub trait FrontPeer {
    /// What the cell's owner knows of a job.
    async fn state(cell: u32, job: JobId) -> Seen;

    /// Takes a job back; answers once that is in the log.
    async fn cancel(cell: u32, job: JobId) -> Seen;

    /// How many jobs of each queue have not begun; nothing if the host does not own the cell.
    async fn pending(cell: u32) -> Option<BTreeMap<String, u64>>;

    /// Writes an accepted job for a host that the store turns away.
    async fn pass(cell: u32, job: JobId, record: Vec<u8>) -> Passed;

    /// Asks the owner of a cell that is too large for its host to give the cell up.
    async fn relieve(cell: u32);

    /// How full a cell is; nothing if the host does not own it.
    async fn load(cell: u32) -> Option<Load>;

    /// What the owner knows of a job, in lines for operators.
    async fn explain(cell: u32, job: JobId) -> Vec<String>;

    /// Whether the host owns a cell and reaches the store, so that what it was passed is on its way.
    async fn writes(cell: u32) -> bool;

    /// Tells the owner of a cell which ends an earlier one, under this fencing token, has heard and could not log;
    /// false if the host is no later owner, or has not read the log yet.
    async fn ended(cell: u32, fence: u64, ends: Vec<RunEnd>) -> bool;
}
