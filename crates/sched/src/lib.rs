//! The sched: folds its cell's stream, places tasks, renews leases and sends gates their view.
//!
//! Lock order of [`Tables`]: config, cell, promise, peers, links, policy. A holder of one lock may
//! take only later ones, and holds none across an await.

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
mod workers;

pub use run::{Sched, start};
