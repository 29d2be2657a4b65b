//! The upstreams that a gate may use, its slots at them, and an index of those with a free slot.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{Choice, Fault, Score};

/// Weight of one answer in the mean latency over all upstreams.
const MEAN_WEIGHT: f64 = 0.02;

/// Stands for an upstream that is not in the index of free ones.
const NOT_FREE: u32 = u32::MAX;

/// A slot in use; given back by [`Upstreams::done`], [`Upstreams::failed`] or
/// [`Upstreams::give_back`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    /// The upstream's number.
    pub upstream: u32,
    /// When the slot was taken.
    pub since: Duration,
}

/// The state of one upstream, on which a choice depends.
#[derive(Debug, Clone, Default)]
pub struct UpstreamState {
    /// Slots in use by this gate.
    pub busy: u32,
    /// Slots that this gate may use.
    pub held: u32,
    /// Whether it is leaving or no longer listed.
    pub leaving: bool,
    /// Its recent latency and failures.
    pub score: Score,
    free_index: u32,
}

/// The upstreams of one service.
#[derive(Debug)]
pub struct Upstreams<C> {
    all: Vec<UpstreamState>,
    free: Vec<u32>,
    mean: f64,
    busy: u32,
    choice: C,
    rng: ChaCha8Rng,
}

impl<C: Choice> Upstreams<C> {
    /// An empty table.
    pub fn new(choice: C, rng: ChaCha8Rng) -> Self {
        Self { all: Vec::new(), free: Vec::new(), mean: 0.02, busy: 0, choice, rng }
    }

    /// Adds an upstream without slots and returns its number.
    pub fn add(&mut self) -> u32 {
        self.all.push(UpstreamState { free_index: NOT_FREE, ..UpstreamState::default() });
        self.all.len() as u32 - 1
    }

    /// The state of one upstream.
    pub fn get(&self, upstream: u32) -> &UpstreamState {
        &self.all[upstream as usize]
    }

    /// The number of upstreams.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are no upstreams.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Free slots.
    pub fn spare(&self) -> u32 {
        self.free.iter().map(|u| self.get(*u)).map(|f| f.held - f.busy).sum()
    }

    /// Slots that may be used at upstreams that are not leaving.
    pub fn slots(&self) -> u32 {
        self.all.iter().filter(|f| !f.leaving).map(|f| f.held).sum()
    }

    /// Slots in use.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// The mean latency in seconds over all upstreams.
    pub fn mean_latency(&self) -> f64 {
        self.mean
    }

    /// Sets how many slots may be used at an upstream.
    pub fn set_slots(&mut self, upstream: u32, held: u32) {
        self.all[upstream as usize].held = held;
        self.update_free(upstream);
    }

    /// Sets whether an upstream is leaving; it then gets no more requests.
    pub fn set_leaving(&mut self, upstream: u32, leaving: bool) {
        self.all[upstream as usize].leaving = leaving;
        self.update_free(upstream);
    }

    /// Takes a slot at the upstream that the policy chooses, never at `avoid`.
    ///
    /// `waiting` is the number of requests that want a slot, including this one: while it is small,
    /// waiting for a good upstream is faster than using a slow one.
    pub fn take(&mut self, now: Duration, avoid: Option<u32>, waiting: usize) -> Option<Ticket> {
        let slots = self.busy.max(1);
        let wait = self.mean * waiting as f64 / f64::from(slots);
        let (all, free, mean) = (&self.all, &self.free, self.mean);
        let candidates = Candidates { all, free, mean, now, avoid, wait };
        let upstream = self.choice.choose(&candidates, &mut self.rng)?;
        let state = &mut self.all[upstream as usize];
        state.busy += 1;
        self.busy += 1;
        state.score.sent(now);
        self.update_free(upstream);
        Some(Ticket { upstream, since: now })
    }

    /// Gives a slot back after an answer and records its latency.
    pub fn done(&mut self, ticket: Ticket, now: Duration) {
        let took = now.saturating_sub(ticket.since);
        let state = &mut self.all[ticket.upstream as usize];
        state.score.answered(now, took);
        self.mean += (took.as_secs_f64() - self.mean) * MEAN_WEIGHT;
        self.give_back(ticket);
    }

    /// Gives a slot back after a failure and records it.
    pub fn failed(&mut self, ticket: Ticket, now: Duration, fault: Fault) {
        self.all[ticket.upstream as usize].score.failed(now, fault);
        self.give_back(ticket);
    }

    /// Records that an attempt takes too long; its slot stays in use until it ends.
    pub fn record_late(&mut self, upstream: u32, now: Duration) {
        self.all[upstream as usize].score.failed(now, Fault::Bad);
    }

    /// Gives a slot back without changing the upstream's score.
    pub fn give_back(&mut self, ticket: Ticket) {
        self.all[ticket.upstream as usize].busy -= 1;
        self.busy -= 1;
        self.update_free(ticket.upstream);
    }

    /// Updates the index of free upstreams for one of them.
    fn update_free(&mut self, upstream: u32) {
        let state = &self.all[upstream as usize];
        let usable = !state.leaving && state.busy < state.held;
        let free_index = state.free_index;
        if usable && free_index == NOT_FREE {
            self.all[upstream as usize].free_index = self.free.len() as u32;
            self.free.push(upstream);
        }
        if !usable && free_index != NOT_FREE {
            self.free.swap_remove(free_index as usize);
            if let Some(moved) = self.free.get(free_index as usize) {
                self.all[*moved as usize].free_index = free_index;
            }
            self.all[upstream as usize].free_index = NOT_FREE;
        }
    }
}

/// The state on which a policy chooses.
#[derive(Debug)]
pub struct Candidates<'a> {
    /// All upstreams, by number.
    pub all: &'a [UpstreamState],
    /// The numbers of the upstreams with a free slot.
    pub free: &'a [u32],
    /// The mean latency over all upstreams, in seconds.
    pub mean: f64,
    /// The current time.
    pub now: Duration,
    /// The upstream that must not be chosen.
    pub avoid: Option<u32>,
    /// The expected seconds until all waiting requests have a slot.
    pub wait: f64,
}

impl Candidates<'_> {
    /// A random upstream with a free slot.
    pub fn sample(&self, rng: &mut ChaCha8Rng) -> Option<u32> {
        let n = self.free.len();
        (n > 0).then(|| self.free[rng.random_range(0..n)])
    }

    /// Whether every upstream with slots is ejected.
    pub fn all_ejected(&self) -> bool {
        let good = |f: &UpstreamState| f.held > 0 && !f.leaving && !f.score.is_ejected(self.now);
        !self.all.iter().any(good)
    }

    /// Whether an upstream may be chosen: it is neither to be avoided nor ejected.
    pub fn usable(&self, upstream: u32) -> bool {
        self.avoid != Some(upstream) && !self.all[upstream as usize].score.is_ejected(self.now)
    }
}
