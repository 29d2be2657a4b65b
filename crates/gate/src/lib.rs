//! The gate: takes requests of callers to slots of upstreams.
//!
//! Lock order of [`tables::Tables`]: core, books, peers, pool, served. A task that holds one may
//! take only those after it, and holds none across an await.

mod admin;
mod attempt;
mod borrow;
mod call;
mod core;
mod drain;
mod exchange;
mod follow;
mod keeper;
mod keyed;
mod life;
mod pool;
mod rate;
mod rebalance;
mod refusal;
mod rpc;
mod run;
mod serve;
mod tables;
mod usage;
mod view;

pub use run::{Gate, start};
