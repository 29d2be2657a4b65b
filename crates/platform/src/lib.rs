//! Clients of what the platform gives: the log service, the host list and the workers.

mod call;
mod hosts;
mod log;
mod serve;
mod worker;

pub use call::{Caller, Failure};
pub use hosts::{Host, HostList, Part, Role};
pub use log::{Entry, LogClient, Page, ReadError};
pub use serve::{Answer, Ask, answer, json, serve, serve_one, text};
pub use worker::{
    Report, RunState, Start, Stop, SyncReply, SyncRequest, TaskUse, Throttle, UsageReport,
    WorkerClient,
};
