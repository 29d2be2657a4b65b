//! The fold of a cell's stream: commands in, state and verdicts out, no clock and no I/O.
//!
//! Every host that folds the same prefix holds the same state. A host that knows too little can
//! only propose what the fold turns down.

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
pub use lease::{Grant, Read};
pub use op::{End, Op, Subject, TaskId, Unit, Why};
pub use promise::Promise;
pub use query::Totals;
pub use record::{Batch, Record, Snapshot};
pub use state::{Cell, Gate, Health, Job, Keep, Task, Usage, Worker};
pub use task::{Over, State};
