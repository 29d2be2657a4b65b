//! Keeps up with the cell: the host list, the view of a sched, the gate's own lease.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use rand::RngExt;
use tokio::time::sleep;

use myrtle_base::Millis;
use myrtle_cell::{Op, Unit};
use myrtle_peer::{GateView, Known, Link, Proposal, SchedPeerClient};
use myrtle_platform::{Host, Role};

use crate::core::Core;
use crate::life::Event;
use crate::tables::Tables;
use crate::view::{Party, View};

/// The time between two looks at the host list.
const LIST: Duration = Duration::from_secs(1);

/// How long a view waits for a change at the sched.
const WAIT: Millis = Millis(1_000);

/// How long a sched may take to answer a view.
const VIEW: Duration = Duration::from_millis(2_000);

/// The time between two renewals.
const RENEW: Duration = Duration::from_millis(600);

/// How long a sched may take to renew; a renewal without the log asks its peers.
const RENEWED: Duration = Duration::from_millis(1_500);

/// How long a sched may take to put commands into the log.
const PROPOSED: Duration = Duration::from_secs(5);

/// The pause before another sched is asked.
const PAUSE: Duration = Duration::from_millis(150);

/// How long after its start a gate waits for a share of every party's rate.
const SHARES: Duration = Duration::from_secs(5);

/// Follows the host list until the future is dropped.
pub async fn follow_list(tables: Arc<Tables>) {
    let mut mark = 0;
    loop {
        let centre = &tables.settings.data_centre;
        if let Ok(part) = tables.list.part(centre, mark).await {
            mark = part.mark;
            part.hosts.into_iter().for_each(|hosts| take_list(&tables, &hosts));
        }
        sleep(LIST).await;
    }
}

fn take_list(tables: &Tables, hosts: &[Host]) {
    let centre = &tables.settings.data_centre;
    let own = hosts.iter().filter(|h| h.role == Role::Sched && h.data_centre == *centre);
    tables.peers(|peers| {
        for host in own {
            let known = peers.scheds.get(&host.name).is_some_and(|l| l.at() == host.peer);
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
                let told = view.mark;
                if !take_view(&tables, view) {
                    // That sched is behind another one: ask somebody else.
                    break;
                }
                mark = told;
            }
        }
        sleep(PAUSE).await;
    }
}

/// Renews the gate's lease until the future is dropped; a lapse begins a new life.
pub async fn renew(tables: Arc<Tables>) {
    loop {
        check_lapse(&tables).await;
        let clock = tables.now();
        let (gate, boot) = (tables.name().to_string(), tables.boot());
        for link in tables.sched_links() {
            let gate = gate.clone();
            let call =
                |c: SchedPeerClient, x| async move { c.renew(x, gate, boot, clock.into()).await };
            if let Some(Some(grant)) = link.call(RENEWED, call).await {
                tables.set_lease(grant.until);
                break;
            }
        }
        note_equipped(&tables);
        sleep(RENEW).await;
    }
}

impl Tables {
    /// Puts commands into the log by way of a sched.
    pub async fn propose(&self, ops: Vec<Op>) -> Proposal {
        for link in self.sched_links() {
            let (stamp, ops) = (self.ring.clock().tick(), ops.clone());
            let call = |c: SchedPeerClient, x| async move { c.propose(x, stamp, ops).await };
            if let Some(Proposal::Folded(verdicts)) = link.call(PROPOSED, call).await {
                return Proposal::Folded(verdicts);
            }
        }
        Proposal::Away
    }
}

async fn ask_view(tables: &Tables, link: &Link<SchedPeerClient>, mark: u64) -> Option<GateView> {
    let known = Known { config: tables.view.load().version, mark };
    let call = |c: SchedPeerClient, x| async move { c.view(x, known, WAIT).await };
    link.call_waiting(WAIT.std(), VIEW, call).await
}

/// Takes in a view; false if it is older than what is known.
fn take_view(tables: &Tables, view: GateView) -> bool {
    tables.ring.clock().merge(view.stamp);
    let known = tables.view.load_full();
    let stale = view.peering.as_ref().is_some_and(|p| p.next < known.peering.next);
    if stale {
        return false;
    }
    let mut next: Option<View> = None;
    if let Some(scoped) = view.platform.filter(|s| s.version > known.version) {
        info!("config: version {} in force", scoped.version);
        tables.ring.add("config", format!("version {} in force", scoped.version));
        next = Some(known.with_platform(scoped.version, &scoped.desired));
    }
    if let Some(peering) = view.peering {
        next = Some(next.as_ref().unwrap_or(&known).with_peering(peering));
    }
    if let Some(next) = next {
        tables.view.store(Arc::new(next));
        set_cores(tables);
        tables.align_books();
        tables.needy.notify_one();
    }
    true
}

/// Brings the services' tables in line with the view.
fn set_cores(tables: &Tables) {
    let view = tables.view.load_full();
    tables.core(|cores| {
        for (name, service) in &view.services {
            let seed = rand::rng().random();
            let core = cores.entry(name.clone()).or_insert_with(|| Core::new(seed));
            let own = view.peering.upstreams.iter().filter(|u| u.service == *name);
            let own: Vec<_> = own.cloned().collect();
            let there = own.iter().filter(|u| !u.leaving).count() as u32;
            let gates = view.peering.gates.len().max(1) as u32;
            core.set_upstreams(&own);
            core.set_potential(there * service.slots / gates);
        }
    });
}

async fn check_lapse(tables: &Tables) {
    let lapsed = !tables.lease().is_zero() && tables.lease_left().is_zero();
    if !lapsed || !tables.entered() {
        return;
    }
    let boot = tables.boot();
    warn!("gate: the lease has lapsed");
    tables.ring.add("gate", "the lease has lapsed, a new life begins");
    tables.books(|b| b.clear());
    tables.forget_reported();
    tables.reborn();
    tables.live(Event::Stripped);
    let gate = tables.name().to_string();
    tables.propose(vec![Op::Leave { gate, boot }]).await;
}

fn note_equipped(tables: &Tables) {
    let now = tables.now();
    let view = tables.view.load();
    let equipped = |core: &Core| {
        let rate = |party: &Party| {
            let unit = Unit::Party(party.name.clone()).to_string();
            core.shares.usable(&unit, now) > 0
        };
        core.upstreams.held() > 0 && view.parties.values().all(rate)
    };
    // A keeper that is gone must not keep the whole gate from serving for long.
    let patient = now < SHARES;
    let ready = |core: &Core| equipped(core) || (!patient && core.upstreams.held() > 0);
    if tables.core(|cores| cores.values().any(ready))
        && tables.entered()
        && !tables.lease_left().is_zero()
    {
        tables.live(Event::Equipped);
    }
}
