//! Which upstream with a free slot gets a request.

use std::fmt::Debug;

use rand_chacha::ChaCha8Rng;

use crate::table::View;

/// Upstreams that [`Scored`] looks at.
const LOOKS: usize = 5;

/// An upstream that takes this many times the usual time is slow.
const SLOW: f64 = 2.0;

/// How much a second of waiting weighs against a second in a slow slot: who waits holds up others.
const HASTE: f64 = 4.0;

/// Free upstreams that are walked through when draws found none worth taking.
const MOST_WALKED: usize = 64;

/// Draws until a usable upstream is found; after them the free ones are walked through once.
const DRAWS: usize = 8;

/// A way to choose.
pub trait Choice: Debug {
    /// The number of an upstream with a free slot, or nothing.
    fn choose(&mut self, view: &View, rng: &mut ChaCha8Rng) -> Option<u32>;
}

/// Looks at a few and takes the one expected to answer first.
#[derive(Debug, Default)]
pub struct Scored;

/// Baseline: any.
#[derive(Debug, Default)]
pub struct Random;

/// Baseline: one after the other.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: u32,
}

/// Baseline: the one with the fewest requests of this gate.
#[derive(Debug, Default)]
pub struct LeastBusy;

/// Baseline: the less busy one of two random ones.
#[derive(Debug, Default)]
pub struct TwoChoices;

impl Choice for Scored {
    fn choose(&mut self, view: &View, rng: &mut ChaCha8Rng) -> Option<u32> {
        let mut best = None;
        for _ in 0..LOOKS {
            let Some(upstream) = view.sample(rng) else { break };
            if !view.usable(upstream) {
                continue;
            }
            let cost = cost(view, upstream);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, upstream));
            }
        }
        match best {
            Some((cost, upstream)) if worth(view, upstream, cost) => Some(upstream),
            _ => walk(view),
        }
    }
}

/// Seconds that an upstream is expected to take, a little more the busier it is.
fn cost(view: &View, upstream: u32) -> f64 {
    let free = &view.all[upstream as usize];
    let load = f64::from(free.busy) / f64::from(free.held.max(1));
    free.score.expect(view.now, view.common) * (1.0 + 0.25 * load)
}

/// Whether the upstream answers sooner than a good one for which the request would wait.
fn worth(view: &View, upstream: u32, cost: f64) -> bool {
    let free = &view.all[upstream as usize];
    let slow = cost > view.common * SLOW;
    let probe = free.busy == 0 && free.score.is_stale(view.now);
    !slow || probe || cost - view.common < view.wait * HASTE
}

impl Choice for Random {
    fn choose(&mut self, view: &View, rng: &mut ChaCha8Rng) -> Option<u32> {
        let draws = (0..DRAWS).filter_map(|_| view.sample(rng));
        draws.into_iter().find(|u| view.avoid != Some(*u))
    }
}

impl Choice for RoundRobin {
    fn choose(&mut self, view: &View, _: &mut ChaCha8Rng) -> Option<u32> {
        for _ in 0..view.all.len() {
            let upstream = self.next % view.all.len() as u32;
            self.next = upstream + 1;
            let free = &view.all[upstream as usize];
            if !free.leaving && free.busy < free.held && view.avoid != Some(upstream) {
                return Some(upstream);
            }
        }
        None
    }
}

impl Choice for LeastBusy {
    fn choose(&mut self, view: &View, _: &mut ChaCha8Rng) -> Option<u32> {
        let usable = view.free.iter().filter(|u| view.avoid != Some(**u));
        usable.min_by_key(|u| view.all[**u as usize].busy).copied()
    }
}

impl Choice for TwoChoices {
    fn choose(&mut self, view: &View, rng: &mut ChaCha8Rng) -> Option<u32> {
        let a = view.sample(rng)?;
        let b = view.sample(rng)?;
        let busy = |u: u32| view.all[u as usize].busy;
        let pick = if busy(a) <= busy(b) { a } else { b };
        if view.avoid == Some(pick) { other(view) } else { Some(pick) }
    }
}

/// The first usable upstream; while a good one is only busy, a bad or slow one is not better.
fn walk(view: &View) -> Option<u32> {
    let worth = |u: &u32| view.usable(*u) && worth(view, *u, cost(view, *u));
    let found = view.free.iter().take(MOST_WALKED).copied().find(worth);
    found.or_else(|| if view.all_out() { other(view) } else { None })
}

/// Any upstream but the one to avoid.
fn other(view: &View) -> Option<u32> {
    view.free.iter().find(|u| view.avoid != Some(**u)).copied()
}
