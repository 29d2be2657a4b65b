//! Calls between the project's own processes: the services, their transport, and connections that
//! are made again after a fault.

mod front;
mod gate;
mod idle;
mod link;
mod sched;
mod transport;

pub use front::{
    Forwarded, FrontPeer, FrontPeerClient, FrontPeerRequest, FrontPeerResponse, JobReport,
};
pub use gate::{
    CoordinatorReply, GatePeer, GatePeerClient, GatePeerRequest, GatePeerResponse, KeyOutcome,
    ResourceState,
};
pub use link::Link;
pub use sched::{
    CellView, GateContact, GateView, KnownVersions, Proposal, SchedHealth, SchedPeer,
    SchedPeerClient, SchedPeerRequest, SchedPeerResponse, SchedState, UpstreamView, WorkerLoad,
};
pub use transport::{Connect, Encoding, ServerChannel, encoding, listen, listen_with_limit};

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
