//! Jobs of steps and tasks: their specifications, progress and stored records.

mod crashes;
mod fault;
mod id;
mod incarnation;
mod legacy;
mod load;
mod progress;
mod queue;
mod record;
mod spec;
mod task;
mod tasks;
mod transfer;
mod worker;

pub use crashes::{Crashes, Loss, UncountedLoss};
pub use fault::{Fault, MAX_JOB_TASKS, MAX_STEPS};
pub use id::{InvalidId, JobId, TaskId};
pub use incarnation::{Incarnation, Replacement};
pub use load::{FreeRoom, Load};
pub use progress::{
    IncomingTransfer, JobTransfer, OutgoingTransfer, Progress, Round, State, TaskGroup,
};
pub use queue::{CellReport, TaskQueue};
pub use record::{RecordError, Submission, decode, encode, encode_compressed};
pub use spec::{JobSpec, Policy, Repeat, StepSpec, TicketTimes};
pub use task::{Run, Step, Task};
pub use tasks::Tasks;
pub use transfer::{Key, StepBudget, Transfer, TransferId, TransferredTask};
pub use worker::{EndReason, EndedRun, Listing, OrderReply, RunEnd, Running, WorkerRuns};
