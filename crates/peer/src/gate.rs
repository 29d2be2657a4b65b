//! The calls between gates.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use myrtle_base::{Millis, Stamp};
use myrtle_cell::Resource;
use myrtle_route::{AllocationReply, AllocationRequest, Bucket, Decision, Ledger, SavedAnswer};

/// A coordinator's reply to requests for allocations.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CoordinatorReply {
    /// The remaining time of the coordinator's own lease; no allocation outlives it.
    pub lease_left: Millis,
    /// Replies for those resources that the gate coordinates.
    pub replies: Vec<(Resource, AllocationReply)>,
}

/// How a request with a key ended at the gate that ran it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyOutcome {
    /// The upstream answered.
    Answered(SavedAnswer),
    /// No upstream received the request.
    NotRun,
    /// It is unknown whether an upstream ran it.
    Unknown,
}

/// The state of a resource, sent to its next coordinator.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ResourceState {
    /// The ledger of a limit.
    Ledger(Ledger),
    /// The keys of a bucket.
    Bucket(Bucket),
}

/// The service of a gate for other gates.
#[tarpc::service]
pub trait GatePeer {
    /// Requests allocations from a coordinator; `seq` grows with each call in a gate's incarnation.
    async fn allocate(
        gate: String,
        incarnation: u64,
        seq: u64,
        requests: Vec<(Resource, AllocationRequest)>,
    ) -> CoordinatorReply;

    /// Asks the coordinator of a key whether to run a request; forwarded once if another gate
    /// coordinates the key.
    async fn begin(stamp: Stamp, key: Uuid, hash: u64, runner: u64, forwarded: bool) -> Decision;

    /// Reports to the coordinator of a key how its request ended.
    async fn end(stamp: Stamp, key: Uuid, outcome: KeyOutcome, forwarded: bool);

    /// Starts a planned stop; an operator's command, which the port for callers does not accept.
    async fn stop() -> bool;

    /// Sends the state of a resource to its next coordinator; true if it was stored.
    async fn receive(resource: Resource, from: String, state: ResourceState) -> bool;
}
