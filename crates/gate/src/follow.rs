//! Follows the host list and a sched's view of the cell, and renews the gate's lease.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use rand::RngExt;
use tokio::time::sleep;

use myrtle_base::Millis;
use myrtle_cell::{Op, Resource};
use myrtle_peer::{GateView, KnownVersions, Link, Proposal, SchedPeerClient};
use myrtle_platform::{Host, Role};

use crate::lifecycle::Event;
use crate::queue::ServiceQueue;
use crate::tables::Tables;
use crate::view::{Customer, View};

/// The time between two reads of the host list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// How long a sched may wait for a change before it replies.
const VIEW_WAIT: Millis = Millis(1_000);

/// How long a sched may take to reply with a view.
const VIEW_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The time between two lease renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(600);

/// How long a sched may take to renew a lease; without the log it asks its peers.
const RENEW_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a sched may take to write commands to the log.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause before the scheds are asked again.
const PAUSE: Duration = Duration::from_millis(150);

/// How long after its start a gate waits for an allocation of every customer's rate.
const ALLOCATION_WAIT: Duration = Duration::from_secs(5);

/// Follows the host list until the future is dropped.
pub async fn follow_list(tables: Arc<Tables>) {
    let mut mark = 0;
    loop {
        let centre = &tables.settings.data_centre;
        if let Ok(part) = tables.list.subset(centre, mark).await {
            mark = part.mark;
            part.hosts.into_iter().for_each(|hosts| apply_list(&tables, &hosts));
        }
        sleep(LIST_INTERVAL).await;
    }
}

fn apply_list(tables: &Tables, hosts: &[Host]) {
    let centre = &tables.settings.data_centre;
    let own = hosts.iter().filter(|h| h.role == Role::Sched && h.data_centre == *centre);
    tables.peers(|peers| {
        for host in own {
            let known = peers.scheds.get(&host.name).is_some_and(|l| l.address() == host.peer);
            if !known {
                peers.scheds.insert(host.name.clone(), Arc::new(Link::new(host.peer)));
            }
        }
        peers.scheds.retain(|name, _| hosts.iter().any(|h| h.name == *name));
    });
}

/// Follows the view of one sched after the other until the future is dropped.
pub async fn follow_view(tables: Arc<Tables>) {
    let mut mark = 0;
    loop {
        for link in tables.sched_links() {
            while let Some(view) = ask_view(&tables, &link, mark).await {
                let received = view.hash;
                if !apply_view(&tables, view) {
                    // That sched has an older state than another one: ask the next.
                    break;
                }
                mark = received;
            }
        }
        sleep(PAUSE).await;
    }
}

/// Renews the gate's lease until the future is dropped; the gate's next incarnation begins when it
/// has expired.
pub async fn renew(tables: Arc<Tables>) {
    loop {
        check_expiry(&tables).await;
        let clock = tables.now();
        let (gate, incarnation) = (tables.name().to_string(), tables.incarnation());
        for link in tables.sched_links() {
            let gate = gate.clone();
            let call = |c: SchedPeerClient, x| async move {
                c.renew(x, gate, incarnation, clock.into()).await
            };
            if let Some(Some(grant)) = link.call(RENEW_TIMEOUT, call).await {
                tables.set_lease(grant.until);
                break;
            }
        }
        check_ready(&tables);
        sleep(RENEW_INTERVAL).await;
    }
}

impl Tables {
    /// Writes commands to the log through a sched.
    pub async fn propose(&self, ops: Vec<Op>) -> Proposal {
        for link in self.sched_links() {
            let (stamp, ops) = (self.ring.clock().tick(), ops.clone());
            let call = |c: SchedPeerClient, x| async move { c.propose(x, stamp, ops).await };
            if let Some(Proposal::Folded(verdicts)) = link.call(PROPOSE_TIMEOUT, call).await {
                return Proposal::Folded(verdicts);
            }
        }
        Proposal::Away
    }
}

async fn ask_view(tables: &Tables, link: &Link<SchedPeerClient>, mark: u64) -> Option<GateView> {
    let known = KnownVersions { config: tables.view.load().version, hash: mark };
    let call = |c: SchedPeerClient, x| async move { c.view(x, known, VIEW_WAIT).await };
    link.call_waiting(VIEW_WAIT.std(), VIEW_TIMEOUT, call).await
}

/// Applies a view; returns false if it is older than the current one.
fn apply_view(tables: &Tables, view: GateView) -> bool {
    tables.ring.clock().advance(view.stamp);
    let known = tables.view.load_full();
    let stale = view.cell.as_ref().is_some_and(|p| p.next < known.peering.next);
    if stale {
        return false;
    }
    let mut next: Option<View> = None;
    if let Some(scoped) = view.platform.filter(|s| s.version > known.version) {
        info!("config: version {} in force", scoped.version);
        tables.ring.add("config", format!("version {} in force", scoped.version));
        next = Some(known.with_platform(scoped.version, &scoped.desired));
    }
    if let Some(peering) = view.cell {
        next = Some(next.as_ref().unwrap_or(&known).with_peering(peering));
    }
    if let Some(next) = next {
        tables.view.store(Arc::new(next));
        update_queues(tables);
        tables.reconcile_resources();
        tables.more_needed.notify_one();
    }
    true
}

/// Updates the queues of the services from the view.
fn update_queues(tables: &Tables) {
    let view = tables.view.load_full();
    tables.queues(|queues| {
        for (name, service) in &view.services {
            let seed = rand::rng().random();
            let queue = queues.entry(name.clone()).or_insert_with(|| ServiceQueue::new(seed));
            let own = view.peering.upstreams.iter().filter(|u| u.service == *name);
            let own: Vec<_> = own.cloned().collect();
            let available = own.iter().filter(|u| !u.leaving).count() as u32;
            let gates = view.peering.gates.len().max(1) as u32;
            queue.set_upstreams(&own);
            queue.set_even_split(available * service.slots / gates);
        }
    });
}

async fn check_expiry(tables: &Tables) {
    let expired = !tables.lease().is_zero() && tables.lease_left().is_zero();
    if !expired || !tables.is_listed() {
        return;
    }
    let incarnation = tables.incarnation();
    warn!("gate: the lease has expired");
    tables.ring.add("gate", "the lease has expired, a new incarnation begins");
    tables.resources(|r| r.clear());
    tables.reset_reported();
    tables.next_incarnation();
    tables.handle_event(Event::LeaseLost);
    let gate = tables.name().to_string();
    tables.propose(vec![Op::Leave { gate, incarnation }]).await;
}

fn check_ready(tables: &Tables) {
    let now = tables.now();
    let view = tables.view.load();
    let allocated = |queue: &ServiceQueue| {
        let rate = |customer: &Customer| {
            let resource = Resource::Customer(customer.name.clone()).to_string();
            queue.allocations.usable(&resource, now) > 0
        };
        queue.upstreams.slots() > 0 && view.customers.values().all(rate)
    };
    // A coordinator that is gone must not keep the whole gate from serving for long.
    let waiting = now < ALLOCATION_WAIT;
    let ready =
        |queue: &ServiceQueue| allocated(queue) || (!waiting && queue.upstreams.slots() > 0);
    if tables.queues(|queues| queues.values().any(ready))
        && tables.is_listed()
        && !tables.lease_left().is_zero()
    {
        tables.handle_event(Event::Ready);
    }
}
