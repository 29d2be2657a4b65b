//! Builds the view of the cell that gates need to serve requests.

use std::hash::{Hash, Hasher};

use xxhash_rust::xxh3::Xxh3Default;

use myrtle_cell::Health;
use myrtle_config::PLATFORM;
use myrtle_peer::{CellView, GateView, KnownVersions, UpstreamView};
use myrtle_platform::{Host, Role};

use crate::tables::Tables;

impl Tables {
    /// Returns the parts of the view that changed since those in `known`.
    pub fn gate_view(&self, known: &KnownVersions) -> GateView {
        let platform = self.config(|c| {
            let scoped = c.scopes.get(PLATFORM)?;
            (scoped.version > known.config).then(|| scoped.clone())
        });
        let peering = self.peering();
        let mark = mark(&peering);
        GateView {
            stamp: self.events.clock().tick(),
            platform,
            hash: mark,
            cell: (mark != known.hash).then_some(peering),
        }
    }

    fn peering(&self) -> CellView {
        self.cell(|c| {
            self.peers(|p| {
                let up = c.cell.gates.iter().filter(|g| g.1.health == Health::Up);
                let gates = p.hosts.iter().filter(|h| h.role == Role::Gate);
                let own = |h: &&Host| h.role == Role::Worker && h.data_centre == self.centre();
                let upstreams = p.hosts.iter().filter(own).filter(|h| !h.service.is_empty());
                let drained = |h: &Host| {
                    let number = c.cell.worker_named(&h.name);
                    number.is_some_and(|number| c.cell.workers[number as usize].draining)
                };
                CellView {
                    next: c.cell.next,
                    coordinators: c.cell.resources.clone(),
                    gates: up.map(|(name, gate)| (name.clone(), gate.incarnation)).collect(),
                    peers: gates
                        .map(|h| (h.name.clone(), (h.data_centre.clone(), h.peer)))
                        .collect(),
                    upstreams: upstreams
                        .map(|h| UpstreamView {
                            name: h.name.clone(),
                            service: h.service.clone(),
                            at: h.peer,
                            leaving: h.leaving || drained(h),
                        })
                        .collect(),
                }
            })
        })
    }
}

/// Hashes the view without its offset, which changes even when nothing relevant to gates does.
fn mark(peering: &CellView) -> u64 {
    let mut hasher = Xxh3Default::new();
    peering.coordinators.hash(&mut hasher);
    peering.gates.hash(&mut hasher);
    peering.peers.hash(&mut hasher);
    peering.upstreams.hash(&mut hasher);
    hasher.finish().max(1)
}
