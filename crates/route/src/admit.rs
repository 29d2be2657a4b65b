//! The waiting room: who gets the next slot, and who is refused at once.
//!
//! Dearer classes go first. Within a class, parties take turns by start-time fair queueing, so a
//! flood of one party waits behind itself. A request whose expected wait is beyond its deadline is
//! refused when that becomes clear, not when the deadline comes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use myrtle_base::Kind;

/// How much one answer moves the expected time in a slot.
const WEIGHT: f64 = 0.02;

/// The part of its time left that a request may plan to wait; the rest is for being slow.
const MARGIN: f64 = 0.7;

/// A request with less time left than this many usual times in a slot is refused.
const LATE: f64 = 1.5;

/// Waiting requests per slot above which the cheapest are refused, whatever their deadlines.
const DEPTH: usize = 16;

/// A request that wants a slot.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Its number, given by the caller and unique.
    pub id: u64,
    /// The party's number.
    pub party: u32,
    /// The price of its class.
    pub price: u32,
    /// When its answer is due.
    pub deadline: Duration,
}

/// A request that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dropped {
    /// Its number.
    pub id: u64,
    /// Why.
    pub kind: Kind,
    /// When to come back.
    pub after: Duration,
}

/// A request that gets a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Taken {
    /// Its number.
    pub id: u64,
}

/// Dearest class first, then fair turns, then order of arrival.
type Place = (Reverse<u32>, u64, u64);

/// The waiting room of one service at one gate.
#[derive(Debug)]
pub struct Admit {
    queue: BTreeMap<Place, Arrival>,
    places: HashMap<u64, Place>,
    turns: HashMap<(u32, u32), u64>,
    served: HashMap<u32, u64>,
    service: f64,
    arrivals: u64,
}

impl Default for Admit {
    fn default() -> Self {
        Self {
            queue: BTreeMap::new(),
            places: HashMap::new(),
            turns: HashMap::new(),
            served: HashMap::new(),
            service: 0.02,
            arrivals: 0,
        }
    }
}

impl Admit {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Lets a request wait; returns those that must be refused now, which may be itself.
    pub fn enter(&mut self, arrival: Arrival, slots: u32, now: Duration) -> Vec<Dropped> {
        let place = self.place(&arrival);
        self.queue.insert(place, arrival);
        self.places.insert(arrival.id, place);
        self.sweep(slots, now)
    }

    /// Refuses from the back whoever cannot be served in time any more.
    pub fn sweep(&mut self, slots: u32, now: Duration) -> Vec<Dropped> {
        let mut dropped = Vec::new();
        while let Some((place, last)) = self.queue.last_key_value() {
            let (place, last) = (*place, *last);
            let wait = self.wait(self.queue.len() - 1, slots);
            let left = last.deadline.saturating_sub(now).as_secs_f64();
            let full = self.queue.len() > DEPTH * slots.max(1) as usize;
            if !full && wait + self.service <= left * MARGIN {
                break;
            }
            let kind = if full || wait > self.service { Kind::Overload } else { Kind::NoTime };
            self.remove(place);
            let after = Duration::from_secs_f64(wait.clamp(0.1, 5.0));
            dropped.push(Dropped { id: last.id, kind, after });
        }
        dropped
    }

    /// Whether a request has too little time to be run at all.
    pub fn too_late(&self, arrival: &Arrival, now: Duration) -> bool {
        arrival.deadline.saturating_sub(now).as_secs_f64() < self.service * LATE
    }

    /// The request that gets the next free slot; those that are too late are refused.
    pub fn next(&mut self, now: Duration, dropped: &mut Vec<Dropped>) -> Option<Taken> {
        while let Some((place, first)) = self.queue.first_key_value() {
            let (place, first) = (*place, *first);
            self.remove(place);
            self.served.insert(first.price, place.1);
            if !self.too_late(&first, now) {
                return Some(Taken { id: first.id });
            }
            let after = Duration::from_millis(100);
            dropped.push(Dropped { id: first.id, kind: Kind::NoTime, after });
        }
        None
    }

    /// Takes out a request whose caller went away.
    pub fn cancel(&mut self, id: u64) {
        if let Some(place) = self.places.get(&id).copied() {
            self.remove(place);
        }
    }

    /// Takes in how long a request held its slot.
    pub fn served(&mut self, took: Duration) {
        self.service += (took.as_secs_f64() - self.service) * WEIGHT;
    }

    /// Seconds until `ahead` requests have left `slots` slots.
    fn wait(&self, ahead: usize, slots: u32) -> f64 {
        ahead as f64 * self.service / f64::from(slots.max(1))
    }

    fn place(&mut self, arrival: &Arrival) -> Place {
        let served = self.served.get(&arrival.price).copied().unwrap_or_default();
        let turn = self.turns.entry((arrival.price, arrival.party)).or_default();
        *turn = (*turn).max(served) + 1;
        self.arrivals += 1;
        (Reverse(arrival.price), *turn, self.arrivals)
    }

    fn remove(&mut self, place: Place) {
        if let Some(arrival) = self.queue.remove(&place) {
            self.places.remove(&arrival.id);
        }
    }
}
