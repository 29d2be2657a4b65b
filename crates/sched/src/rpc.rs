//! Serves the calls of scheds and gates.

use std::sync::Arc;
use std::time::Duration;

use tarpc::context::Context;
use tokio::time::{Instant, timeout_at};

use myrtle_base::{Millis, Stamp};
use myrtle_cell::{Health, Lease, LeaseHolder, Op};
use myrtle_peer::{
    GateView, KnownVersions, Proposal, SchedHealth, SchedPeer, SchedState, WorkerLoad,
};

use crate::peers::MAX_GATE_AGE;
use crate::tables::Tables;

/// Longest time that a call for a view waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// The service for peers.
#[derive(Debug, Clone)]
pub struct Server(pub Arc<Tables>);

impl SchedPeer for Server {
    async fn health(self, _: Context, stamp: Stamp) -> SchedHealth {
        let tables = &self.0;
        tables.events.clock().advance(stamp);
        let now = tables.now();
        let gates = tables.peers(|p| {
            let own = p.gates.iter().map(|(name, (boot, at))| myrtle_peer::GateContact {
                name: name.clone(),
                incarnation: *boot,
                age: now.since(*at),
            });
            own.filter(|g| g.age < MAX_GATE_AGE).collect()
        });
        SchedHealth {
            stamp: tables.events.clock().tick(),
            age: tables.log_age(),
            config: tables.config(|c| c.version),
            next: tables.cell(|c| c.cell.next),
            gates,
            loads: loads(tables),
        }
    }

    async fn promise_renewal(self, _: Context, holder: LeaseHolder) -> bool {
        self.0.allow(&holder)
    }

    async fn promise_no_renewal(self, _: Context, holder: LeaseHolder, suspected: u64) -> bool {
        self.0.consent(&holder, suspected)
    }

    async fn state(self, _: Context) -> SchedState {
        let config = self.0.config(|c| c.clone());
        let cell = self.0.cell(|c| c.cell.clone());
        SchedState { config, cell }
    }

    async fn propose(self, _: Context, stamp: Stamp, ops: Vec<Op>) -> Proposal {
        self.0.events.clock().advance(stamp);
        self.0.commit(ops).await
    }

    async fn renew(self, _: Context, gate: String, boot: u64, clock: Millis) -> Option<Lease> {
        let tables = self.0;
        let arrived = tables.now();
        tables.peers(|p| p.gates.insert(gate.clone(), (boot, arrived)));
        let holder = LeaseHolder::Gate(gate.clone());
        let known = tables.cell(|c| c.cell.gates.get(&gate).map(|g| (g.incarnation, g.health)));
        let enter = Op::Gate { name: gate, incarnation: boot };
        match known {
            Some((known, Health::Up)) if known == boot => {
                tables.grant(&holder, clock, arrived).await
            }
            Some((known, Health::Suspect { .. })) if known == boot => {
                tables.propose(vec![Op::Clear { holder }]).await;
                None
            }
            // An earlier incarnation must lapse first, which the cell's writer proposes.
            Some((known, Health::Up | Health::Suspect { .. })) if known < boot => None,
            Some((known, _)) if known > boot => None,
            _ => {
                tables.propose(vec![enter]).await;
                None
            }
        }
    }

    async fn view(self, _: Context, known: KnownVersions, wait: Millis) -> GateView {
        let end = Instant::now() + wait.std().min(MAX_WAIT);
        let mut changed = self.0.changed.subscribe();
        loop {
            let view = self.0.gate_view(&known);
            let updated = view.platform.is_some() || view.cell.is_some();
            if updated || timeout_at(end, changed.changed()).await.is_err() {
                return view;
            }
        }
    }
}

/// Returns the loads of the workers that this host manages.
fn loads(tables: &Tables) -> Vec<WorkerLoad> {
    tables.cell(|c| {
        tables.links(|links| {
            let load = |(name, link): (&String, &crate::workers::WorkerLink)| {
                let number = c.cell.worker_named(name)?;
                link.load(number, &c.cell.workers[number as usize].room)
            };
            links.iter().filter_map(load).collect()
        })
    })
}
