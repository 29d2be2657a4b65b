//! The tables that all parts of the process share.

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

use crate::core::Core;
use crate::keeper::Books;
use crate::life::{Event, Life, State};
use crate::pool::Pool;
use crate::view::View;

/// Connections to other processes.
#[derive(Debug, Default)]
pub struct Peers {
    /// Scheds of the data centre, by name.
    pub scheds: BTreeMap<String, Arc<Link<SchedPeerClient>>>,
    /// Gates by address.
    pub gates: HashMap<SocketAddr, Arc<Link<GatePeerClient>>>,
}

/// What was served, by party and class.
pub type Served = BTreeMap<(String, String), Usage>;

/// Everything shared.
pub struct Tables {
    /// The process's settings.
    pub settings: Settings,
    /// The events.
    pub ring: Ring,
    /// The figures.
    pub meter: Meter,
    /// The host list.
    pub list: HostList,
    /// What requests need, read without a lock.
    pub view: ArcSwap<View>,
    /// Asks the process to stop as planned.
    pub stop: Notify,
    /// Wakes the borrower when more slots are needed.
    pub needy: Notify,
    /// Wakes requests that wait for a token when a keeper has lent.
    pub lent: Notify,
    start: Instant,
    boot: AtomicU64,
    lease: AtomicU64,
    life: Mutex<StateMachine<Life>>,
    core: Mutex<BTreeMap<String, Core>>,
    books: Mutex<Books>,
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
            needy: Notify::new(),
            lent: Notify::new(),
            start: Instant::now(),
            boot: AtomicU64::new(wall().0),
            lease: AtomicU64::new(0),
            life: Mutex::new(Life.state_machine()),
            core: Mutex::default(),
            books: Mutex::default(),
            peers: Mutex::default(),
            pool: Mutex::default(),
            served: Mutex::default(),
            reported: Mutex::default(),
            settings,
        }
    }

    table!(
        /// Slots and waiting requests, by service; first in the lock order.
        core: BTreeMap<String, Core>
    );
    table!(
        /// What this gate keeps; second in the lock order.
        books: Books
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
        /// What of it was reported; last in the lock order.
        reported: Served
    );

    /// Looks at the slots of one service, if it is configured.
    pub fn with_core<R>(&self, service: &str, look: impl FnOnce(&mut Core) -> R) -> Option<R> {
        self.core(|cores| cores.get_mut(service).map(look))
    }

    /// The process's own clock.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The name of this gate.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// The life of this gate; a new one begins whenever its lease has lapsed.
    pub fn boot(&self) -> u64 {
        self.boot.load(Ordering::Acquire)
    }

    /// Begins a new life.
    pub fn reborn(&self) {
        let next = wall().0.max(self.boot() + 1);
        self.boot.store(next, Ordering::Release);
    }

    /// When this gate's lease ends, by its own clock.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease.load(Ordering::Acquire))
    }

    /// Takes in a renewed lease.
    pub fn set_lease(&self, until: Millis) {
        self.lease.fetch_max(until.0, Ordering::AcqRel);
    }

    /// How long the lease still runs.
    pub fn lease_left(&self) -> Duration {
        self.lease().saturating_sub(self.now())
    }

    /// Whether this gate's present life is up in the newest view.
    pub fn entered(&self) -> bool {
        self.view.load().peering.gates.get(self.name()) == Some(&self.boot())
    }

    /// Takes in an event of the gate's life.
    pub fn live(&self, event: Event) {
        let mut life = self.life.lock().expect("no holder panics");
        let before = life.state().clone();
        life.handle(&event);
        let after = life.state().clone();
        drop(life);
        if before != after {
            self.ring.add("gate", format!("{before:?} to {after:?}"));
        }
    }

    /// Where the gate stands in its life.
    pub fn state(&self) -> State {
        self.life.lock().expect("no holder panics").state().clone()
    }

    /// Whether the gate serves.
    pub fn ready(&self) -> bool {
        self.state().serves() && !self.lease_left().is_zero()
    }

    /// The connection to another gate.
    pub fn gate_link(&self, at: SocketAddr) -> Arc<Link<GatePeerClient>> {
        self.peers(|p| p.gates.entry(at).or_insert_with(|| Arc::new(Link::new(at))).clone())
    }

    /// The connections to the scheds of the data centre, this host's own order of preference.
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
