//! The state that all tasks of a front host share.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

use log::{info, warn};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use myrtle_adapter::{Configuration, Machines, Store, Tickets, WaveOrder};
use myrtle_meter::Meter;

use crate::clients::Clients;
use crate::clock::now;
use crate::evacuated::Evacuated;
use crate::hedge::Attempt;
use crate::intake::Intake;
use crate::layout::Layout;
use crate::owned::Owned;
use crate::ownership::Directory;
use crate::ownership::owners::Owners;
use crate::settings::Settings;
use crate::tickets::Questions;
use crate::unknown_keys::UnknownKeys;

/// The least time without a good answer before the store counts as lost, in milliseconds.
const LOST_AFTER: u64 = 500;

/// How long calls have to fail as well, in milliseconds: one lost answer is not a lost store, and an idle host calls it
/// only once a second.
const MIN_FAILING: u64 = 200;

/// The longest time without a good answer while the host is ready for clients, in milliseconds: a waiting read of the
/// operator's records plus the delay of a slow store.
const READY_WITHIN: u64 = 1_500;

/// A front host; locks are taken one at a time and never held across an await.
#[derive(Debug)]
pub struct Host {
    /// The settings read at the start.
    pub settings: Settings,
    /// The platform's store.
    pub store: Store,
    /// The ticket service, if there is one.
    pub tickets: Option<Tickets>,
    /// The questions to the ticket service.
    pub questions: Questions,
    /// The machine service, if there is one.
    pub machines: Option<Machines>,
    /// The metrics.
    pub meter: Meter,
    /// The connections of clients, and what is held for them.
    pub clients: Arc<Clients>,
    /// The cached owners of cells.
    pub owners: Owners,
    /// The announced owners of cells.
    pub directory: Directory,
    /// The keys of operator records of unknown kinds.
    pub unknown_keys: UnknownKeys,
    /// The evacuated data centres.
    pub evacuated: Evacuated,
    waves: Mutex<BTreeMap<u64, WaveOrder>>,
    configuration: Mutex<Option<Arc<Configuration>>>,
    owned: Mutex<HashMap<u32, Arc<Owned>>>,
    reached_at: AtomicU64,
    /// When the present failures began; 0 if the last call succeeded.
    failing_since: AtomicU64,
    lost: AtomicBool,
    /// Wakes the task that waits for the store to be back, once it counts as lost.
    pub lost_store: Notify,
    incarnation: u32,
    intakes: Mutex<HashMap<u32, Arc<Intake>>>,
    releases: Mutex<BTreeSet<u32>>,
    stopping: AtomicBool,
    /// Cancelled when requests in progress get their last answers, as the process has to end.
    pub ending: CancellationToken,
    /// Calls to successors that should finish before the process ends.
    pub successor_calls: TaskTracker,
    layout: OnceLock<Layout>,
}

impl Host {
    /// Creates a host without cells or a configuration.
    pub fn new(settings: Settings) -> Self {
        Self {
            store: Store::new(settings.store),
            owners: Owners::new(),
            directory: Directory::default(),
            evacuated: Evacuated::default(),
            unknown_keys: UnknownKeys::default(),
            tickets: settings.tickets.map(Tickets::new),
            questions: Questions::default(),
            machines: settings.machines.map(Machines::new),
            clients: Arc::new(Clients::new(settings.limits)),
            settings,
            meter: Meter::default(),
            waves: Mutex::default(),
            configuration: Mutex::default(),
            owned: Mutex::default(),
            reached_at: AtomicU64::new(0),
            failing_since: AtomicU64::new(0),
            lost: AtomicBool::new(false),
            lost_store: Notify::new(),
            incarnation: rand::random(),
            intakes: Mutex::default(),
            releases: Mutex::default(),
            stopping: AtomicBool::new(false),
            ending: CancellationToken::new(),
            successor_calls: TaskTracker::new(),
            layout: OnceLock::new(),
        }
    }

    /// The configuration in force, if there is one.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.lock().expect("no holder panics").clone()
    }

    /// Applies a configuration unless a later one is in force.
    pub fn configure(&self, configuration: Configuration) {
        let mut current = self.configuration.lock().expect("no holder panics");
        let old = current.as_ref().map_or(0, |c| c.version);
        if configuration.version <= old {
            return;
        }
        let (version, queues) = (configuration.version, configuration.queues.len());
        *current = Some(Arc::new(configuration));
        info!("event=configuration version={version} before={old} queues={queues}");
    }

    /// Adds a maintenance wave that the operator requests.
    pub fn add_wave(&self, wave: WaveOrder) {
        self.waves.lock().expect("no holder panics").insert(wave.number, wave);
    }

    /// The maintenance waves that the operator requests.
    pub fn waves(&self) -> Vec<WaveOrder> {
        self.waves.lock().expect("no holder panics").values().cloned().collect()
    }

    /// The cell, if this host owns it.
    pub fn owned(&self, cell: u32) -> Option<Arc<Owned>> {
        self.owned.lock().expect("no holder panics").get(&cell).cloned()
    }

    /// The cells that this host owns.
    pub fn all_owned(&self) -> Vec<Arc<Owned>> {
        self.owned.lock().expect("no holder panics").values().cloned().collect()
    }

    /// How many cells this host owns.
    pub fn owned_count(&self) -> usize {
        self.owned.lock().expect("no holder panics").len()
    }

    /// Adds a cell that this host owns.
    pub fn own(&self, cell: u32, owned: Arc<Owned>) {
        self.owned.lock().expect("no holder panics").insert(cell, owned);
    }

    /// Removes a cell that this host no longer owns.
    pub fn disown(&self, cell: u32) -> Option<Arc<Owned>> {
        self.owned.lock().expect("no holder panics").remove(&cell)
    }

    /// Records a good answer of the store.
    pub fn store_reached(&self) {
        self.reached_at.store(now(), Ordering::Relaxed);
        self.failing_since.store(0, Ordering::Relaxed);
        if self.lost.swap(false, Ordering::Relaxed) {
            info!("event=store-regained");
        }
    }

    /// Records a failed call to the store.
    pub fn store_failed(&self, why: &impl std::fmt::Display) {
        let since = match self.failing_since.load(Ordering::Relaxed) {
            0 => now().max(1),
            since => since,
        };
        self.failing_since.store(since, Ordering::Relaxed);
        let lost = self.store_age() >= LOST_AFTER && now() >= since + MIN_FAILING;
        if lost && !self.lost.swap(true, Ordering::Relaxed) {
            warn!("event=store-lost reason=\"{why}\" age_ms={}", self.store_age());
            self.lost_store.notify_one();
        }
    }

    /// Records a failed probe of the store, which counts as failing for long enough.
    pub fn store_timed_out(&self, why: &impl std::fmt::Display) {
        self.failing_since.store(now().saturating_sub(MIN_FAILING).max(1), Ordering::Relaxed);
        self.store_failed(why);
    }

    /// Records the result of an attempt to call the store.
    pub fn note(&self, attempt: Attempt<'_>) {
        match attempt {
            Attempt::Answer => self.store_reached(),
            Attempt::Failure(e) => self.store_failed(e),
            Attempt::NoAnswer => self.store_failed(&"no answer in time"),
        }
    }

    /// Milliseconds since the store last answered.
    pub fn store_age(&self) -> u64 {
        now().saturating_sub(self.reached_at.load(Ordering::Relaxed))
    }

    /// Whether the store answered within the time that the settings allow.
    pub fn in_contact(&self) -> bool {
        self.store_age() <= self.settings.bounds.contact
    }

    /// Whether the host is ready for new connections.
    pub fn ready(&self) -> bool {
        !self.stopping()
            && self.configuration().is_some()
            && self.layout().is_some()
            && self.store_age() <= READY_WITHIN
            && !self.store_lost()
    }

    /// Whether the store counts as lost; calls to it continue.
    pub fn store_lost(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }

    /// The layout of cells, once it is known.
    pub fn layout(&self) -> Option<&Layout> {
        self.layout.get()
    }

    /// Sets the layout of cells, which then stays.
    pub fn set_layout(&self, layout: Layout) -> &Layout {
        self.layout.get_or_init(|| layout)
    }

    /// Whether the process is stopping.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Marks the process as stopping.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// The address of this host's peer service.
    pub fn peer(&self) -> SocketAddr {
        self.settings.peer()
    }

    /// The member name of this host in groups; it contains the peer address and the capacity in workers.
    ///
    /// A restarted host is another member, as it must not continue under the fencing token of its last incarnation.
    pub fn member(&self) -> String {
        let (name, max_workers) = (&self.settings.name, self.settings.max_workers());
        format!("{name}-{:08x}+{max_workers}@{}", self.incarnation, self.peer())
    }

    /// Whether this host has the capacity to own the largest cell.
    pub fn has_capacity(&self) -> bool {
        self.layout().is_none_or(|layout| layout.max_size() <= self.settings.max_workers())
    }

    /// Records that a host with the capacity asks for a cell.
    pub fn ask_release(&self, cell: u32) {
        self.releases.lock().expect("no holder panics").insert(cell);
    }

    /// Whether such a host has asked for a cell since the last call.
    pub fn release_asked(&self, cell: u32) -> bool {
        self.releases.lock().expect("no holder panics").remove(&cell)
    }

    /// The queue of accepted jobs of a cell.
    pub fn intake(&self, cell: u32) -> Arc<Intake> {
        self.intakes.lock().expect("no holder panics").entry(cell).or_default().clone()
    }
}
