//! Admission queue of one service: which request gets the next slot, and which is refused at once.
//!
//! Classes with a higher price go first. Within a class, customers are served by start-time fair
//! queueing, so that a burst of one customer delays only itself. A request whose expected wait
//! exceeds its deadline is refused as soon as that is clear, not when the deadline passes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use myrtle_base::Kind;

/// Weight of one answer in the mean time that a request holds a slot.
const SMOOTHING: f64 = 0.02;

/// Share of its remaining time that a request may spend waiting; the rest allows for a slow
/// upstream.
const MAX_WAIT: f64 = 0.7;

/// A request with less remaining time than this many mean slot times is refused.
const MIN_SLOT_TIMES: f64 = 1.5;

/// Waiting requests per slot above which the cheapest are refused, whatever their deadlines.
const MAX_QUEUED: usize = 16;

/// A request for a slot.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// A unique number chosen by the caller.
    pub id: u64,
    /// The customer's number.
    pub customer: u32,
    /// The price of its class.
    pub price: u32,
    /// The deadline of its answer.
    pub deadline: Duration,
}

/// A request that is refused while it waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejected {
    /// Its [`Arrival::id`].
    pub id: u64,
    /// The reason.
    pub kind: Kind,
    /// How long the caller should wait before it repeats the request.
    pub after: Duration,
}

/// A request that gets a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admitted {
    /// Its [`Arrival::id`].
    pub id: u64,
}

/// Order in the queue: highest price, then fair queueing turn, then order of arrival.
type Position = (Reverse<u32>, u64, u64);

/// The requests of one service that wait for a slot at one gate.
#[derive(Debug)]
pub struct Admission {
    queue: BTreeMap<Position, Arrival>,
    positions: HashMap<u64, Position>,
    last_turns: HashMap<(u32, u32), u64>,
    virtual_time: HashMap<u32, u64>,
    mean_secs: f64,
    arrivals: u64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            queue: BTreeMap::new(),
            positions: HashMap::new(),
            last_turns: HashMap::new(),
            virtual_time: HashMap::new(),
            mean_secs: 0.02,
            arrivals: 0,
        }
    }
}

impl Admission {
    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Queues a request; returns the requests that must be refused now, possibly including it.
    pub fn enqueue(&mut self, arrival: Arrival, slots: u32, now: Duration) -> Vec<Rejected> {
        let position = self.position(&arrival);
        self.queue.insert(position, arrival);
        self.positions.insert(arrival.id, position);
        self.shed(slots, now)
    }

    /// Refuses the last requests in the queue that can't be answered in time any more.
    pub fn shed(&mut self, slots: u32, now: Duration) -> Vec<Rejected> {
        let mut rejected = Vec::new();
        while let Some((position, last)) = self.queue.last_key_value() {
            let (position, last) = (*position, *last);
            let wait = self.wait(self.queue.len() - 1, slots);
            let left = last.deadline.saturating_sub(now).as_secs_f64();
            let full = self.queue.len() > MAX_QUEUED * slots.max(1) as usize;
            if !full && wait + self.mean_secs <= left * MAX_WAIT {
                break;
            }
            let kind = if full || wait > self.mean_secs { Kind::Overload } else { Kind::NoTime };
            self.remove(position);
            let after = Duration::from_secs_f64(wait.clamp(0.1, 5.0));
            rejected.push(Rejected { id: last.id, kind, after });
        }
        rejected
    }

    /// Whether a request has too little time left to be run at all.
    pub fn too_late(&self, arrival: &Arrival, now: Duration) -> bool {
        arrival.deadline.saturating_sub(now).as_secs_f64() < self.mean_secs * MIN_SLOT_TIMES
    }

    /// Removes the request that gets the next free slot; refuses those that are too late.
    pub fn next(&mut self, now: Duration, rejected: &mut Vec<Rejected>) -> Option<Admitted> {
        while let Some((position, first)) = self.queue.first_key_value() {
            let (position, first) = (*position, *first);
            self.remove(position);
            self.virtual_time.insert(first.price, position.1);
            if !self.too_late(&first, now) {
                return Some(Admitted { id: first.id });
            }
            let after = Duration::from_millis(100);
            rejected.push(Rejected { id: first.id, kind: Kind::NoTime, after });
        }
        None
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel(&mut self, id: u64) {
        if let Some(position) = self.positions.get(&id).copied() {
            self.remove(position);
        }
    }

    /// Records how long a request held its slot.
    pub fn record_served(&mut self, took: Duration) {
        self.mean_secs += (took.as_secs_f64() - self.mean_secs) * SMOOTHING;
    }

    /// The expected seconds until `ahead` requests have left `slots` slots.
    fn wait(&self, ahead: usize, slots: u32) -> f64 {
        ahead as f64 * self.mean_secs / f64::from(slots.max(1))
    }

    fn position(&mut self, arrival: &Arrival) -> Position {
        let virtual_time = self.virtual_time.get(&arrival.price).copied().unwrap_or_default();
        let turn = self.last_turns.entry((arrival.price, arrival.customer)).or_default();
        *turn = (*turn).max(virtual_time) + 1;
        self.arrivals += 1;
        (Reverse(arrival.price), *turn, self.arrivals)
    }

    fn remove(&mut self, position: Position) {
        if let Some(arrival) = self.queue.remove(&position) {
            self.positions.remove(&arrival.id);
        }
    }
}
