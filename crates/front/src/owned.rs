//! A cell that this host owns: its state, and what the tasks that act for it share.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use log::{info, warn};
use tokio::sync::{Notify, Semaphore, watch};

use myrtle_adapter::WorkerClient;
use myrtle_job::Incarnation;
use myrtle_owner::{Cell, Order};

use crate::busy::Busy;
use crate::clock::now;
use crate::delivery::Outbox;

/// The number of orders in progress per worker; more would need more connections to it.
const MAX_ORDERS: usize = 2;

/// A worker's client and the limit on its orders in progress.
#[derive(Debug)]
pub struct WorkerLink {
    /// The client.
    pub client: WorkerClient,
    /// The permits for orders.
    pub permits: Semaphore,
}

/// A cell that this host owns.
#[derive(Debug)]
pub struct Owned {
    /// The cell's number.
    pub cell: u32,
    /// The fencing token.
    pub fence: u64,
    /// Wakes the task that plans and writes.
    pub wake: Notify,
    /// The number of batches in the log.
    pub committed: watch::Sender<u64>,
    /// The measured time of this owner's work.
    pub busy: Busy,
    next_offset: Mutex<u64>,
    state: Mutex<Cell>,
    outbox: Mutex<Outbox>,
    renewing: Mutex<BTreeSet<Incarnation>>,
    links: Mutex<HashMap<Incarnation, Arc<WorkerLink>>>,
    confirmed_at: AtomicU64,
    /// The time to live of the owner's membership, in milliseconds.
    ttl: u64,
    closed: AtomicBool,
    deposed: AtomicBool,
    writing: AtomicBool,
}

impl Owned {
    /// Creates the owner of a cell, which the store last confirmed at `confirmed_at`; the membership lives for `ttl`
    /// milliseconds.
    pub fn new(cell: u32, fence: u64, state: Cell, confirmed_at: u64, ttl: u64) -> Self {
        Self {
            cell,
            fence,
            wake: Notify::new(),
            committed: watch::Sender::new(0),
            busy: Busy::default(),
            next_offset: Mutex::new(0),
            state: Mutex::new(state),
            outbox: Mutex::default(),
            renewing: Mutex::default(),
            links: Mutex::default(),
            confirmed_at: AtomicU64::new(confirmed_at),
            ttl,
            closed: AtomicBool::new(false),
            deposed: AtomicBool::new(false),
            writing: AtomicBool::new(false),
        }
    }

    /// Locks the cell's state.
    pub fn state(&self) -> MutexGuard<'_, Cell> {
        self.state.lock().expect("no holder panics")
    }

    /// Locks the offset from which the log of jobs is to be read; whoever locks the state as well does so afterwards.
    pub fn next_offset(&self) -> MutexGuard<'_, u64> {
        self.next_offset.lock().expect("no holder panics")
    }

    /// Locks the records that wait to be appended to other cells' logs.
    pub fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().expect("no holder panics")
    }

    /// The link to a worker, created at the first use; nothing if the worker has no listing.
    pub fn link(&self, worker: &Incarnation) -> Option<Arc<WorkerLink>> {
        let address = self.state().workers.get(worker)?.listing.as_ref()?.address;
        let mut links = self.links.lock().expect("no holder panics");
        let link = links.entry(worker.clone()).or_insert_with(|| {
            let client = WorkerClient::new(address, worker);
            Arc::new(WorkerLink { client, permits: Semaphore::new(MAX_ORDERS) })
        });
        Some(link.clone())
    }

    /// Marks an incarnation's lease as being renewed; false if it was before.
    pub fn start_renewal(&self, worker: &Incarnation) -> bool {
        self.renewing.lock().expect("no holder panics").insert(worker.clone())
    }

    /// Forgets a worker's link; renewal starts again if it is listed again.
    pub fn forget_worker(&self, worker: &Incarnation) {
        self.renewing.lock().expect("no holder panics").remove(worker);
        self.links.lock().expect("no holder panics").remove(worker);
    }

    /// Whether leases may be granted: a successor relies on none being granted once the store may have assigned the
    /// cell to it.
    pub fn may_lease(&self) -> bool {
        !self.closed() && self.unconfirmed() < self.ttl
    }

    /// Records that the store may assign the cell elsewhere from now on.
    pub fn unconfirm(&self) {
        self.confirmed_at.store(0, Ordering::Relaxed);
    }

    /// Records that the store confirmed the ownership at a time.
    pub fn confirm(&self, at: u64) {
        self.confirmed_at.fetch_max(at, Ordering::Relaxed);
    }

    /// Milliseconds since the store confirmed the ownership.
    pub fn unconfirmed(&self) -> u64 {
        now().saturating_sub(self.confirmed_at.load(Ordering::Relaxed))
    }

    /// Whether this host no longer acts for the cell.
    pub fn closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Stops acting for the cell.
    pub fn close(&self, why: &str) {
        if !self.closed.swap(true, Ordering::Relaxed) {
            info!("event=owner-stops cell={} fence={} reason=\"{why}\"", self.cell, self.fence);
        }
        self.wake.notify_one();
    }

    /// Whether a batch is being appended to the log.
    pub fn writing(&self) -> bool {
        self.writing.load(Ordering::Relaxed)
    }

    /// Sets whether a batch is being appended to the log.
    pub fn set_writing(&self, writing: bool) {
        self.writing.store(writing, Ordering::Relaxed);
    }

    /// Whether a later owner was detected.
    pub fn deposed(&self) -> bool {
        self.deposed.load(Ordering::Relaxed)
    }

    /// Closes the owner because a later one was detected.
    pub fn depose(&self, by: &str) {
        if !self.deposed.swap(true, Ordering::Relaxed) {
            warn!("event=owner-deposed cell={} fence={} by=\"{by}\"", self.cell, self.fence);
        }
        self.close("a later owner exists");
    }

    /// Sends orders, each in its own task.
    pub fn dispatch(self: &Arc<Self>, orders: Vec<Order>) {
        for order in orders {
            let owned = self.clone();
            tokio::spawn(async move { crate::orders::send(owned, order).await });
        }
    }
}
