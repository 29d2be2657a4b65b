//! Jobs of steps and tasks: what a client hands in, and how far it has come.

mod crashes;
mod fault;
mod former;
mod id;
mod incarnation;
mod load;
mod part;
mod progress;
mod record;
mod spec;
mod task;
mod worker;

pub use crashes::{Crashes, Loss};
pub use fault::Fault;
pub use id::{BadName, JobId, TaskId};
pub use incarnation::{Incarnation, Successor};
pub use load::{Free, Load};
pub use part::{Allowance, Key, Part, PartId, PartTask};
pub use progress::{Handed, Moved, Progress, Round, State, Taken};
pub use record::{RecordError, Submission, decode, encode, encode_packed};
pub use spec::{Advice, JobSpec, Policy, Repeat, StepSpec};
pub use task::{Run, Step, Task};
pub use worker::{Ended, Held, How, Listing, RunEnd, Running, Told};
