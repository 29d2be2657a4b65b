//! Event-driven simulation of a routing policy in one scene.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_base::Kind;
use myrtle_route::{
    Admission, Arrival, Budget, Choice, Fault, LeastBusy, Random, RoundRobin, Scored, Ticket,
    TwoChoices, Upstreams,
};

use super::event::{AttemptEnd, Event};
use super::outcome::{Outcome, Policy};
use super::scene::{CLASSES, SLOTS, Scene};

/// Multiple of the usual latency after which a safe request is hedged, as in the gate.
const HEDGE_FACTOR: f64 = 2.5;

/// The shortest delay before a hedged attempt, as in the gate.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(40);

/// Most attempts of a request, as in the gate.
const MAX_ATTEMPTS: u32 = 3;

/// How long an attempt without an answer holds its slot, as in the gate.
const ABANDONED: Duration = Duration::from_secs(30);

/// Slots of an upstream for policies without admission, in effect no limit.
const UNLIMITED: u32 = 1 << 20;

#[derive(Debug)]
struct Request {
    class: usize,
    arrived_at: Duration,
    attempts: u32,
    running: u32,
}

struct Sim<'a, C> {
    scene: &'a Scene,
    own: bool,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    order: u64,
    table: Upstreams<C>,
    admit: Admission,
    budget: Budget,
    queues: Vec<VecDeque<(u64, Ticket)>>,
    running: Vec<u32>,
    requests: HashMap<u64, Request>,
    next: u64,
    rng: ChaCha8Rng,
    outcome: Outcome,
}

/// Simulates a policy in a scene.
pub fn simulate(policy: Policy, scene: &Scene, seed: u64) -> Outcome {
    match policy {
        Policy::Own => Sim::new(scene, true, Scored, seed).run(),
        Policy::Random => Sim::new(scene, false, Random, seed).run(),
        Policy::RoundRobin => Sim::new(scene, false, RoundRobin::default(), seed).run(),
        Policy::LeastBusy => Sim::new(scene, false, LeastBusy, seed).run(),
        Policy::TwoChoices => Sim::new(scene, false, TwoChoices, seed).run(),
    }
}

impl<'a, C: Choice> Sim<'a, C> {
    fn new(scene: &'a Scene, own: bool, choice: C, seed: u64) -> Self {
        let mut table = Upstreams::new(choice, ChaCha8Rng::seed_from_u64(seed + 1000));
        for _ in 0..scene.upstreams {
            let upstream = table.add();
            table.set_slots(upstream, if own { SLOTS } else { UNLIMITED });
        }
        let classes = CLASSES.len();
        let histogram = || Histogram::new_with_max(120_000_000, 3).expect("the bounds are valid");
        Self {
            scene,
            own,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            order: 0,
            table,
            admit: Admission::default(),
            budget: Budget::default(),
            queues: vec![VecDeque::new(); scene.upstreams],
            running: vec![0; scene.upstreams],
            requests: HashMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            outcome: Outcome {
                latency: (0..classes).map(|_| histogram()).collect(),
                offered: vec![0; classes],
                good: vec![0; classes],
                refused: BTreeMap::new(),
                attempts: 0,
                max_busy: 0,
            },
        }
    }

    fn run(mut self) -> Outcome {
        self.at(Duration::ZERO, Event::Arrive);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                Event::Arrive => self.arrive(),
                Event::End(id, end) => self.end(id, end),
                Event::Hedge(id, attempts) => self.hedge(id, attempts),
                Event::Abandon(upstream) => self.abandon(upstream),
            }
        }
        self.outcome
    }

    fn arrive(&mut self) {
        if self.now > self.scene.length {
            return;
        }
        let gap = self.scene.gap(self.now, &mut self.rng);
        self.at(self.now + gap, Event::Arrive);
        let mut roll: f64 = self.rng.random();
        let class = CLASSES.iter().position(|c| {
            roll -= c.share;
            roll <= 0.0
        });
        let class = class.unwrap_or(0);
        let id = self.next;
        self.next += 1;
        self.outcome.offered[class] += 1;
        let arrived_at = self.now;
        self.requests.insert(id, Request { class, arrived_at, attempts: 0, running: 0 });
        self.budget.earn();
        self.enter(id, None);
    }

    /// Starts, queues or refuses a request.
    fn enter(&mut self, id: u64, avoid: Option<u32>) {
        if !self.own {
            if let Some(ticket) = self.table.take(self.now, avoid, 1) {
                self.queues[ticket.upstream as usize].push_back((id, ticket));
                self.serve(ticket.upstream);
            }
            return;
        }
        let request = &self.requests[&id];
        let class = &CLASSES[request.class];
        let deadline = request.arrived_at + class.deadline;
        let arrival = Arrival { id, customer: 0, price: class.price, deadline };
        if self.admit.is_empty()
            && !self.admit.too_late(&arrival, self.now)
            && let Some(ticket) = self.table.take(self.now, avoid, 1)
        {
            return self.begin(id, ticket);
        }
        let slots = self.table.slots();
        let dropped = self.admit.enqueue(arrival, slots, self.now);
        dropped.into_iter().for_each(|d| self.refuse(d.id, d.kind));
        self.dispatch();
    }

    fn dispatch(&mut self) {
        let mut dropped = Vec::new();
        while !self.admit.is_empty() {
            let waiting = self.admit.len();
            let Some(ticket) = self.table.take(self.now, None, waiting) else { break };
            match self.admit.next(self.now, &mut dropped) {
                Some(taken) => self.begin(taken.id, ticket),
                None => {
                    self.table.give_back(ticket);
                    break;
                }
            }
        }
        let slots = self.table.slots();
        dropped.extend(self.admit.shed(slots, self.now));
        dropped.into_iter().for_each(|d| self.refuse(d.id, d.kind));
    }

    /// Starts requests queued at a baseline's upstream while it has free slots.
    fn serve(&mut self, upstream: u32) {
        while self.running[upstream as usize] < SLOTS {
            let Some((id, ticket)) = self.queues[upstream as usize].pop_front() else { return };
            self.begin(id, ticket);
        }
    }

    fn begin(&mut self, id: u64, ticket: Ticket) {
        let upstream = ticket.upstream;
        let running = &mut self.running[upstream as usize];
        *running += 1;
        self.outcome.max_busy = self.outcome.max_busy.max(*running);
        self.outcome.attempts += 1;
        let (time, failed) = self.scene.serve(upstream, self.now, &mut self.rng);
        // With a baseline, latency counts from the choice of the upstream, queueing included.
        let end = AttemptEnd { upstream, since: ticket.since, failed };
        match time {
            Some(time) => self.at(self.now + time, Event::End(id, end)),
            None => self.at(self.now + ABANDONED, Event::Abandon(upstream)),
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempts += 1;
        request.running += 1;
        if self.own && request.attempts < MAX_ATTEMPTS {
            let attempts = request.attempts;
            let usual = self.table.mean_latency() * HEDGE_FACTOR * f64::from(attempts);
            let wait = Duration::from_secs_f64(usual).max(MIN_HEDGE_DELAY);
            self.at(self.now + wait, Event::Hedge(id, attempts));
        }
    }

    fn end(&mut self, id: u64, end: AttemptEnd) {
        let ticket = Ticket { upstream: end.upstream, since: end.since };
        if end.failed {
            self.table.failed(ticket, self.now, Fault::Bad);
        } else {
            self.admit.record_served(self.now.saturating_sub(end.since));
            self.table.done(ticket, self.now);
        }
        self.slot_freed(end.upstream);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.running -= 1;
        if !end.failed {
            return self.answer(id);
        }
        let retry = request.attempts < MAX_ATTEMPTS && self.budget.spend();
        if retry {
            return self.enter(id, Some(end.upstream));
        }
        if self.requests[&id].running == 0 {
            self.refuse(id, Kind::Unknown);
        }
    }

    fn hedge(&mut self, id: u64, attempts: u32) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempts != attempts || request.running == 0 {
            return;
        }
        let deadline = request.arrived_at + CLASSES[request.class].deadline;
        if self.now < deadline && self.admit.is_empty() && self.budget.spend() {
            self.enter(id, None);
        }
    }

    /// Fails a stalled attempt and releases its slot.
    fn abandon(&mut self, upstream: u32) {
        self.table.failed(Ticket { upstream, since: self.now }, self.now, Fault::Bad);
        self.slot_freed(upstream);
    }

    fn slot_freed(&mut self, upstream: u32) {
        self.running[upstream as usize] -= 1;
        match self.own {
            true => self.dispatch(),
            false => self.serve(upstream),
        }
    }

    fn answer(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else { return };
        let latency = self.now - request.arrived_at;
        let class = &CLASSES[request.class];
        self.outcome.latency[request.class].saturating_record(latency.as_micros() as u64);
        self.outcome.good[request.class] += u64::from(latency <= class.deadline);
    }

    fn refuse(&mut self, id: u64, kind: Kind) {
        // A hedged attempt was refused; an earlier attempt still runs and may answer.
        if self.requests.get(&id).is_some_and(|r| r.running > 0) {
            return;
        }
        if self.requests.remove(&id).is_some() {
            *self.outcome.refused.entry(kind).or_default() += 1;
        }
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((time, self.order, event)));
    }
}
