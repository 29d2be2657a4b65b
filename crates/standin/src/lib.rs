//! Stand-ins for the platform's services in tests. Not shipped.
//!
//! They record the calls and runs that they receive, from which tests check promises, and can simulate faults.

mod hosts;
mod log;
mod machines;
mod record;
mod runner;
mod site;
mod store;
mod tickets;
mod upstream;
mod worker;
mod world;

pub use hosts::Hosts;
pub use log::{Log, LogMode};
pub use machines::{MachineMode, MachineService};
pub use record::{Record, Run, RunEnd, Summary, UpstreamSeen};
pub use runner::{Plans, RunLog, RunRecord, StepPlan, TaskKind, WorkerStandin};
pub use site::until;
pub use store::{JOINS, Store, StoreMode};
pub use tickets::{TicketMode, TicketService, TicketSpans};
pub use upstream::{Upstream, UpstreamMode, body_mark};
pub use worker::{Worker, WorkerMode};
pub use world::{Control, World, WorldConfig};
