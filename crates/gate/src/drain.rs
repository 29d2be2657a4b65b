//! A planned stop: requests in flight are finished, and the resources of this gate are transferred
//! to other gates.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::{Instant, sleep};

use myrtle_base::winner;
use myrtle_cell::{Op, Resource};
use myrtle_peer::{GatePeerClient, Proposal};

use crate::lifecycle::Event;
use crate::tables::Tables;

/// How long the balancer gets to see that the gate is not ready.
const BALANCER_DELAY: Duration = Duration::from_millis(1_000);

/// How long another gate may take to receive a resource.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(700);

/// How often a transfer is proposed to the log before the lease is left to expire.
const MAX_TRIES: u32 = 5;

/// Reports the gate as not ready and waits for the balancer to see it.
pub async fn announce(tables: &Tables) {
    info!("gate: draining");
    tables.handle_event(Event::Drain);
    sleep(BALANCER_DELAY).await;
}

/// Waits until no request is in flight, or until the settings' limit; returns whether all were
/// finished.
pub async fn finish(tables: &Tables) -> bool {
    let end = Instant::now() + tables.settings.drain.0.std();
    let in_flight = || {
        tables
            .queues(|queues| queues.values().map(|q| q.upstreams.busy() + q.waiting() as u32).sum())
    };
    while Instant::now() < end {
        let left: u32 = in_flight();
        if left == 0 {
            return true;
        }
        sleep(Duration::from_millis(20)).await;
    }
    in_flight() == 0
}

/// Transfers all resources of this gate and leaves the cell.
pub async fn leave(tables: &Arc<Tables>) {
    let moves = next_coordinators(tables);
    transfer(tables, moves).await;
    tables.report_usage().await;
    let (gate, incarnation) = (tables.name().to_string(), tables.incarnation());
    // A resource that no gate received must not be free before the allocations of it have expired.
    if tables.resources(|r| r.resources().is_empty()) {
        tables.propose(vec![Op::Leave { gate, incarnation }]).await;
    }
    tables.handle_event(Event::Drained);
    info!("gate: left");
}

/// Transfers resources to other gates; one whose gate has no address stays here.
pub async fn transfer(tables: &Arc<Tables>, moves: Vec<(Resource, String)>) {
    let mut ops = Vec::new();
    for (resource, to) in moves {
        if send_state(tables, &resource, &to).await {
            let from = tables.name().to_string();
            ops.push(Op::Reassign { resource, from, to });
        }
    }
    if ops.is_empty() {
        return;
    }
    tables.ring.add("gate", format!("transfers {} resources", ops.len()));
    for _ in 0..MAX_TRIES {
        if let Proposal::Folded(_) = tables.propose(ops.clone()).await {
            return;
        }
    }
}

/// The gates that should coordinate each resource when this one is gone.
fn next_coordinators(tables: &Tables) -> Vec<(Resource, String)> {
    let view = tables.view.load();
    let others = || view.peering.gates.keys().filter(|g| *g != tables.name()).map(String::as_str);
    let next = |resource: Resource| {
        let next = winner(others(), &resource.to_string())?.to_string();
        Some((resource, next))
    };
    tables.resources(|r| r.resources()).into_iter().filter_map(next).collect()
}

/// Sends the state of a resource to another gate.
///
/// From here on this gate does not use the state any more; it is not taken back, as the other gate
/// may have received it.
async fn send_state(tables: &Tables, resource: &Resource, to: &str) -> bool {
    let Some(at) = tables.view.load().peer(to) else { return false };
    let now = tables.now();
    let Some(state) = tables.resources(|r| r.close(resource, now)) else { return false };
    let (resource, from) = (resource.clone(), tables.name().to_string());
    let link = tables.gate_link(at);
    let call = |c: GatePeerClient, x| async move { c.receive(x, resource, from, state).await };
    // Without a reply the new coordinator may have no state; it then waits until earlier
    // allocations have expired, and treats earlier keys as unknown.
    link.call(RECEIVE_TIMEOUT, call).await;
    true
}
