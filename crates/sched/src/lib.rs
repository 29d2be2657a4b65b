//! The sched: folds its cell's stream, places tasks, renews leases, tells gates what they need.
//!
//! Lock order of [`Tables`]: config, cell, promise, peers, links, policy. A task that holds one
//! may take only those after it, and holds none across an await.

mod admin;
mod balance;
mod claims;
mod commit;
mod duties;
mod follow;
mod leases;
mod names;
mod peers;
mod reports;
mod rpc;
mod run;
mod tables;
mod views;
mod warden;

pub use run::{Sched, start};
