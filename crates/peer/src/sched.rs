//! The calls of scheds and gates to a sched.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use myrtle_base::{Millis, Stamp};
use myrtle_cell::{Cell, Coordinator, Deny, Lease, LeaseHolder, Op, Resource};
use myrtle_config::{Config, ScopeState};

/// The health of a sched.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SchedHealth {
    /// Its causal clock.
    pub stamp: Stamp,
    /// The age of its newest log read.
    pub age: Millis,
    /// The version of its configuration.
    pub config: u64,
    /// The next offset of its fold.
    pub next: u64,
    /// Gates that it received a call from recently.
    pub gates: Vec<GateContact>,
    /// The loads of the workers that it is responsible for.
    pub loads: Vec<WorkerLoad>,
}

/// The last call of a gate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateContact {
    /// Its name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The time since its last call.
    pub age: Millis,
}

/// The load of a worker, which lags behind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerLoad {
    /// The worker's number.
    pub worker: u32,
    /// The share of its room in use, in percent.
    pub percent: u8,
    /// The service's latency relative to the usual one, in percent.
    pub slowdown: u16,
}

/// The state of a sched, for one that starts while the log is unavailable.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SchedState {
    /// The configuration.
    pub config: Config,
    /// The cell.
    pub cell: Cell,
}

/// The versions that a gate already has.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// The version of its platform scope.
    pub config: u64,
    /// The hash of its last view.
    pub hash: u64,
}

/// The part of the cell that a gate needs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GateView {
    /// The sender's causal clock.
    pub stamp: Stamp,
    /// The platform scope, if the gate has an older one.
    pub platform: Option<ScopeState>,
    /// A hash of `cell`.
    pub hash: u64,
    /// The coordinators, gates and upstreams; nothing if the gate has them.
    pub cell: Option<CellView>,
}

/// The coordinators, gates and upstreams of a cell.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CellView {
    /// The offset of the fold that this is from; a gate ignores an older one.
    pub next: u64,
    /// The coordinators of resources.
    pub coordinators: BTreeMap<Resource, Coordinator>,
    /// Gates of the data centre that are up, with their incarnations.
    pub gates: BTreeMap<String, u64>,
    /// The data centres and peer addresses of the gates of all data centres.
    pub peers: BTreeMap<String, (String, SocketAddr)>,
    /// The upstreams of the data centre.
    pub upstreams: Vec<UpstreamView>,
}

/// An upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamView {
    /// Its name.
    pub name: String,
    /// The service that it serves.
    pub service: String,
    /// Its address.
    pub at: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The result of proposed commands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposal {
    /// The commands are in the log; the result of each.
    Folded(Vec<Result<(), Deny>>),
    /// The log is unavailable; whether the commands were written is unknown.
    Away,
}

/// The service of a sched for scheds and gates.
#[tarpc::service]
pub trait SchedPeer {
    /// Returns the sched's health.
    async fn health(stamp: Stamp) -> SchedHealth;

    /// Asks for the promise that a lease may be renewed without the log.
    async fn promise_renewal(holder: LeaseHolder) -> bool;

    /// Asks for the promise that a suspected holder's lease is not renewed.
    async fn promise_no_renewal(holder: LeaseHolder, suspected: u64) -> bool;

    /// Returns the sched's whole state.
    async fn state() -> SchedState;

    /// Writes commands to the log.
    async fn propose(stamp: Stamp, ops: Vec<Op>) -> Proposal;

    /// Renews a gate's lease; `clock` is the gate's.
    async fn renew(gate: String, incarnation: u64, clock: Millis) -> Option<Lease>;

    /// Returns to a gate what changed, after waiting up to `wait` for a change.
    async fn view(known: KnownVersions, wait: Millis) -> GateView;
}
