//! What the project's own processes say to each other.

mod front;
mod gate;
mod link;
mod sched;

pub use front::{FrontPeer, FrontPeerClient, FrontPeerRequest, FrontPeerResponse, Passed, Seen};
pub use gate::{
    Done, GatePeer, GatePeerClient, GatePeerRequest, GatePeerResponse, HandOver, LendReply,
};
pub use link::{Connect, Link, Wired, listen};
pub use sched::{
    GateSeen, GateView, Known, Peering, Proposal, Pulse, SchedPeer, SchedPeerClient,
    SchedPeerRequest, SchedPeerResponse, UpstreamView, Whole, WorkerLoad,
};

/// What the macro [`run!`] needs.
pub mod reexport {
    pub use futures::StreamExt;
    pub use tarpc::server::Channel;
}
