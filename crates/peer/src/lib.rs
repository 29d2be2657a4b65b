//! What the project's own processes say to each other.

mod front;
mod gate;
mod link;
mod quiet;
mod sched;
mod wire;

pub use front::{FrontPeer, FrontPeerClient, FrontPeerRequest, FrontPeerResponse, Passed, Seen};
pub use gate::{
    Done, GatePeer, GatePeerClient, GatePeerRequest, GatePeerResponse, HandOver, LendReply,
};
pub use link::Link;
pub use sched::{
    GateSeen, GateView, Known, Peering, Proposal, Pulse, SchedPeer, SchedPeerClient,
    SchedPeerRequest, SchedPeerResponse, UpstreamView, Whole, WorkerLoad,
};
pub use wire::{Connect, Wired, listen, listen_while};

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
