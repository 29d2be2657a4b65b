//! Jobs of steps and tasks: their specifications, progress and stored records.

mod crashes;
mod fault;
mod id;
mod incarnation;
mod legacy;
mod load;
mod progress;
mod record;
mod spec;
mod task;
mod transfer;
mod worker;

pub use crashes::{Crashes, Loss};
pub use fault::Fault;
pub use id::{InvalidId, JobId, TaskId};
pub use incarnation::{Incarnation, Successor};
pub use load::{Free, Load};
pub use progress::{Handed, Moved, Progress, Round, State, Taken};
pub use record::{RecordError, Submission, decode, encode, encode_packed};
pub use spec::{Advice, JobSpec, Policy, Repeat, StepSpec};
pub use task::{Run, Step, Task};
pub use transfer::{Allowance, Key, Part, PartId, PartTask};
pub use worker::{Ended, Held, How, Listing, RunEnd, Running, Told};
