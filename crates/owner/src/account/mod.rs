//! Accounts of where the time of jobs went, for logs and metrics.
//!
//! Load pattern: a job is late though each of its waits looks short. Only the sum along the chain
//! of steps that ended last shows whether room, workers, failures or the log took the time.
//!
//! An account is kept in memory by the owner; a successor counts the time before it as one span.

pub(crate) mod clock;
pub(crate) mod job;
pub(crate) mod phase;
pub(crate) mod report;
pub(crate) mod spans;
