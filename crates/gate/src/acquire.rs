//! Requests allocations of slots and rates from their coordinators, and gives up what is not
//! needed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{sleep, timeout};

use myrtle_cell::Resource;
use myrtle_peer::{CoordinatorReply, GatePeerClient};
use myrtle_route::AllocationRequest;

use crate::queue::ServiceQueue;
use crate::tables::Tables;
use crate::view::{Customer, View};

/// The time between two rounds of requests, unless more is needed at once.
const INTERVAL: Duration = Duration::from_millis(100);

/// The least time between two rounds.
const MIN_INTERVAL: Duration = Duration::from_millis(15);

/// How long a coordinator may take to reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Factor on the recent demand that is requested, as headroom.
const HEADROOM: f64 = 1.3;

/// A gate requests at least a customer's rate divided by this.
const MIN_PART: u32 = 16;

/// Requests that have not been answered yet.
#[derive(Debug, Default)]
struct Pending {
    coordinators: Mutex<BTreeSet<String>>,
    seq: AtomicU64,
}

/// Requests allocations until the future is dropped.
pub async fn run(tables: Arc<Tables>) {
    let pending = Arc::new(Pending::default());
    loop {
        let view = tables.view.load_full();
        for coordinator in coordinators(&view) {
            let free =
                pending.coordinators.lock().expect("no holder panics").insert(coordinator.clone());
            if free {
                let (tables, view, pending) = (tables.clone(), view.clone(), pending.clone());
                tokio::spawn(async move {
                    ask(&tables, &view, &coordinator, &pending.seq).await;
                    pending.coordinators.lock().expect("no holder panics").remove(&coordinator);
                });
            }
        }
        sleep(MIN_INTERVAL).await;
        let _ = timeout(INTERVAL, tables.more_needed.notified()).await;
    }
}

fn coordinators(view: &View) -> BTreeSet<String> {
    view.peering.coordinators.values().map(|k| k.gate.clone()).collect()
}

/// Requests from one coordinator all that it coordinates and this gate wants.
async fn ask(tables: &Arc<Tables>, view: &View, coordinator: &str, seq: &AtomicU64) {
    let requests = asks(tables, view, coordinator);
    if requests.is_empty() {
        return;
    }
    let seq = seq.fetch_add(1, Ordering::AcqRel) + 1;
    let sent = tables.now();
    let incarnation = tables.incarnation();
    let reply = match coordinator == tables.name() {
        true => Some(tables.allocate(coordinator, incarnation, seq, requests)),
        false => ask_other(tables, view, coordinator, incarnation, seq, requests).await,
    };
    if let Some(reply) = reply {
        apply_reply(tables, sent, reply);
    }
}

async fn ask_other(
    tables: &Tables,
    view: &View,
    coordinator: &str,
    incarnation: u64,
    seq: u64,
    requests: Vec<(Resource, AllocationRequest)>,
) -> Option<CoordinatorReply> {
    let link = tables.gate_link(view.peer(coordinator)?);
    let gate = tables.name().to_string();
    let call =
        |c: GatePeerClient, x| async move { c.allocate(x, gate, incarnation, seq, requests).await };
    link.call(REPLY_TIMEOUT, call).await
}

/// The requests to one coordinator; from here on no more than `keep` of each resource is used.
fn asks(tables: &Tables, view: &View, coordinator: &str) -> Vec<(Resource, AllocationRequest)> {
    let now = tables.now();
    tables.queues(|queues| {
        let mut requests = Vec::new();
        for queue in queues.values_mut() {
            let wants = wants(queue, view, coordinator, now);
            for (resource, (busy, want)) in wants {
                let name = resource.to_string();
                if queue.allocations.due(&name, want, now) {
                    requests.push((resource, queue.allocations.ask(&name, busy, want, now)));
                }
            }
            queue.set_slots(now);
        }
        requests
    })
}

/// For each resource of a coordinator, what is in use and what is wanted.
fn wants(
    queue: &mut ServiceQueue,
    view: &View,
    coordinator: &str,
    now: Duration,
) -> BTreeMap<Resource, (u32, u32)> {
    let coordinated = |resource: &Resource| {
        view.peering.coordinators.get(resource).is_some_and(|k| k.gate == coordinator)
    };
    let mut wants = BTreeMap::new();
    let count = queue.endpoints.len().max(1);
    let need = f64::from(queue.need(now)) * HEADROOM;
    let each = (need / count as f64).ceil() as u32;
    for (number, endpoint) in queue.endpoints.iter().enumerate() {
        let resource = Resource::Upstream(endpoint.name.clone());
        let upstream = queue.upstreams.get(number as u32);
        if !coordinated(&resource) {
            continue;
        }
        let want = if upstream.leaving { 0 } else { each.max(upstream.busy + 1) };
        wants.insert(resource, (upstream.busy, want));
    }
    for customer in view.customers.values() {
        let resource = Resource::Customer(customer.name.clone());
        if !coordinated(&resource) {
            continue;
        }
        wants.insert(resource, (0, wanted_rate(queue, customer, now)));
    }
    wants
}

/// How much of a customer's rate this gate wants.
pub fn wanted_rate(queue: &mut ServiceQueue, customer: &Customer, now: Duration) -> u32 {
    let demand = queue.rates.entry(customer.name.clone()).or_default().demand(now);
    let want = (demand * HEADROOM).ceil() as u32;
    let least = (customer.rate / MIN_PART).max(1);
    // Coarse steps, so that small changes of demand cause no requests.
    want.max(least).next_multiple_of(least).min(customer.rate)
}

fn apply_reply(tables: &Tables, sent: Duration, reply: CoordinatorReply) {
    let now = tables.now();
    let lease_end = sent + reply.lease_left.std();
    tables.queues(|queues| {
        for queue in queues.values_mut() {
            for (resource, allocation) in &reply.replies {
                queue.allocations.apply(&resource.to_string(), *allocation, sent, lease_end);
            }
            queue.set_slots(now);
            queue.dispatch(now);
        }
    });
    tables.allocated.notify_waiters();
    shrink_pool(tables);
}

/// Closes idle connections above the slots that may be used.
fn shrink_pool(tables: &Tables) {
    tables.queues(|queues| {
        tables.pool(|pool| {
            for queue in queues.values() {
                for (number, endpoint) in queue.endpoints.iter().enumerate() {
                    pool.shrink(endpoint.at, queue.upstreams.get(number as u32).held as usize);
                }
            }
        });
    });
}
