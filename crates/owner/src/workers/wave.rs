//! Waves of upkeep: machines are emptied and handed to the platform, a few at a time.

use log::{info, warn};
use std::collections::{BTreeMap, BTreeSet};

use myrtle_job::Incarnation;

use crate::{Cell, Life};

/// The pause before an upkeep that was refused or got no answer is ordered again, in milliseconds.
const AGAIN: u64 = 400;

/// How long after the order the same incarnation must still be there to count as spared, in milliseconds:
/// an upkeep and the listing of the new incarnation take less.
const SPARED_AFTER: u64 = 6_000;

/// The share of a machine's part of the wave's time that it may take to be emptied; after that
/// what can be started again is stopped.
const EMPTYING: f64 = 0.5;

/// A wave as the operator asked for it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The machines.
    pub machines: Vec<String>,
    /// The time it may take, in milliseconds.
    pub duration: u64,
    /// How many machines may be down at once.
    pub limit: usize,
}

impl Wave {
    /// The part of its time that each machine has, in milliseconds.
    fn part(&self) -> f64 {
        self.duration as f64 * self.limit.max(1) as f64 / self.machines.len().max(1) as f64
    }
}

/// How far a machine has come.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Turn {
    /// Its worker is being emptied since a moment.
    Emptying { incarnation: Incarnation, since: u64 },
    /// The order is under way or failed; ordered again at a moment.
    Ordered { incarnation: Incarnation, again: u64 },
    /// It went down at a moment; another incarnation is awaited.
    Down { incarnation: Incarnation, since: u64 },
}

/// A wave under way.
#[derive(Debug, Clone)]
pub struct WaveState {
    wave: Wave,
    since: u64,
    turns: BTreeMap<String, Turn>,
    done: BTreeSet<String>,
    shown: bool,
}

/// What came of an upkeep that was ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Upkeep {
    /// The machine goes down, or went down before.
    Begun,
    /// The machine does not exist or is not of that wave.
    Dropped,
    /// Not now, or no answer.
    Again,
}

impl Cell {
    /// Takes in a wave; `done` are the machines that earlier owners have seen through.
    pub fn add_wave(&mut self, wave: Wave, done: BTreeSet<String>, now: u64) {
        if self.waves.contains_key(&wave.number) {
            return;
        }
        info!(
            "event=wave wave={} machines={} limit={} duration_ms={} done={}",
            wave.number,
            wave.machines.len(),
            wave.limit,
            wave.duration,
            done.len()
        );
        let state = WaveState {
            since: now,
            turns: BTreeMap::new(),
            done,
            shown: false,
            wave: wave.clone(),
        };
        self.waves.insert(wave.number, state);
    }

    /// Waves whose records have to be written: number, machines done, whether all are.
    pub fn wave_news(&mut self) -> Vec<(u64, BTreeSet<String>, bool)> {
        let news = self.waves.iter_mut().filter(|(_, w)| !w.shown);
        news.map(|(&number, w)| {
            w.shown = true;
            (number, w.done.clone(), w.complete())
        })
        .collect()
    }

    /// Goes on with every wave; returns upkeeps to order.
    pub fn waves(&mut self, now: u64) -> Vec<(String, u64)> {
        let numbers: Vec<u64> = self.waves.keys().copied().collect();
        let mut orders = Vec::new();
        for number in numbers {
            let Some(mut state) = self.waves.remove(&number) else {
                continue;
            };
            self.advance(&mut state, now, &mut orders);
            self.waves.insert(number, state);
        }
        orders
    }

    /// Takes in what came of an upkeep.
    pub fn upkeep_told(&mut self, number: u64, machine: &str, told: Upkeep, now: u64) {
        info!("event=upkeep-told wave={number} machine={machine} outcome={told:?}");
        let Some(state) = self.waves.get_mut(&number) else {
            return;
        };
        let Some(Turn::Ordered { incarnation, .. }) = state.turns.get(machine).cloned() else {
            return;
        };
        match told {
            Upkeep::Begun => {
                state.turns.insert(
                    machine.into(),
                    Turn::Down { incarnation: incarnation.clone(), since: now },
                );
                self.succeeded(&incarnation, now);
            }
            Upkeep::Dropped => state.finish(machine),
            Upkeep::Again => {
                let again = now + AGAIN;
                state.turns.insert(machine.into(), Turn::Ordered { incarnation, again });
            }
        }
    }

    /// Takes the machines of a wave as far as they go now.
    fn advance(&mut self, state: &mut WaveState, now: u64, orders: &mut Vec<(String, u64)>) {
        let turns: Vec<_> = state.turns.iter().map(|(m, t)| (m.clone(), t.clone())).collect();
        for (machine, turn) in turns {
            let incarnation = match turn {
                Turn::Emptying { incarnation, since } => {
                    let urgent = now.saturating_sub(since) as f64 > EMPTYING * state.wave.part();
                    self.empty(&incarnation, urgent, now).then_some(incarnation)
                }
                Turn::Ordered { incarnation, again } => (now >= again).then_some(incarnation),
                Turn::Down { incarnation, since } => {
                    self.end_turn(state, &machine, &incarnation, since, now);
                    None
                }
            };
            if let Some(incarnation) = incarnation {
                let again = now + AGAIN;
                state.turns.insert(machine.clone(), Turn::Ordered { incarnation, again });
                orders.push((machine, state.wave.number));
            }
        }
        self.begin_turns(state, now);
        if state.complete() && state.since > 0 {
            tell_over(state, now);
        }
    }

    /// A worker that is being emptied has started anew: its machine is as far from its upkeep as before.
    pub(crate) fn waves_go_on(&mut self, incarnation: &Incarnation, next: &Incarnation) {
        let turns = self.waves.values_mut().flat_map(|state| state.turns.values_mut());
        for turn in turns {
            let (Turn::Emptying { incarnation: of, .. } | Turn::Ordered { incarnation: of, .. }) =
                turn
            else {
                continue;
            };
            if of == incarnation {
                of.clone_from(next);
                if let Some(worker) = self.workers.get_mut(next) {
                    worker.in_maintenance = true;
                }
            }
        }
    }

    /// Ends the turn of a machine once it is up again.
    fn end_turn(
        &mut self,
        state: &mut WaveState,
        machine: &str,
        incarnation: &Incarnation,
        since: u64,
        now: u64,
    ) {
        // The same incarnation is there if the upkeep had been done before.
        let spared = now.saturating_sub(since) > SPARED_AFTER;
        if self.life_on(machine).is_some_and(|l| l != *incarnation || spared) {
            state.finish(machine);
            if let Some(worker) = self.workers.get_mut(incarnation) {
                worker.in_maintenance = false;
            }
        }
    }

    /// Begins with as many machines as may be down beside those that have begun.
    fn begin_turns(&mut self, state: &mut WaveState, now: u64) {
        while state.turns.len() < state.wave.limit {
            let next = state.wave.machines.iter().find(|m| {
                !state.done.contains(*m)
                    && !state.turns.contains_key(*m)
                    && self.life_on(m).is_some()
            });
            let Some((machine, incarnation)) =
                next.and_then(|m| Some((m.clone(), self.life_on(m)?)))
            else {
                break;
            };
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                worker.in_maintenance = true;
            }
            state.turns.insert(machine, Turn::Emptying { incarnation, since: now });
        }
    }

    /// The incarnation of a worker that answers on a machine.
    fn life_on(&self, machine: &str) -> Option<Incarnation> {
        let on = |l: &myrtle_job::Listing| l.machine.as_deref() == Some(machine);
        let mut lives = self.workers.iter().filter(|(_, w)| w.listed && w.life == Life::Well);
        lives.find(|(_, w)| w.listing.as_ref().is_some_and(on)).map(|(id, _)| id.clone())
    }
}

impl WaveState {
    fn complete(&self) -> bool {
        self.wave.machines.iter().all(|m| self.done.contains(m))
    }

    fn finish(&mut self, machine: &str) {
        self.turns.remove(machine);
        self.done.insert(machine.into());
        self.shown = false;
    }
}

/// Tells that a wave is over, and whether it was in time.
fn tell_over(state: &mut WaveState, now: u64) {
    let took = now.saturating_sub(state.since);
    // Told once.
    state.since = 0;
    if took > state.wave.duration {
        warn!("event=wave-late wave={} took_ms={took}", state.wave.number);
    } else {
        info!("event=wave-done wave={} took_ms={took}", state.wave.number);
    }
}
