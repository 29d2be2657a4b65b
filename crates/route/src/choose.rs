//! Which upstream with a free slot gets a request.

use std::fmt::Debug;

use rand_chacha::ChaCha8Rng;

use crate::table::View;

/// Upstreams that [`Scored`] looks at.
const LOOKS: usize = 5;

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
            let free = &view.all[upstream as usize];
            let load = f64::from(free.busy) / f64::from(free.held.max(1));
            let cost = free.score.expect(view.now, view.common) * (1.0 + 0.25 * load);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, upstream));
            }
        }
        best.map(|b| b.1).or_else(|| walk(view))
    }
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

/// The first usable upstream; while any good one is only busy, a bad one is not better.
fn walk(view: &View) -> Option<u32> {
    let usable = view.free.iter().find(|u| view.usable(**u)).copied();
    usable.or_else(|| if view.all_out() { other(view) } else { None })
}

/// Any upstream but the one to avoid.
fn other(view: &View) -> Option<u32> {
    view.free.iter().find(|u| view.avoid != Some(**u)).copied()
}
