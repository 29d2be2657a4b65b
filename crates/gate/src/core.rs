//! The slots of one service at this gate and the requests that wait for them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;

use myrtle_base::Kind;
use myrtle_peer::UpstreamView;
use myrtle_route::{
    Admit, Arrival, Budget, Dropped, Fault, Rate, Scored, Shares, Ticket, Upstreams,
};

/// The time over which the most slots in use are remembered.
const PEAK: Duration = Duration::from_secs(1);

/// A refusal with the time after which to come back.
pub type Refused = (Kind, Duration);

/// The answer to a request that waits for a slot.
pub type Turn = Result<Ticket, Refused>;

/// One upstream's name and address.
#[derive(Debug, Clone)]
pub struct Place {
    /// Its name.
    pub name: String,
    /// The name of its unit.
    pub unit: String,
    /// Where it serves.
    pub at: SocketAddr,
}

/// Slots and waiting requests.
#[derive(Debug)]
pub struct Core {
    /// The upstreams with their slots.
    pub upstreams: Upstreams<Scored>,
    /// The upstreams' names, by number.
    pub places: Vec<Place>,
    /// The retries that may be done.
    pub budget: Budget,
    /// The parties' rates, by name.
    pub rates: HashMap<String, Rate>,
    /// What this gate may use of each unit.
    pub shares: Shares,
    potential: u32,
    peak: u32,
    last_peak: u32,
    looked: Duration,
    admit: Admit,
    waiting: HashMap<u64, oneshot::Sender<Turn>>,
    numbers: BTreeMap<String, u32>,
    next: u64,
}

impl Core {
    /// No upstreams yet.
    pub fn new(seed: u64) -> Self {
        Self {
            upstreams: Upstreams::new(Scored, ChaCha8Rng::seed_from_u64(seed)),
            places: Vec::new(),
            budget: Budget::default(),
            rates: HashMap::new(),
            shares: Shares::default(),
            potential: 0,
            peak: 0,
            last_peak: 0,
            looked: Duration::ZERO,
            admit: Admit::default(),
            waiting: HashMap::new(),
            numbers: BTreeMap::new(),
            next: 0,
        }
    }

    /// Takes in the upstreams as a view has them; one that is missing is leaving.
    pub fn set_upstreams(&mut self, views: &[UpstreamView]) {
        let mut there = vec![false; self.places.len()];
        for view in views {
            let no = self.number(view);
            there.resize(self.places.len(), false);
            there[no as usize] = true;
            self.places[no as usize].at = view.at;
            self.upstreams.set_leaving(no, view.leaving);
        }
        for (no, there) in there.iter().enumerate() {
            if !there {
                self.upstreams.set_leaving(no as u32, true);
            }
        }
    }

    /// Sets the slots that an even split among the gates would give.
    pub fn set_potential(&mut self, slots: u32) {
        self.potential = slots;
    }

    /// Brings the slots in line with the shares, which grow, shrink and lapse.
    pub fn set_slots(&mut self, now: Duration) {
        for no in 0..self.places.len() {
            let held = self.shares.usable(&self.places[no].unit, now);
            if self.upstreams.get(no as u32).held != held {
                self.upstreams.hold(no as u32, held);
            }
        }
    }

    /// A slot now, or a place in the waiting room, or a refusal.
    pub fn enter(
        &mut self,
        arrival: Arrival,
        now: Duration,
        avoid: Option<u32>,
    ) -> Result<Ticket, oneshot::Receiver<Turn>> {
        if self.admit.is_empty()
            && !self.admit.too_late(&arrival, now)
            && let Some(ticket) = self.take(now, avoid, 1)
        {
            self.note_peak();
            return Ok(ticket);
        }
        let id = self.next;
        self.next += 1;
        let (sender, turn) = oneshot::channel();
        self.waiting.insert(id, sender);
        let slots = self.slots();
        let dropped = self.admit.enter(Arrival { id, ..arrival }, slots, now);
        self.refuse(dropped);
        self.note_peak();
        self.dispatch(now);
        Err(turn)
    }

    /// Gives free slots to waiting requests, the first in line first.
    pub fn dispatch(&mut self, now: Duration) {
        let mut dropped = Vec::new();
        while !self.admit.is_empty() {
            let waiting = self.admit.len();
            let Some(ticket) = self.take(now, None, waiting) else { break };
            let Some(taken) = self.admit.next(now, &mut dropped) else {
                self.upstreams.give_back(ticket);
                break;
            };
            let sender = self.waiting.remove(&taken.id);
            let sent = sender.is_some_and(|s| s.send(Ok(ticket)).is_ok());
            if !sent {
                // The caller went away while it waited.
                self.upstreams.give_back(ticket);
            }
        }
        let slots = self.slots();
        dropped.extend(self.admit.sweep(slots, now));
        self.refuse(dropped);
    }

    /// Gives a slot back after an answer.
    pub fn done(&mut self, ticket: Ticket, now: Duration) {
        self.admit.served(now.saturating_sub(ticket.since));
        self.upstreams.done(ticket, now);
        self.dispatch(now);
    }

    /// Gives a slot back after a failure.
    pub fn failed(&mut self, ticket: Ticket, now: Duration, fault: Fault) {
        self.upstreams.failed(ticket, now, fault);
        self.dispatch(now);
    }

    /// Requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.admit.len()
    }

    /// The slots needed lately: the peak of this second and the one before.
    pub fn need(&mut self, now: Duration) -> u32 {
        if now.saturating_sub(self.looked) > PEAK {
            self.last_peak = std::mem::replace(&mut self.peak, 0);
            self.looked = now;
        }
        self.note_peak();
        self.peak.max(self.last_peak)
    }

    /// Takes a slot whose loan still runs; only the chosen upstream is looked at.
    fn take(&mut self, now: Duration, avoid: Option<u32>, waiting: usize) -> Option<Ticket> {
        loop {
            let ticket = self.upstreams.take(now, avoid, waiting)?;
            let unit = &self.places[ticket.upstream as usize].unit;
            let usable = self.shares.usable(unit, now);
            if self.upstreams.get(ticket.upstream).busy <= usable {
                return Some(ticket);
            }
            // The loan has lapsed since the slots were set.
            self.upstreams.give_back(ticket);
            self.upstreams.hold(ticket.upstream, usable);
        }
    }

    /// The slots to reckon with: a gate that was quiet holds few and gets more when it asks.
    fn slots(&self) -> u32 {
        self.upstreams.held().max(self.potential)
    }

    fn note_peak(&mut self) {
        let needed = self.upstreams.busy() + self.admit.len() as u32;
        self.peak = self.peak.max(needed);
    }

    fn refuse(&mut self, dropped: Vec<Dropped>) {
        for drop in dropped {
            if let Some(sender) = self.waiting.remove(&drop.id) {
                let _ = sender.send(Err((drop.kind, drop.after)));
            }
        }
    }

    fn number(&mut self, view: &UpstreamView) -> u32 {
        if let Some(no) = self.numbers.get(&view.name) {
            return *no;
        }
        let no = self.upstreams.add();
        let unit = myrtle_cell::Unit::Upstream(view.name.clone()).to_string();
        self.places.push(Place { name: view.name.clone(), unit, at: view.at });
        self.numbers.insert(view.name.clone(), no);
        no
    }
}
