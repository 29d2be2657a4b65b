//! Answers calls of other gates.

use std::sync::Arc;

use tarpc::context::Context;
use uuid::Uuid;

use myrtle_base::Stamp;
use myrtle_cell::Resource;
use myrtle_peer::{CoordinatorReply, GatePeer, KeyOutcome, ResourceState};
use myrtle_route::{AllocationRequest, Decision};

use crate::keyed;
use crate::tables::Tables;

/// The service for other gates.
#[derive(Debug, Clone)]
pub struct Server(pub Arc<Tables>);

impl GatePeer for Server {
    async fn allocate(
        self,
        _: Context,
        gate: String,
        incarnation: u64,
        seq: u64,
        requests: Vec<(Resource, AllocationRequest)>,
    ) -> CoordinatorReply {
        self.0.allocate(&gate, incarnation, seq, requests)
    }

    async fn begin(
        self,
        _: Context,
        stamp: Stamp,
        key: Uuid,
        hash: u64,
        runner: u64,
        forwarded: bool,
    ) -> Decision {
        self.0.ring.clock().advance(stamp);
        keyed::begin_for(&self.0, key, hash, runner, forwarded).await
    }

    async fn end(self, _: Context, stamp: Stamp, key: Uuid, outcome: KeyOutcome, forwarded: bool) {
        self.0.ring.clock().advance(stamp);
        keyed::end_for(&self.0, key, outcome, forwarded).await;
    }

    async fn stop(self, _: Context) -> bool {
        self.0.ring.add("gate", "an operator asks for a planned stop");
        self.0.stop.notify_one();
        true
    }

    async fn receive(
        self,
        _: Context,
        resource: Resource,
        from: String,
        state: ResourceState,
    ) -> bool {
        let now = self.0.now();
        self.0.ring.add("gate", format!("receives {resource} from {from}"));
        self.0.resources(|r| r.receive(resource, state, now));
        true
    }
}
