//! Maintenance waves: machines are drained and handed to the platform, a few at a time.

use log::{info, warn};
use std::collections::{BTreeMap, BTreeSet};

use myrtle_job::Incarnation;

use crate::{Cell, Presence};

/// The pause before maintenance that was refused or got no reply is ordered again, in milliseconds.
const RETRY_AFTER: u64 = 400;

/// How long after the order the same incarnation must still be present for its machine to count as
/// skipped, in milliseconds: maintenance and the listing of the next incarnation take less.
const SKIPPED_AFTER: u64 = 6_000;

/// The share of a machine's time in the wave that draining may take; after that, runs that can be
/// started again are stopped.
const DRAIN_SHARE: f64 = 0.5;

/// A maintenance wave as the operator ordered it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The machines to maintain.
    pub machines: Vec<String>,
    /// The time that the wave may take, in milliseconds.
    pub duration: u64,
    /// The number of machines that may be down at once.
    pub limit: usize,
}

impl Wave {
    /// The share of the wave's time that each machine has, in milliseconds.
    fn machine_time(&self) -> f64 {
        self.duration as f64 * self.limit.max(1) as f64 / self.machines.len().max(1) as f64
    }
}

/// The progress of a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Turn {
    /// Its worker is being drained.
    Draining { incarnation: Incarnation, since: u64 },
    /// Maintenance has been ordered; it is ordered again at `retry_at` unless it has begun.
    Ordered { incarnation: Incarnation, retry_at: u64 },
    /// It has gone down; another incarnation is expected.
    Down { incarnation: Incarnation, since: u64 },
}

/// The state of a wave in progress.
#[derive(Debug, Clone)]
pub struct WaveState {
    wave: Wave,
    since: u64,
    turns: BTreeMap<String, Turn>,
    done: BTreeSet<String>,
    recorded: bool,
}

/// The outcome of an order for maintenance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Maintenance {
    /// The machine goes down, or has been down before.
    Begun,
    /// The machine does not exist or is not part of the wave.
    Dropped,
    /// Maintenance is not possible now, or there was no reply.
    Again,
}

impl Cell {
    /// Adds a wave; `done` are the machines that earlier owners have completed.
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
            recorded: false,
            wave: wave.clone(),
        };
        self.waves.insert(wave.number, state);
    }

    /// The waves whose records have to be written: number, completed machines, whether all are
    /// completed.
    pub fn changed_waves(&mut self) -> Vec<(u64, BTreeSet<String>, bool)> {
        let changed = self.waves.iter_mut().filter(|(_, w)| !w.recorded);
        changed
            .map(|(&number, w)| {
                w.recorded = true;
                (number, w.done.clone(), w.complete())
            })
            .collect()
    }

    /// Advances all waves; returns the machines to order maintenance for, and their waves.
    pub fn advance_waves(&mut self, now: u64) -> Vec<(String, u64)> {
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

    /// Handles the outcome of an order for maintenance.
    pub fn maintenance_replied(
        &mut self,
        number: u64,
        machine: &str,
        outcome: Maintenance,
        now: u64,
    ) {
        info!("event=upkeep-told wave={number} machine={machine} outcome={outcome:?}");
        let Some(state) = self.waves.get_mut(&number) else {
            return;
        };
        let Some(Turn::Ordered { incarnation, .. }) = state.turns.get(machine).cloned() else {
            return;
        };
        match outcome {
            Maintenance::Begun => {
                state.turns.insert(
                    machine.into(),
                    Turn::Down { incarnation: incarnation.clone(), since: now },
                );
                self.mark_replaced(&incarnation, now);
            }
            Maintenance::Dropped => state.finish(machine),
            Maintenance::Again => {
                let retry_at = now + RETRY_AFTER;
                state.turns.insert(machine.into(), Turn::Ordered { incarnation, retry_at });
            }
        }
    }

    /// Advances the machines of a wave as far as possible.
    fn advance(&mut self, state: &mut WaveState, now: u64, orders: &mut Vec<(String, u64)>) {
        let turns: Vec<_> = state.turns.iter().map(|(m, t)| (m.clone(), t.clone())).collect();
        for (machine, turn) in turns {
            let incarnation = match turn {
                Turn::Draining { incarnation, since } => {
                    let urgent =
                        now.saturating_sub(since) as f64 > DRAIN_SHARE * state.wave.machine_time();
                    self.drain(&incarnation, urgent, now).then_some(incarnation)
                }
                Turn::Ordered { incarnation, retry_at } => (now >= retry_at).then_some(incarnation),
                Turn::Down { incarnation, since } => {
                    self.end_turn(state, &machine, &incarnation, since, now);
                    None
                }
            };
            if let Some(incarnation) = incarnation {
                let retry_at = now + RETRY_AFTER;
                state.turns.insert(machine.clone(), Turn::Ordered { incarnation, retry_at });
                orders.push((machine, state.wave.number));
            }
        }
        self.begin_turns(state, now);
        if state.complete() && state.since > 0 {
            log_end(state, now);
        }
    }

    /// Moves the turn of a worker that has restarted to its next incarnation: its machine still
    /// needs maintenance.
    pub(crate) fn rebind_turns(&mut self, incarnation: &Incarnation, next: &Incarnation) {
        let turns = self.waves.values_mut().flat_map(|state| state.turns.values_mut());
        for turn in turns {
            let (Turn::Draining { incarnation: current, .. }
            | Turn::Ordered { incarnation: current, .. }) = turn
            else {
                continue;
            };
            if current == incarnation {
                current.clone_from(next);
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
        // The same incarnation is there if maintenance was done before.
        let skipped = now.saturating_sub(since) > SKIPPED_AFTER;
        if self.incarnation_on(machine).is_some_and(|l| l != *incarnation || skipped) {
            state.finish(machine);
            if let Some(worker) = self.workers.get_mut(incarnation) {
                worker.in_maintenance = false;
            }
        }
    }

    /// Begins the turns of further machines, up to the number that may be down at once.
    fn begin_turns(&mut self, state: &mut WaveState, now: u64) {
        while state.turns.len() < state.wave.limit {
            let next = state.wave.machines.iter().find(|m| {
                !state.done.contains(*m)
                    && !state.turns.contains_key(*m)
                    && self.incarnation_on(m).is_some()
            });
            let Some((machine, incarnation)) =
                next.and_then(|m| Some((m.clone(), self.incarnation_on(m)?)))
            else {
                break;
            };
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                worker.in_maintenance = true;
            }
            state.turns.insert(machine, Turn::Draining { incarnation, since: now });
        }
    }

    /// The incarnation of an answering worker on a machine.
    fn incarnation_on(&self, machine: &str) -> Option<Incarnation> {
        let on_machine = |l: &myrtle_job::Listing| l.machine.as_deref() == Some(machine);
        let mut listed =
            self.workers.iter().filter(|(_, w)| w.listed && w.presence == Presence::Answering);
        listed.find(|(_, w)| w.listing.as_ref().is_some_and(on_machine)).map(|(id, _)| id.clone())
    }
}

impl WaveState {
    fn complete(&self) -> bool {
        self.wave.machines.iter().all(|m| self.done.contains(m))
    }

    fn finish(&mut self, machine: &str) {
        self.turns.remove(machine);
        self.done.insert(machine.into());
        self.recorded = false;
    }
}

/// Logs that a wave has ended, and whether it was in time.
fn log_end(state: &mut WaveState, now: u64) {
    let took = now.saturating_sub(state.since);
    // 0 marks the end as logged.
    state.since = 0;
    if took > state.wave.duration {
        warn!("event=wave-late wave={} took_ms={took}", state.wave.number);
    } else {
        info!("event=wave-done wave={} took_ms={took}", state.wave.number);
    }
}
