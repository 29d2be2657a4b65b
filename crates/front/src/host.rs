//! What all parts of a front host share.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

use log::{info, warn};
use tokio_util::task::TaskTracker;

use myrtle_adapter::{Configuration, Machines, Store, Tickets, WaveOrder};
use myrtle_meter::Meter;

use crate::clock::now;
use crate::emptied::Emptied;
use crate::hedge::Seen;
use crate::intake::Intake;
use crate::layout::Layout;
use crate::owned::Owned;
use crate::ownership::Directory;
use crate::ownership::owners::Owners;
use crate::settings::Settings;
use crate::strange::Strange;

/// How long the store may give no good answer before it counts as lost, in milliseconds.
const LOST_AFTER: u64 = 500;

/// For how long calls have to fail before it does: one lost answer is no lost store, and a host that has nothing to
/// ask hears of it once a second.
const FAILING: u64 = 200;

/// How long the store may give no good answer before clients should go elsewhere, in milliseconds: a read of the
/// operator's records that waits for news, and what a slow store adds.
const READY_WITHIN: u64 = 1_500;

/// A front host. Locks are taken one at a time and never held while waiting.
#[derive(Debug)]
pub struct Host {
    /// The settings at the start.
    pub settings: Settings,
    /// The platform's store.
    pub store: Store,
    /// The service that gives out tickets, if there is one.
    pub tickets: Option<Tickets>,
    /// The service that keeps up machines, if there is one.
    pub machines: Option<Machines>,
    /// Counts and latencies.
    pub meter: Meter,
    /// Who owns which cell, as last heard or asked.
    pub owners: Owners,
    /// Who owns which cell, as the owners have written.
    pub directory: Directory,
    /// Records of the operator's that nothing here knows.
    pub strange: Strange,
    /// Which data centres the operator empties.
    pub emptied: Emptied,
    waves: Mutex<BTreeMap<u64, WaveOrder>>,
    configuration: Mutex<Option<Arc<Configuration>>>,
    owned: Mutex<HashMap<u32, Arc<Owned>>>,
    reached: AtomicU64,
    /// Since when calls fail; 0 if the last one did not.
    failing: AtomicU64,
    lost: AtomicBool,
    incarnation: u32,
    intakes: Mutex<HashMap<u32, Arc<Intake>>>,
    asked: Mutex<BTreeSet<u32>>,
    stopping: AtomicBool,
    /// What is still to be told to other owners before the host ends.
    pub handing_on: TaskTracker,
    layout: OnceLock<Layout>,
}

impl Host {
    /// A host that knows nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            store: Store::new(settings.store),
            owners: Owners::new(),
            directory: Directory::default(),
            emptied: Emptied::default(),
            strange: Strange::default(),
            tickets: settings.tickets.map(Tickets::new),
            machines: settings.machines.map(Machines::new),
            settings,
            meter: Meter::default(),
            waves: Mutex::default(),
            configuration: Mutex::default(),
            owned: Mutex::default(),
            reached: AtomicU64::new(0),
            failing: AtomicU64::new(0),
            lost: AtomicBool::new(false),
            incarnation: rand::random(),
            intakes: Mutex::default(),
            asked: Mutex::default(),
            stopping: AtomicBool::new(false),
            handing_on: TaskTracker::new(),
            layout: OnceLock::new(),
        }
    }

    /// The configuration in force, if there is one.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.lock().expect("no holder panics").clone()
    }

    /// Puts a configuration into force unless a later one is.
    pub fn configure(&self, configuration: Configuration) {
        let mut held = self.configuration.lock().expect("no holder panics");
        let old = held.as_ref().map_or(0, |c| c.version);
        if configuration.version <= old {
            return;
        }
        let (version, queues) = (configuration.version, configuration.queues.len());
        *held = Some(Arc::new(configuration));
        info!("event=configuration version={version} before={old} queues={queues}");
    }

    /// Notes a wave of upkeep that the operator asks for.
    pub fn add_wave(&self, wave: WaveOrder) {
        self.waves.lock().expect("no holder panics").insert(wave.number, wave);
    }

    /// The waves of upkeep that the operator asks for.
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

    /// Notes that this host owns a cell.
    pub fn own(&self, cell: u32, owned: Arc<Owned>) {
        self.owned.lock().expect("no holder panics").insert(cell, owned);
    }

    /// Notes that this host no longer owns a cell.
    pub fn disown(&self, cell: u32) -> Option<Arc<Owned>> {
        self.owned.lock().expect("no holder panics").remove(&cell)
    }

    /// Notes an answer of the store.
    pub fn store_reached(&self) {
        self.reached.store(now(), Ordering::Relaxed);
        self.failing.store(0, Ordering::Relaxed);
        if self.lost.swap(false, Ordering::Relaxed) {
            info!("event=store-regained");
        }
    }

    /// Notes that the store gave no good answer.
    pub fn store_missed(&self, why: &impl std::fmt::Display) {
        let since = match self.failing.load(Ordering::Relaxed) {
            0 => now().max(1),
            since => since,
        };
        self.failing.store(since, Ordering::Relaxed);
        let lost = self.store_age() >= LOST_AFTER && now() >= since + FAILING;
        if lost && !self.lost.swap(true, Ordering::Relaxed) {
            warn!("event=store-lost reason=\"{why}\" age_ms={}", self.store_age());
        }
    }

    /// Notes that the store gave no good answer to a question that it was given time for.
    pub fn store_silent(&self, why: &impl std::fmt::Display) {
        self.failing.store(now().saturating_sub(FAILING).max(1), Ordering::Relaxed);
        self.store_missed(why);
    }

    /// Notes what a try of a call to the store came to.
    pub fn note(&self, seen: Seen<'_>) {
        match seen {
            Seen::Answer => self.store_reached(),
            Seen::Failure(e) => self.store_missed(e),
            Seen::Silence => self.store_missed(&"no answer in time"),
        }
    }

    /// Milliseconds since the store last answered.
    pub fn store_age(&self) -> u64 {
        now().saturating_sub(self.reached.load(Ordering::Relaxed))
    }

    /// Whether a configuration is known and the store was reached lately.
    pub fn in_touch(&self) -> bool {
        self.store_age() <= self.settings.bounds.contact
    }

    /// Whether new connections should come here.
    pub fn ready(&self) -> bool {
        !self.stopping()
            && self.configuration().is_some()
            && self.layout().is_some()
            && self.store_age() <= READY_WITHIN
            && !self.store_gone()
    }

    /// Whether the store has given no good answer for a while; other parts go on asking it.
    pub fn store_gone(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }

    /// Which cells there are, once that is known.
    pub fn layout(&self) -> Option<&Layout> {
        self.layout.get()
    }

    /// Notes which cells there are, for good.
    pub fn lay_out(&self, layout: Layout) -> &Layout {
        self.layout.get_or_init(|| layout)
    }

    /// Whether the host has been told to stop.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Notes that the host has been told to stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Where this host answers peers.
    pub fn peer(&self) -> SocketAddr {
        self.settings.peer()
    }

    /// The name under which this host joins groups; it tells others where to find it and how large
    /// a cell it can own.
    ///
    /// A host that was started again is another member: it must not go on under the fencing token
    /// of its last life.
    pub fn member(&self) -> String {
        let (name, carries) = (&self.settings.name, self.settings.carries());
        format!("{name}-{:08x}+{carries}@{}", self.incarnation, self.peer())
    }

    /// Whether this host can own cells of the size that they have.
    pub fn strong(&self) -> bool {
        self.layout().is_none_or(|layout| layout.size() <= self.settings.carries())
    }

    /// Notes that a stronger host asks for a cell.
    pub fn ask_for(&self, cell: u32) {
        self.asked.lock().expect("no holder panics").insert(cell);
    }

    /// Whether a stronger host has asked for a cell since the last look.
    pub fn take_asked(&self, cell: u32) -> bool {
        self.asked.lock().expect("no holder panics").remove(&cell)
    }

    /// The jobs of a cell that wait to be written.
    pub fn intake(&self, cell: u32) -> Arc<Intake> {
        self.intakes.lock().expect("no holder panics").entry(cell).or_default().clone()
    }
}
