//! Clients of the platform's services (log service, host list, workers) and a small HTTP server.

mod call;
mod hosts;
mod log;
mod serve;
mod worker;

pub use call::{Caller, Failure};
pub use hosts::{Host, HostList, HostSubset, Role};
pub use log::{Entry, LogClient, Page, ReadError};
pub use serve::{HttpRequest, Reply, json, reply, serve, serve_one, text};
pub use worker::{
    Report, RunState, Start, Stop, SyncReply, SyncRequest, TaskUse, Throttle, UsageReport,
    WorkerClient,
};
