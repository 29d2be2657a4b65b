//! The resources that this gate coordinates: ledgers of limits and buckets of keys.

use std::collections::BTreeMap;
use std::time::Duration;

use uuid::Uuid;

use myrtle_cell::{Coordinator, Resource};
use myrtle_peer::{CoordinatorReply, ResourceState};
use myrtle_route::{ALLOCATION_TTL, AllocationRequest, Bucket, KeyTable, Ledger, bucket_of};

use crate::tables::{Tables, wall};
use crate::view::View;

/// Slots of an upstream whose service is not configured.
const NO_SLOTS: u32 = 0;

/// After a limit was taken over without its ledger, nothing is allocated until all earlier
/// allocations have expired.
const GUARD: Duration = ALLOCATION_TTL.saturating_add(Duration::from_secs(2));

/// Ledgers and buckets, and those received from earlier coordinators but not yet in use.
#[derive(Debug, Default)]
pub struct Resources {
    limits: BTreeMap<Resource, Limit>,
    keys: KeyTable,
    terms: BTreeMap<Resource, u64>,
    incoming: BTreeMap<Resource, ResourceState>,
}

#[derive(Debug)]
struct Limit {
    ledger: Ledger,
    closed_until: Duration,
}

impl Resources {
    /// The bucket of a key, if this gate coordinates it.
    pub fn bucket(&mut self, key: &Uuid) -> Option<&mut Bucket> {
        self.keys.bucket(bucket_of(key))
    }

    /// The resources that this gate coordinates.
    pub fn resources(&self) -> Vec<Resource> {
        self.terms.keys().cloned().collect()
    }

    /// Removes everything, as the lease has expired.
    pub fn clear(&mut self) {
        self.limits.clear();
        self.keys.clear();
        self.terms.clear();
        self.incoming.clear();
    }

    /// Stores the state that an earlier coordinator sent; it is used once the cell makes this gate
    /// the coordinator.
    pub fn receive(&mut self, resource: Resource, state: ResourceState, now: Duration) {
        let state = match state {
            ResourceState::Ledger(mut ledger) => {
                ledger.convert_times(Duration::ZERO, now);
                ResourceState::Ledger(ledger)
            }
            bucket => bucket,
        };
        self.incoming.insert(resource, state);
    }

    /// Stops coordinating a resource and returns its state, with times relative to `now`.
    pub fn close(&mut self, resource: &Resource, now: Duration) -> Option<ResourceState> {
        self.terms.remove(resource)?;
        match resource {
            Resource::Keys(no) => self.keys.close(*no).map(ResourceState::Bucket),
            _ => self.limits.remove(resource).map(|mut limited| {
                limited.ledger.convert_times(now, Duration::ZERO);
                ResourceState::Ledger(limited.ledger)
            }),
        }
    }

    /// Answers a gate's requests for allocations.
    pub fn allocate(
        &mut self,
        gate: &str,
        incarnation: u64,
        seq: u64,
        requests: Vec<(Resource, AllocationRequest)>,
        now: Duration,
        lease_left: Duration,
    ) -> CoordinatorReply {
        let mut reply = CoordinatorReply { lease_left: lease_left.into(), replies: Vec::new() };
        for (resource, request) in requests {
            let Some(limited) = self.limits.get_mut(&resource) else { continue };
            if now < limited.closed_until {
                continue;
            }
            if let Some(allocation) = limited.ledger.allocate(gate, incarnation, seq, request, now)
            {
                reply.replies.push((resource, allocation));
            }
        }
        reply
    }

    /// Opens and closes resources as the cell assigns them, and sets their limits.
    fn reconcile(&mut self, view: &View, name: &str, now: Duration) {
        let own = |resource: &Resource| {
            view.peering.coordinators.get(resource).filter(|k| k.gate == name)
        };
        let gone: Vec<Resource> = self.terms.keys().filter(|u| own(u).is_none()).cloned().collect();
        for resource in gone {
            self.close(&resource, now);
        }
        for (resource, assigned) in view.peering.coordinators.iter().filter(|(_, k)| k.gate == name)
        {
            let limit = limit(view, resource);
            if self.terms.get(resource) != Some(&assigned.term) {
                self.open(resource, assigned, limit, now);
            }
            if let Some(limited) = self.limits.get_mut(resource) {
                limited.ledger.set_limit(limit);
            }
        }
    }

    fn open(&mut self, resource: &Resource, assigned: &Coordinator, limit: u32, now: Duration) {
        self.terms.insert(resource.clone(), assigned.term);
        let state = self.incoming.remove(resource).filter(|_| assigned.reassigned);
        match (resource, state) {
            (Resource::Keys(no), Some(ResourceState::Bucket(bucket))) => {
                self.keys.open(*no, bucket)
            }
            (Resource::Keys(no), _) if assigned.reassigned => {
                self.keys.open(*no, Bucket::since(wall()))
            }
            (Resource::Keys(no), _) => self.keys.open(*no, Bucket::since(assigned.since)),
            (_, Some(ResourceState::Ledger(ledger))) => {
                let limited = Limit { ledger, closed_until: Duration::ZERO };
                self.limits.insert(resource.clone(), limited);
            }
            _ => {
                let closed_until = if assigned.reassigned { now + GUARD } else { Duration::ZERO };
                let ledger = Ledger::new(&resource.to_string(), limit);
                self.limits.insert(resource.clone(), Limit { ledger, closed_until });
            }
        }
    }
}

impl Tables {
    /// Brings the resources of this gate in line with its newest view.
    pub fn reconcile_resources(&self) {
        let view = self.view.load_full();
        let now = self.now();
        if !self.is_listed() {
            return self.resources(|r| r.clear());
        }
        self.resources(|r| r.reconcile(&view, self.name(), now));
    }

    /// Answers a gate's requests for allocations, unless this gate's lease has expired.
    pub fn allocate(
        &self,
        gate: &str,
        incarnation: u64,
        seq: u64,
        requests: Vec<(Resource, AllocationRequest)>,
    ) -> CoordinatorReply {
        let lease_left = self.lease_left();
        if lease_left.is_zero() || !self.is_listed() {
            return CoordinatorReply::default();
        }
        let now = self.now();
        self.resources(|r| r.allocate(gate, incarnation, seq, requests, now, lease_left))
    }
}

/// The configured limit of a resource.
fn limit(view: &View, resource: &Resource) -> u32 {
    match resource {
        Resource::Upstream(name) => {
            let upstream = view.peering.upstreams.iter().find(|u| u.name == *name);
            let service = upstream.and_then(|u| view.services.get(&u.service));
            service.map_or(NO_SLOTS, |s| s.slots)
        }
        Resource::Customer(name) => {
            let customer = view.customers.values().find(|c| c.name == *name);
            customer.map_or(0, |c| c.rate)
        }
        Resource::Keys(_) => 0,
    }
}
