//! The tables that all tasks of the process share.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use statig::blocking::{IntoStateMachineExt, StateMachine};
use tokio::sync::Notify;

use myrtle_base::{Millis, Ring};
use myrtle_cell::Usage;
use myrtle_config::Settings;
use myrtle_meter::Meter;
use myrtle_peer::{GatePeerClient, Link, SchedPeerClient};
use myrtle_platform::{Caller, HostList};

use crate::coordinator::Resources;
use crate::lifecycle::{Event, Lifecycle, State};
use crate::pool::Pool;
use crate::queue::ServiceQueue;
use crate::view::View;

/// Connections to other processes.
#[derive(Debug, Default)]
pub struct Peers {
    /// Scheds of the data centre, by name.
    pub scheds: BTreeMap<String, Arc<Link<SchedPeerClient>>>,
    /// Gates by address.
    pub gates: HashMap<SocketAddr, Arc<Link<GatePeerClient>>>,
}

/// What was served, by customer and class.
pub type Served = BTreeMap<(String, String), Usage>;

/// All shared state.
pub struct Tables {
    /// The process's settings.
    pub settings: Settings,
    /// The event log for operators.
    pub ring: Ring,
    /// The metrics.
    pub meter: Meter,
    /// The host list.
    pub list: HostList,
    /// The configuration and the cell, read without a lock.
    pub view: ArcSwap<View>,
    /// Notified when the process should stop as planned.
    pub stop: Notify,
    /// Notified when more slots or tokens are needed.
    pub more_needed: Notify,
    /// Notified when a coordinator has replied, for requests that wait for a token.
    pub allocated: Notify,
    start: Instant,
    incarnation: AtomicU64,
    lease: AtomicU64,
    lifecycle: Mutex<StateMachine<Lifecycle>>,
    queues: Mutex<BTreeMap<String, ServiceQueue>>,
    resources: Mutex<Resources>,
    peers: Mutex<Peers>,
    pool: Mutex<Pool>,
    served: Mutex<Served>,
    reported: Mutex<Served>,
}

macro_rules! table {
    ($(#[$doc:meta])* $name:ident: $type:ty) => {
        $(#[$doc])*
        pub fn $name<R>(&self, look: impl FnOnce(&mut $type) -> R) -> R {
            look(&mut self.$name.lock().expect("no holder panics"))
        }
    };
}

impl std::fmt::Debug for Tables {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Tables").field("name", &self.settings.name).finish_non_exhaustive()
    }
}

impl Tables {
    /// Empty tables.
    pub fn new(settings: Settings) -> Self {
        Self {
            ring: Ring::new(&settings.name),
            meter: Meter::default(),
            list: HostList::new(Caller::default(), settings.platform.hosts),
            view: ArcSwap::default(),
            stop: Notify::new(),
            more_needed: Notify::new(),
            allocated: Notify::new(),
            start: Instant::now(),
            incarnation: AtomicU64::new(wall().0),
            lease: AtomicU64::new(0),
            lifecycle: Mutex::new(Lifecycle.state_machine()),
            queues: Mutex::default(),
            resources: Mutex::default(),
            peers: Mutex::default(),
            pool: Mutex::default(),
            served: Mutex::default(),
            reported: Mutex::default(),
            settings,
        }
    }

    table!(
        /// Slots and waiting requests, by service; first in the lock order.
        queues: BTreeMap<String, ServiceQueue>
    );
    table!(
        /// Resources that this gate coordinates; second in the lock order.
        resources: Resources
    );
    table!(
        /// Connections to other processes; third in the lock order.
        peers: Peers
    );
    table!(
        /// Idle connections to upstreams; fourth in the lock order.
        pool: Pool
    );
    table!(
        /// What was served; fifth in the lock order.
        served: Served
    );
    table!(
        /// The part of what was served that was reported; last in the lock order.
        reported: Served
    );

    /// Calls `look` with the queue of one service, if it is configured.
    pub fn with_queue<R>(
        &self,
        service: &str,
        look: impl FnOnce(&mut ServiceQueue) -> R,
    ) -> Option<R> {
        self.queues(|queues| queues.get_mut(service).map(look))
    }

    /// Time since the start of the process.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The name of this gate.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// The incarnation of this gate; a new one begins whenever its lease has expired.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Begins a new incarnation.
    pub fn next_incarnation(&self) {
        let next = wall().0.max(self.incarnation() + 1);
        self.incarnation.store(next, Ordering::Release);
    }

    /// When this gate's lease ends, by its own clock.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease.load(Ordering::Acquire))
    }

    /// Applies a renewed lease.
    pub fn set_lease(&self, until: Millis) {
        self.lease.fetch_max(until.0, Ordering::AcqRel);
    }

    /// The remaining time of the lease.
    pub fn lease_left(&self) -> Duration {
        self.lease().saturating_sub(self.now())
    }

    /// Whether this gate's incarnation is up in the newest view.
    pub fn is_listed(&self) -> bool {
        self.view.load().peering.gates.get(self.name()) == Some(&self.incarnation())
    }

    /// Passes an event to the state machine of the gate.
    pub fn handle_event(&self, event: Event) {
        let mut lifecycle = self.lifecycle.lock().expect("no holder panics");
        let before = lifecycle.state().clone();
        lifecycle.handle(&event);
        let after = lifecycle.state().clone();
        drop(lifecycle);
        if before != after {
            self.ring.add("gate", format!("{before:?} to {after:?}"));
        }
    }

    /// The state of the gate.
    pub fn state(&self) -> State {
        self.lifecycle.lock().expect("no holder panics").state().clone()
    }

    /// Whether the gate serves.
    pub fn ready(&self) -> bool {
        self.state().serves() && !self.lease_left().is_zero()
    }

    /// The connection to another gate.
    pub fn gate_link(&self, at: SocketAddr) -> Arc<Link<GatePeerClient>> {
        self.peers(|p| p.gates.entry(at).or_insert_with(|| Arc::new(Link::new(at))).clone())
    }

    /// The connections to the scheds of the data centre, in this gate's own order of preference.
    pub fn sched_links(&self) -> Vec<Arc<Link<SchedPeerClient>>> {
        let mut links: Vec<_> =
            self.peers(|p| p.scheds.iter().map(|(n, l)| (n.clone(), l.clone())).collect());
        links.sort_by_key(|(name, _)| myrtle_base::rank(name, self.name()));
        links.into_iter().map(|(_, link)| link).collect()
    }
}

/// Wall time.
pub fn wall() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().into()
}
