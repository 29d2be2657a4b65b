//! The fold of a cell's stream: commands in, state and verdicts out, without a clock or I/O.
//!
//! Every host that folds the same prefix has the same state, and the fold rejects commands that a host proposed on
//! an outdated state.

mod deny;
mod fold;
mod gates;
mod job;
mod lease;
mod op;
mod promise;
mod query;
mod record;
mod state;
mod task;
mod worker;

pub use deny::Deny;
pub use fold::Verdicts;
pub use job::{JobState, Spec};
pub use lease::{Lease, LogRead};
pub use op::{End, LeaseHolder, Op, Resource, StopReason, TaskId};
pub use promise::Promise;
pub use query::Totals;
pub use record::{Batch, Record, Snapshot};
pub use state::{Cell, Coordinator, Gate, Health, Job, Task, Usage, Worker};
pub use task::{State, TaskResult};
