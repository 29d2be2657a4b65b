//! Chooses an upstream with a free slot for a request.

use std::fmt::Debug;

use rand_chacha::ChaCha8Rng;

use crate::table::Candidates;

/// Number of random upstreams that [`Scored`] compares.
const SAMPLES: usize = 5;

/// An upstream is slow if it is expected to take this many times the mean latency.
const SLOW: f64 = 2.0;

/// Weight of a second of waiting against a second in a slow slot: a request that waits also delays
/// those behind it.
const WAIT_WEIGHT: f64 = 4.0;

/// Free upstreams that are scanned if no random sample was worth taking.
const MAX_SCANNED: usize = 64;

/// Random samples taken to find a usable upstream.
const DRAWS: usize = 8;

/// A policy that chooses an upstream.
pub trait Choice: Debug {
    /// Returns the number of an upstream with a free slot, or nothing.
    fn choose(&mut self, candidates: &Candidates, rng: &mut ChaCha8Rng) -> Option<u32>;
}

/// Samples a few upstreams and takes the one expected to answer first.
#[derive(Debug, Default)]
pub struct Scored;

/// Baseline: a random upstream.
#[derive(Debug, Default)]
pub struct Random;

/// Baseline: round robin.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: u32,
}

/// Baseline: the upstream with the fewest requests of this gate.
#[derive(Debug, Default)]
pub struct LeastBusy;

/// Baseline: the less busy one of two random upstreams.
#[derive(Debug, Default)]
pub struct TwoChoices;

impl Choice for Scored {
    fn choose(&mut self, candidates: &Candidates, rng: &mut ChaCha8Rng) -> Option<u32> {
        let mut best = None;
        for _ in 0..SAMPLES {
            let Some(upstream) = candidates.sample(rng) else { break };
            if !candidates.usable(upstream) {
                continue;
            }
            let cost = cost(candidates, upstream);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, upstream));
            }
        }
        match best {
            Some((cost, upstream)) if worthwhile(candidates, upstream, cost) => Some(upstream),
            _ => scan(candidates),
        }
    }
}

/// The expected seconds until an upstream answers, raised by up to a quarter with its load.
fn cost(candidates: &Candidates, upstream: u32) -> f64 {
    let state = &candidates.all[upstream as usize];
    let load = f64::from(state.busy) / f64::from(state.held.max(1));
    state.score.expect(candidates.now, candidates.mean) * (1.0 + 0.25 * load)
}

/// Whether the upstream is expected to answer sooner than a good one for which the request would
/// wait.
fn worthwhile(candidates: &Candidates, upstream: u32, cost: f64) -> bool {
    let state = &candidates.all[upstream as usize];
    let slow = cost > candidates.mean * SLOW;
    let probe = state.busy == 0 && state.score.needs_probe(candidates.now);
    !slow || probe || cost - candidates.mean < candidates.wait * WAIT_WEIGHT
}

impl Choice for Random {
    fn choose(&mut self, candidates: &Candidates, rng: &mut ChaCha8Rng) -> Option<u32> {
        let draws = (0..DRAWS).filter_map(|_| candidates.sample(rng));
        draws.into_iter().find(|u| candidates.avoid != Some(*u))
    }
}

impl Choice for RoundRobin {
    fn choose(&mut self, candidates: &Candidates, _: &mut ChaCha8Rng) -> Option<u32> {
        for _ in 0..candidates.all.len() {
            let upstream = self.next % candidates.all.len() as u32;
            self.next = upstream + 1;
            let state = &candidates.all[upstream as usize];
            if !state.leaving && state.busy < state.held && candidates.avoid != Some(upstream) {
                return Some(upstream);
            }
        }
        None
    }
}

impl Choice for LeastBusy {
    fn choose(&mut self, candidates: &Candidates, _: &mut ChaCha8Rng) -> Option<u32> {
        let usable = candidates.free.iter().filter(|u| candidates.avoid != Some(**u));
        usable.min_by_key(|u| candidates.all[**u as usize].busy).copied()
    }
}

impl Choice for TwoChoices {
    fn choose(&mut self, candidates: &Candidates, rng: &mut ChaCha8Rng) -> Option<u32> {
        let a = candidates.sample(rng)?;
        let b = candidates.sample(rng)?;
        let busy = |u: u32| candidates.all[u as usize].busy;
        let pick = if busy(a) <= busy(b) { a } else { b };
        if candidates.avoid == Some(pick) { any_other(candidates) } else { Some(pick) }
    }
}

/// The first usable free upstream that is worth taking. While a good upstream is only busy, the
/// request waits for it; an ejected or slow one would be no better.
fn scan(candidates: &Candidates) -> Option<u32> {
    let worthwhile =
        |u: &u32| candidates.usable(*u) && worthwhile(candidates, *u, cost(candidates, *u));
    let found = candidates.free.iter().take(MAX_SCANNED).copied().find(worthwhile);
    found.or_else(|| if candidates.all_ejected() { any_other(candidates) } else { None })
}

/// Any free upstream except the one to avoid.
fn any_other(candidates: &Candidates) -> Option<u32> {
    candidates.free.iter().find(|u| candidates.avoid != Some(**u)).copied()
}
