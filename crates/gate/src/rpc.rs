//! Answers the calls of other gates.

use std::sync::Arc;

use tarpc::context::Context;
use uuid::Uuid;

use myrtle_base::Stamp;
use myrtle_cell::Unit;
use myrtle_peer::{Done, GatePeer, HandOver, LendReply};
use myrtle_route::{Ask, Begin};

use crate::keyed;
use crate::tables::Tables;

/// The service towards other gates.
#[derive(Debug, Clone)]
pub struct Server(pub Arc<Tables>);

impl GatePeer for Server {
    async fn lend(
        self,
        _: Context,
        gate: String,
        boot: u64,
        seq: u64,
        asks: Vec<(Unit, Ask)>,
    ) -> LendReply {
        self.0.lend(&gate, boot, seq, asks)
    }

    async fn begin(
        self,
        _: Context,
        stamp: Stamp,
        key: Uuid,
        hash: u64,
        holder: u64,
        passed: bool,
    ) -> Begin {
        self.0.ring.clock().merge(stamp);
        keyed::begin_for(&self.0, key, hash, holder, passed).await
    }

    async fn end(self, _: Context, stamp: Stamp, key: Uuid, done: Done, passed: bool) {
        self.0.ring.clock().merge(stamp);
        keyed::end_for(&self.0, key, done, passed).await;
    }

    async fn stop(self, _: Context) -> bool {
        self.0.ring.add("gate", "an operator asks for a planned stop");
        self.0.stop.notify_one();
        true
    }

    async fn take(self, _: Context, unit: Unit, from: String, over: HandOver) -> bool {
        let now = self.0.now();
        self.0.ring.add("gate", format!("takes {unit} from {from}"));
        self.0.books(|b| b.expect(unit, over, now));
        true
    }
}
