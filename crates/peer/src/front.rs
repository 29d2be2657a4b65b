//! The calls between front hosts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use myrtle_job::{CellReport, JobId, Load, RunEnd, State};

/// The state of a job in a cell, as a host reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReport {
    /// The host does not own the cell.
    Elsewhere,
    /// The cell has no such job.
    Unknown,
    /// The job's state in the log.
    Job(State),
    /// The job was transferred to this cell.
    Moved(u32),
}

/// The result of forwarding a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Forwarded {
    /// The job is in the log.
    Kept,
    /// The job is certainly not in the log.
    Refused,
    /// The job may be in the log.
    Unknown,
}

impl Forwarded {
    /// Combines the results of two attempts to write the same job.
    pub fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::Kept, _) | (_, Self::Kept) => Self::Kept,
            (Self::Refused, Self::Refused) => Self::Refused,
            _ => Self::Unknown,
        }
    }
}

/// The service of a front host for other front hosts.
#[tarpc::service]
pub trait FrontPeer {
    /// Returns the state of a job from the cell's owner.
    async fn state(cell: u32, job: JobId) -> JobReport;

    /// Cancels a job; replies once the cancellation is in the log.
    async fn cancel(cell: u32, job: JobId) -> JobReport;

    /// The number of jobs of each queue that have not begun; nothing if the host does not own the
    /// cell.
    async fn pending(cell: u32) -> Option<BTreeMap<String, u64>>;

    /// Writes an accepted job for a host that the store refuses.
    async fn forward(cell: u32, job: JobId, record: Vec<u8>) -> Forwarded;

    /// Asks the owner of a cell that is too large for its host to release the cell.
    async fn release_cell(cell: u32);

    /// The load of a cell; nothing if the host does not own it.
    async fn load(cell: u32) -> Option<Load>;

    /// Describes a job for operators, in lines of text.
    async fn explain(cell: u32, job: JobId) -> Vec<String>;

    /// Whether the host owns a cell and reaches the store, so that it can write the jobs that were
    /// forwarded to it.
    async fn can_write(cell: u32) -> bool;

    /// Reports to the owner of a cell which ends of runs an earlier owner, with this fencing token,
    /// received and could not log; false if the host is no later owner, or has not read the log
    /// yet.
    async fn report_ends(cell: u32, fence: u64, ends: Vec<RunEnd>) -> bool;

    /// What a cell reports to others; nothing if the host does not own it.
    ///
    /// Hosts of earlier builds close a connection on which this is asked.
    async fn cell_report(cell: u32) -> Option<CellReport>;

    /// Whether a cell has room for a new job that takes so many bytes in its owner's memory; nothing
    /// if the host does not own the cell or has not read its log yet.
    ///
    /// Hosts of earlier builds close a connection on which this is asked.
    async fn admits(cell: u32, job: JobId, bytes: u64) -> Option<bool>;
}
