//! Transfers of a long-running job's tasks between cells, and the keys of a cell's job records.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Crashes, InvalidId, JobId, RecordError, Submission, TaskId, decode};

/// Separates the job from the sending cell in a transfer's key; needs no escaping in a query.
const TRANSFER_SEPARATOR: char = '_';

/// The same in the key of a recall.
const RECALL_SEPARATOR: char = '~';

/// The id of a transfer; each of its records is written once and never replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TransferId {
    /// The job.
    pub job: JobId,
    /// The cell that sends the tasks.
    pub from: u32,
    /// Counts that cell's outgoing transfers of the job, from 0.
    pub number: u32,
}

/// The key of a record in the jobs topic of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// A submitted job.
    Job(JobId),
    /// Tasks transferred from another cell.
    Transfer(TransferId),
    /// A recall: the notice that the job of such tasks is over.
    Recall(TransferId),
}

/// Transferred tasks with the data that the receiving cell needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transfer {
    /// The job as submitted.
    pub submission: Submission,
    /// The tasks.
    pub tasks: Vec<TransferredTask>,
    /// The share of each step's disruption budget that goes to the receiving cell.
    pub budgets: Vec<StepBudget>,
    /// The worker losses under the tasks.
    pub crashes: Vec<(TaskId, Crashes)>,
    /// How many of them are of runs that are not known to have begun.
    pub unbegun_losses: Vec<(TaskId, u8)>,
}

/// A cell's share of a step's disruption budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepBudget {
    /// The step.
    pub step: u16,
    /// How many tasks may be unavailable at once.
    pub limit: u16,
}

/// The layout without the losses of runs that are not known to have begun.
#[derive(Debug, Deserialize)]
struct WithoutUnbegunLosses {
    submission: Submission,
    tasks: Vec<TransferredTask>,
    budgets: Vec<StepBudget>,
    crashes: Vec<(TaskId, Crashes)>,
}

/// The layout without worker crashes.
#[derive(Debug, Deserialize)]
struct WithoutCrashes {
    submission: Submission,
    tasks: Vec<TransferredTask>,
    budgets: Vec<StepBudget>,
}

/// The layout without worker crashes and disruption budgets.
#[derive(Debug, Deserialize)]
struct WithoutBudgets {
    submission: Submission,
    tasks: Vec<TransferredTask>,
}

impl Transfer {
    /// Reads a record in the current or an earlier layout.
    ///
    /// # Errors
    ///
    /// The bytes are no transfer in any layout; the error is that of the current one.
    pub fn read(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes).or_else(|e| {
            let without_unbegun_losses = decode::<WithoutUnbegunLosses>(bytes).map(Self::from);
            let without_crashes = || decode::<WithoutCrashes>(bytes).map(Self::from);
            let without_budgets = || decode::<WithoutBudgets>(bytes).map(Self::from);
            without_unbegun_losses
                .or_else(|_| without_crashes())
                .or_else(|_| without_budgets())
                .map_err(|_| e)
        })
    }
}

impl From<WithoutUnbegunLosses> for Transfer {
    fn from(old: WithoutUnbegunLosses) -> Self {
        let WithoutUnbegunLosses { submission, tasks, budgets, crashes } = old;
        Self { submission, tasks, budgets, crashes, unbegun_losses: Vec::new() }
    }
}

impl From<WithoutCrashes> for Transfer {
    fn from(old: WithoutCrashes) -> Self {
        let WithoutCrashes { submission, tasks, budgets } = old;
        let (crashes, unbegun_losses) = (Vec::new(), Vec::new());
        Self { submission, tasks, budgets, crashes, unbegun_losses }
    }
}

impl From<WithoutBudgets> for Transfer {
    fn from(old: WithoutBudgets) -> Self {
        let WithoutBudgets { submission, tasks } = old;
        let (crashes, unbegun_losses) = (Vec::new(), Vec::new());
        Self { submission, tasks, budgets: Vec::new(), crashes, unbegun_losses }
    }
}

/// A task that continues in another cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferredTask {
    /// The task.
    pub task: TaskId,
    /// The highest assigned run number.
    pub last_run: u32,
    /// The newest checkpoint, empty if there is none.
    pub checkpoint: String,
}

impl Key {
    /// The job that the record is about.
    pub fn job(self) -> JobId {
        match self {
            Self::Job(job) => job,
            Self::Transfer(transfer) | Self::Recall(transfer) => transfer.job,
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (separator, TransferId { job, from, number }) = match self {
            Self::Job(job) => return job.fmt(f),
            Self::Transfer(transfer) => (TRANSFER_SEPARATOR, transfer),
            Self::Recall(transfer) => (RECALL_SEPARATOR, transfer),
        };
        write!(f, "{job}{separator}{from}.{number}")
    }
}

impl FromStr for Key {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let Some((job, rest)) = text.split_once([TRANSFER_SEPARATOR, RECALL_SEPARATOR]) else {
            return text.parse().map(Self::Job);
        };
        let invalid = || InvalidId::of(text);
        let (from, number) = rest.split_once('.').ok_or_else(invalid)?;
        let parse = |digits: &str| digits.parse().map_err(|_| invalid());
        let transfer = TransferId { job: job.parse()?, from: parse(from)?, number: parse(number)? };
        Ok(if text.contains(TRANSFER_SEPARATOR) {
            Self::Transfer(transfer)
        } else {
            Self::Recall(transfer)
        })
    }
}
