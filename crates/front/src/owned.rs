//! A cell that this host owns: its state, and the parts that act for it.

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

/// Orders that one worker is given at a time; more would open more connections to it.
const AT_ONCE: usize = 2;

/// A worker's client and the bound on orders under way.
#[derive(Debug)]
pub struct Line {
    /// The client.
    pub client: WorkerClient,
    /// Permits for orders.
    pub permits: Semaphore,
}

/// A cell that this host owns.
#[derive(Debug)]
pub struct Owned {
    /// The cell's number.
    pub cell: u32,
    /// The fencing token.
    pub fence: u64,
    /// Wakes the part that plans and writes.
    pub work: Notify,
    /// Counts batches that are in the log.
    pub committed: watch::Sender<u64>,
    /// How far accepted jobs have been read.
    pub read: AtomicU64,
    /// Where this owner's time goes.
    pub busy: Busy,
    state: Mutex<Cell>,
    held: Mutex<BTreeSet<Incarnation>>,
    lines: Mutex<HashMap<Incarnation, Arc<Line>>>,
    confirmed: AtomicU64,
    /// How long the store keeps a silent owner, in milliseconds.
    ttl: u64,
    closed: AtomicBool,
    deposed: AtomicBool,
    writing: AtomicBool,
}

impl Owned {
    /// A cell just taken over, which the store `confirmed` then; it keeps the owner for `ttl` milliseconds without a
    /// word.
    pub fn new(cell: u32, fence: u64, state: Cell, confirmed: u64, ttl: u64) -> Self {
        Self {
            cell,
            fence,
            work: Notify::new(),
            committed: watch::Sender::new(0),
            read: AtomicU64::new(0),
            busy: Busy::default(),
            state: Mutex::new(state),
            held: Mutex::default(),
            lines: Mutex::default(),
            confirmed: AtomicU64::new(confirmed),
            ttl,
            closed: AtomicBool::new(false),
            deposed: AtomicBool::new(false),
            writing: AtomicBool::new(false),
        }
    }

    /// The cell's state, for a moment.
    pub fn state(&self) -> MutexGuard<'_, Cell> {
        self.state.lock().expect("no holder panics")
    }

    /// The client of a worker, made at the first use.
    pub fn line(&self, worker: &Incarnation) -> Option<Arc<Line>> {
        let address = self.state().workers.get(worker)?.listing.as_ref()?.address;
        let mut lines = self.lines.lock().expect("no holder panics");
        let line = lines.entry(worker.clone()).or_insert_with(|| {
            let client = WorkerClient::new(address, worker);
            Arc::new(Line { client, permits: Semaphore::new(AT_ONCE) })
        });
        Some(line.clone())
    }

    /// Notes that an incarnation of a worker is held; false if it was before.
    pub fn hold(&self, worker: &Incarnation) -> bool {
        self.held.lock().expect("no holder panics").insert(worker.clone())
    }

    /// Forgets a worker's client; it is held anew if it is listed again.
    pub fn hang_up(&self, worker: &Incarnation) {
        self.held.lock().expect("no holder panics").remove(worker);
        self.lines.lock().expect("no holder panics").remove(worker);
    }

    /// Whether leases may be given out: the next owner counts on it that none is once the store may have given the
    /// cell away.
    pub fn may_lease(&self) -> bool {
        !self.closed() && self.unconfirmed() < self.ttl
    }

    /// Notes that the store may give the cell away from now on.
    pub fn unconfirm(&self) {
        self.confirmed.store(0, Ordering::Relaxed);
    }

    /// Notes that the store confirmed the ownership at a moment.
    pub fn confirm(&self, at: u64) {
        self.confirmed.fetch_max(at, Ordering::Relaxed);
    }

    /// Milliseconds since the store confirmed the ownership.
    pub fn unconfirmed(&self) -> u64 {
        now().saturating_sub(self.confirmed.load(Ordering::Relaxed))
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
        self.work.notify_one();
    }

    /// Whether a batch is on its way to the log.
    pub fn writing(&self) -> bool {
        self.writing.load(Ordering::Relaxed)
    }

    /// Notes whether a batch is on its way to the log.
    pub fn write(&self, writing: bool) {
        self.writing.store(writing, Ordering::Relaxed);
    }

    /// Whether a later owner has been met.
    pub fn deposed(&self) -> bool {
        self.deposed.load(Ordering::Relaxed)
    }

    /// A later owner has been met.
    pub fn depose(&self, by: &str) {
        if !self.deposed.swap(true, Ordering::Relaxed) {
            warn!("event=owner-deposed cell={} fence={} by=\"{by}\"", self.cell, self.fence);
        }
        self.close("a later owner has taken over");
    }

    /// Sends orders, each by itself.
    pub fn dispatch(self: &Arc<Self>, orders: Vec<Order>) {
        for order in orders {
            let owned = self.clone();
            tokio::spawn(async move { crate::orders::send(owned, order).await });
        }
    }
}
