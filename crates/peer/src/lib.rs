//! Calls between the project's own processes: the services, their transport, and connections that
//! are made again after a fault.

mod front;
mod gate;
mod idle;
mod link;
mod sched;
mod transport;

pub use front::{FrontPeer, FrontPeerClient, FrontPeerRequest, FrontPeerResponse, Passed, Seen};
pub use gate::{
    CoordinatorReply, GatePeer, GatePeerClient, GatePeerRequest, GatePeerResponse, KeyOutcome,
    ResourceState,
};
pub use link::Link;
pub use sched::{
    GateSeen, GateView, Known, Peering, Proposal, Pulse, SchedPeer, SchedPeerClient,
    SchedPeerRequest, SchedPeerResponse, UpstreamView, Whole, WorkerLoad,
};
pub use transport::{Connect, Wired, listen, listen_with_limit};

/// What the macro [`run!`] needs.
pub mod reexport {
    pub use futures::StreamExt;
    pub use tarpc::server::Channel;
}

/// Runs a generated service on one connection.
#[macro_export]
macro_rules! run {
    ($channel:expr, $service:expr) => {{
        use $crate::reexport::{Channel, StreamExt};
        let calls = $channel.execute($service);
        tokio::spawn(calls.for_each_concurrent(None, |call| call));
    }};
}
