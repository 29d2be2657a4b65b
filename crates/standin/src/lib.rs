//! Stand-ins for what the platform gives. Not shipped.
//!
//! They keep an honest record of what they were given and can be told to fail.

mod hosts;
mod log;
mod record;
mod runner;
mod site;
mod store;
mod upstream;
mod worker;
mod world;

pub use hosts::Hosts;
pub use log::{Log, LogMode};
pub use record::{Record, Run, RunEnd, Summary, UpstreamSeen};
pub use runner::{Book, Runner, Seen};
pub use site::until;
pub use store::{Store, StoreMode};
pub use upstream::{Upstream, UpstreamMode, body_mark};
pub use worker::{Worker, WorkerMode};
pub use world::{Control, Plan, World};
