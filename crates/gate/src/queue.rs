//! The slots of one service at this gate, and the requests that wait for them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;

use myrtle_base::Kind;
use myrtle_peer::UpstreamView;
use myrtle_route::{
    Admission, Allocations, Arrival, Budget, Fault, Rate, Rejected, Scored, Ticket, Upstreams,
};

/// The time over which the peak of slots in use is kept.
const PEAK_WINDOW: Duration = Duration::from_secs(1);

/// The kind of refusal, and how long the caller should wait before it repeats the request.
pub type Refused = (Kind, Duration);

/// What a request that waited for a slot gets.
pub type SlotResult = Result<Ticket, Refused>;

/// One upstream's name and address.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// The name of its resource.
    pub resource: String,
    /// Its address.
    pub at: SocketAddr,
}

/// The slots and waiting requests of one service.
#[derive(Debug)]
pub struct ServiceQueue {
    /// The upstreams with their slots.
    pub upstreams: Upstreams<Scored>,
    /// The upstreams' names and addresses, by number.
    pub endpoints: Vec<Endpoint>,
    /// The budget of retries.
    pub budget: Budget,
    /// The customers' rates, by name.
    pub rates: HashMap<String, Rate>,
    /// The allocations of this gate.
    pub allocations: Allocations,
    even_split: u32,
    peak: u32,
    last_peak: u32,
    peak_since: Duration,
    admit: Admission,
    waiting: HashMap<u64, oneshot::Sender<SlotResult>>,
    numbers: BTreeMap<String, u32>,
    next: u64,
}

impl ServiceQueue {
    /// A queue without upstreams.
    pub fn new(seed: u64) -> Self {
        Self {
            upstreams: Upstreams::new(Scored, ChaCha8Rng::seed_from_u64(seed)),
            endpoints: Vec::new(),
            budget: Budget::default(),
            rates: HashMap::new(),
            allocations: Allocations::default(),
            even_split: 0,
            peak: 0,
            last_peak: 0,
            peak_since: Duration::ZERO,
            admit: Admission::default(),
            waiting: HashMap::new(),
            numbers: BTreeMap::new(),
            next: 0,
        }
    }

    /// Updates the upstreams from a view; one that is missing is leaving.
    pub fn set_upstreams(&mut self, views: &[UpstreamView]) {
        let mut listed = vec![false; self.endpoints.len()];
        for view in views {
            let number = self.number(view);
            listed.resize(self.endpoints.len(), false);
            listed[number as usize] = true;
            self.endpoints[number as usize].at = view.at;
            self.upstreams.set_leaving(number, view.leaving);
        }
        for (number, listed) in listed.iter().enumerate() {
            if !listed {
                self.upstreams.set_leaving(number as u32, true);
            }
        }
    }

    /// Sets the slots that an even split among the gates would give.
    pub fn set_even_split(&mut self, slots: u32) {
        self.even_split = slots;
    }

    /// Sets the slots from the allocations, which grow, shrink and expire.
    pub fn set_slots(&mut self, now: Duration) {
        for number in 0..self.endpoints.len() {
            let held = self.allocations.usable(&self.endpoints[number].resource, now);
            if self.upstreams.get(number as u32).held != held {
                self.upstreams.set_slots(number as u32, held);
            }
        }
    }

    /// Takes a slot, or queues the request, which then gets a slot or a refusal.
    pub fn enter(
        &mut self,
        arrival: Arrival,
        now: Duration,
        avoid: Option<u32>,
    ) -> Result<Ticket, oneshot::Receiver<SlotResult>> {
        if self.admit.is_empty()
            && !self.admit.too_late(&arrival, now)
            && let Some(ticket) = self.take(now, avoid, 1)
        {
            self.update_peak();
            return Ok(ticket);
        }
        let id = self.next;
        self.next += 1;
        let (sender, result) = oneshot::channel();
        self.waiting.insert(id, sender);
        let slots = self.slots();
        let rejected = self.admit.enqueue(Arrival { id, ..arrival }, slots, now);
        self.refuse(rejected);
        self.update_peak();
        self.dispatch(now);
        Err(result)
    }

    /// Gives free slots to waiting requests in the order of the queue.
    pub fn dispatch(&mut self, now: Duration) {
        let mut rejected = Vec::new();
        while !self.admit.is_empty() {
            let waiting = self.admit.len();
            let Some(ticket) = self.take(now, None, waiting) else { break };
            let Some(admitted) = self.admit.next(now, &mut rejected) else {
                self.upstreams.give_back(ticket);
                break;
            };
            let sender = self.waiting.remove(&admitted.id);
            let sent = sender.is_some_and(|s| s.send(Ok(ticket)).is_ok());
            if !sent {
                // The caller disconnected while it waited.
                self.upstreams.give_back(ticket);
            }
        }
        let slots = self.slots();
        rejected.extend(self.admit.shed(slots, now));
        self.refuse(rejected);
    }

    /// Gives a slot back after an answer.
    pub fn done(&mut self, ticket: Ticket, now: Duration) {
        self.admit.record_served(now.saturating_sub(ticket.since));
        self.upstreams.done(ticket, now);
        self.dispatch(now);
    }

    /// Gives a slot back after a failure.
    pub fn failed(&mut self, ticket: Ticket, now: Duration, fault: Fault) {
        self.upstreams.failed(ticket, now, fault);
        self.dispatch(now);
    }

    /// The number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.admit.len()
    }

    /// The slots needed recently: the peak of this second and the one before.
    pub fn need(&mut self, now: Duration) -> u32 {
        if now.saturating_sub(self.peak_since) > PEAK_WINDOW {
            self.last_peak = std::mem::replace(&mut self.peak, 0);
            self.peak_since = now;
        }
        self.update_peak();
        self.peak.max(self.last_peak)
    }

    /// Takes a slot whose allocation is still valid; checks only that of the chosen upstream.
    fn take(&mut self, now: Duration, avoid: Option<u32>, waiting: usize) -> Option<Ticket> {
        loop {
            let ticket = self.upstreams.take(now, avoid, waiting)?;
            let resource = &self.endpoints[ticket.upstream as usize].resource;
            let usable = self.allocations.usable(resource, now);
            if self.upstreams.get(ticket.upstream).busy <= usable {
                return Some(ticket);
            }
            // The allocation has expired since the slots were set.
            self.upstreams.give_back(ticket);
            self.upstreams.set_slots(ticket.upstream, usable);
        }
    }

    /// The slots that the queue may count on: a gate that was idle holds few and gets more when it
    /// asks.
    fn slots(&self) -> u32 {
        self.upstreams.slots().max(self.even_split)
    }

    fn update_peak(&mut self) {
        let needed = self.upstreams.busy() + self.admit.len() as u32;
        self.peak = self.peak.max(needed);
    }

    fn refuse(&mut self, rejected: Vec<Rejected>) {
        for request in rejected {
            if let Some(sender) = self.waiting.remove(&request.id) {
                let _ = sender.send(Err((request.kind, request.after)));
            }
        }
    }

    fn number(&mut self, view: &UpstreamView) -> u32 {
        if let Some(number) = self.numbers.get(&view.name) {
            return *number;
        }
        let number = self.upstreams.add();
        let resource = myrtle_cell::Resource::Upstream(view.name.clone()).to_string();
        self.endpoints.push(Endpoint { name: view.name.clone(), resource, at: view.at });
        self.numbers.insert(view.name.clone(), number);
        number
    }
}
