//! The gate routes requests of callers to slots of upstreams.
//!
//! Lock order of [`tables::Tables`]: queues, resources, peers, pool, served, reported. A task that
//! holds one may take only those after it, and holds none across an await.

mod acquire;
mod admin;
mod attempt;
mod call;
mod coordinator;
mod drain;
mod exchange;
mod follow;
mod keyed;
mod lifecycle;
mod pool;
mod queue;
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
