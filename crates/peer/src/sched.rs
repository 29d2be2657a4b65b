//! What scheds and gates ask of a sched.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use myrtle_base::{Millis, Stamp};
use myrtle_cell::{Cell, Deny, Grant, Keep, Op, Subject, Unit};
use myrtle_config::{Config, Scoped};

/// How a sched is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Pulse {
    /// Its causal clock.
    pub stamp: Stamp,
    /// The age of its newest log read.
    pub age: Millis,
    /// The version of its configuration.
    pub config: u64,
    /// The next offset of its fold.
    pub next: u64,
    /// Gates that it heard of lately.
    pub gates: Vec<GateSeen>,
    /// The loads of the workers that it looks after.
    pub loads: Vec<WorkerLoad>,
}

/// When a gate was heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateSeen {
    /// Its name.
    pub name: String,
    /// Its life.
    pub boot: u64,
    /// How long ago it was heard.
    pub age: Millis,
}

/// How busy a worker is, measured with a lag.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerLoad {
    /// The worker's number.
    pub worker: u32,
    /// The share of its room in use, in percent.
    pub percent: u8,
    /// The service's latency against the usual one, in percent.
    pub slow: u16,
}

/// What a sched knows, for one that starts while the log is away.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Whole {
    /// The configuration.
    pub config: Config,
    /// The cell.
    pub cell: Cell,
}

/// What a gate already has.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The version of its platform scope.
    pub config: u64,
    /// The mark of its last view.
    pub mark: u64,
}

/// What a gate needs to know of its cell.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GateView {
    /// The sender's causal clock.
    pub stamp: Stamp,
    /// The platform scope, if the gate's is older.
    pub platform: Option<Scoped>,
    /// A hash over the rest.
    pub mark: u64,
    /// The rest; nothing if the gate has it.
    pub peering: Option<Peering>,
}

/// Who keeps what and who is where.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Peering {
    /// The offset of the fold that this is from; an older one is never taken in.
    pub next: u64,
    /// Keepers of units.
    pub units: BTreeMap<Unit, Keep>,
    /// Gates of the data centre that are up, with their lives.
    pub gates: BTreeMap<String, u64>,
    /// Where gates of all data centres listen for peers.
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
    /// Where it serves.
    pub at: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What the fold said to proposed commands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposal {
    /// A verdict for each command.
    Folded(Vec<Result<(), Deny>>),
    /// The log is away; whether they were taken in is unknown.
    Away,
}

/// What a sched does for its peers.
#[tarpc::service]
pub trait SchedPeer {
    /// Says how it is.
    async fn pulse(stamp: Stamp) -> Pulse;

    /// Asks for the promise that a lease may be renewed without the log.
    async fn allow(subject: Subject) -> bool;

    /// Asks for the promise that a suspected subject's lease is not renewed.
    async fn consent(subject: Subject, suspected: u64) -> bool;

    /// Gives all that it knows.
    async fn whole() -> Whole;

    /// Puts commands into the log.
    async fn propose(stamp: Stamp, ops: Vec<Op>) -> Proposal;

    /// Renews a gate's lease; `clock` is the gate's.
    async fn renew(gate: String, boot: u64, clock: Millis) -> Option<Grant>;

    /// Tells a gate what changed, waiting up to `wait` for a change.
    async fn view(known: Known, wait: Millis) -> GateView;
}
