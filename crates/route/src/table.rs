//! The upstreams that a gate may use, with its slots and an index of the free ones.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{Choice, Fault, Score};

/// How much one answer moves the common latency.
const COMMON_WEIGHT: f64 = 0.02;

/// No place in the index of free upstreams.
const NOWHERE: u32 = u32::MAX;

/// A slot in use: give it back with [`Upstreams::done`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    /// The upstream's number.
    pub upstream: u32,
    /// When the slot was taken.
    pub since: Duration,
}

/// One upstream as a choice sees it.
#[derive(Debug, Clone, Default)]
pub struct Free {
    /// Slots in use by this gate.
    pub busy: u32,
    /// Slots that this gate may use.
    pub held: u32,
    /// Whether it is leaving or unknown.
    pub leaving: bool,
    /// What its answers were like.
    pub score: Score,
    place: u32,
}

/// The upstreams of one service.
#[derive(Debug)]
pub struct Upstreams<C> {
    all: Vec<Free>,
    free: Vec<u32>,
    common: f64,
    busy: u32,
    choice: C,
    rng: ChaCha8Rng,
}

impl<C: Choice> Upstreams<C> {
    /// An empty table.
    pub fn new(choice: C, rng: ChaCha8Rng) -> Self {
        Self { all: Vec::new(), free: Vec::new(), common: 0.02, busy: 0, choice, rng }
    }

    /// Adds an upstream without slots and returns its number.
    pub fn add(&mut self) -> u32 {
        self.all.push(Free { place: NOWHERE, ..Free::default() });
        self.all.len() as u32 - 1
    }

    /// One upstream.
    pub fn get(&self, upstream: u32) -> &Free {
        &self.all[upstream as usize]
    }

    /// The number of upstreams.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Slots that could be taken now.
    pub fn spare(&self) -> u32 {
        self.free.iter().map(|u| self.get(*u)).map(|f| f.held - f.busy).sum()
    }

    /// Slots held at upstreams that are not leaving.
    pub fn held(&self) -> u32 {
        self.all.iter().filter(|f| !f.leaving).map(|f| f.held).sum()
    }

    /// Slots in use.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// The mean latency in seconds over all upstreams.
    pub fn common(&self) -> f64 {
        self.common
    }

    /// Sets how many slots may be used.
    pub fn hold(&mut self, upstream: u32, held: u32) {
        self.all[upstream as usize].held = held;
        self.index(upstream);
    }

    /// Says whether an upstream is leaving; a leaving one gets nothing new.
    pub fn set_leaving(&mut self, upstream: u32, leaving: bool) {
        self.all[upstream as usize].leaving = leaving;
        self.index(upstream);
    }

    /// Takes a slot at the upstream that suits best, never at `avoid`.
    ///
    /// `waiting` requests want a slot, this one among them: while few do, none is better than a
    /// slow one, since a good one is free sooner than the slow one would answer.
    pub fn take(&mut self, now: Duration, avoid: Option<u32>, waiting: usize) -> Option<Ticket> {
        let slots = self.busy.max(1);
        let wait = self.common * waiting as f64 / f64::from(slots);
        let (all, free, common) = (&self.all, &self.free, self.common);
        let view = View { all, free, common, now, avoid, wait };
        let upstream = self.choice.choose(&view, &mut self.rng)?;
        let free = &mut self.all[upstream as usize];
        free.busy += 1;
        self.busy += 1;
        free.score.tried(now);
        self.index(upstream);
        Some(Ticket { upstream, since: now })
    }

    /// Gives a slot back after an answer.
    pub fn done(&mut self, ticket: Ticket, now: Duration) {
        let took = now.saturating_sub(ticket.since);
        let free = &mut self.all[ticket.upstream as usize];
        free.score.answered(now, took);
        self.common += (took.as_secs_f64() - self.common) * COMMON_WEIGHT;
        self.give_back(ticket);
    }

    /// Gives a slot back after a failure.
    pub fn failed(&mut self, ticket: Ticket, now: Duration, fault: Fault) {
        self.all[ticket.upstream as usize].score.failed(now, fault);
        self.give_back(ticket);
    }

    /// Notes that an attempt takes too long; its slot stays in use until it ends.
    pub fn late(&mut self, upstream: u32, now: Duration) {
        self.all[upstream as usize].score.failed(now, Fault::Bad);
    }

    /// Gives a slot back without a word on the upstream.
    pub fn give_back(&mut self, ticket: Ticket) {
        self.all[ticket.upstream as usize].busy -= 1;
        self.busy -= 1;
        self.index(ticket.upstream);
    }

    /// Keeps the index of free upstreams in step with one of them.
    fn index(&mut self, upstream: u32) {
        let free = &self.all[upstream as usize];
        let usable = !free.leaving && free.busy < free.held;
        let place = free.place;
        if usable && place == NOWHERE {
            self.all[upstream as usize].place = self.free.len() as u32;
            self.free.push(upstream);
        }
        if !usable && place != NOWHERE {
            self.free.swap_remove(place as usize);
            if let Some(moved) = self.free.get(place as usize) {
                self.all[*moved as usize].place = place;
            }
            self.all[upstream as usize].place = NOWHERE;
        }
    }
}

/// What a choice may look at.
#[derive(Debug)]
pub struct View<'a> {
    /// Every upstream by number.
    pub all: &'a [Free],
    /// The numbers of those with a free slot.
    pub free: &'a [u32],
    /// The mean latency in seconds.
    pub common: f64,
    /// The time.
    pub now: Duration,
    /// The upstream that must not be chosen.
    pub avoid: Option<u32>,
    /// Seconds until all who wait have a slot.
    pub wait: f64,
}

impl View<'_> {
    /// A random upstream with a free slot.
    pub fn sample(&self, rng: &mut ChaCha8Rng) -> Option<u32> {
        let n = self.free.len();
        (n > 0).then(|| self.free[rng.random_range(0..n)])
    }

    /// Whether every upstream with slots failed lately; stops at the first that did not.
    pub fn all_out(&self) -> bool {
        let good = |f: &Free| f.held > 0 && !f.leaving && !f.score.is_out(self.now);
        !self.all.iter().any(good)
    }

    /// Whether it may be chosen at all.
    pub fn usable(&self, upstream: u32) -> bool {
        self.avoid != Some(upstream) && !self.all[upstream as usize].score.is_out(self.now)
    }
}
