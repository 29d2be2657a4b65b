//! Maintenance waves: machines are drained and handed to the platform, a few at a time.
//!
//! Fault: an owner ends while machines are down, and its successor, which doesn't know of them, takes
//! down as many again. So a machine's turn is in the log before its maintenance is ordered, and
//! successors begin with the turns that they find there.

use std::collections::{BTreeMap, BTreeSet};

use log::{info, warn};
use serde::{Deserialize, Serialize};

use myrtle_job::Incarnation;

use crate::{Cell, Presence};

/// The pause before maintenance that was refused or got no reply is ordered again, in milliseconds;
/// it doubles with each failure of the machine.
const RETRY_AFTER: u64 = 400;

/// The number of doublings of that pause.
const MAX_DOUBLINGS: u32 = 3;

/// The time between two orders of all waves, in milliseconds: the platform limits them for all
/// hosts together.
const ORDER_GAP: u64 = 25;

/// The time whose unused orders may be made up for, in milliseconds.
const ORDER_BURST: u64 = 200;

/// How long after the order the same incarnation must still be present for its machine to count as
/// skipped, in milliseconds: maintenance and the listing of the next incarnation take less.
const SKIPPED_AFTER: u64 = 6_000;

/// How long after the order the same incarnation must have replied for that, in milliseconds: a
/// machine goes down at once, so a reply that was sent before has arrived by then.
const ALIVE_AFTER: u64 = 1_500;

/// How long a successor waits for a worker on a machine that an earlier owner may have ordered
/// maintenance for, in milliseconds; without one there is nothing to drain.
const WORKER_WAIT: u64 = 3_000;

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

/// What successors have to know of a wave.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WaveRecord {
    /// The completed machines.
    pub done: BTreeSet<String>,
    /// The machines that may be down.
    pub turns: BTreeMap<String, TurnRecord>,
}

/// What successors have to know of a machine that may be down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// The incarnation of its worker when maintenance was ordered.
    pub incarnation: Incarnation,
    /// Whether the platform said that maintenance has begun.
    pub begun: bool,
}

/// A change of a wave to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveChange {
    /// The wave's number.
    pub number: u64,
    /// What successors have to know.
    pub record: WaveRecord,
    /// Whether all machines are completed.
    pub complete: bool,
    /// Whether the operator has yet to be told so.
    pub news: bool,
}

/// The progress of a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Turn {
    /// An earlier owner may have ordered maintenance; its worker is awaited.
    Inherited { since: u64 },
    /// Its worker is being drained; an earlier owner may have ordered maintenance.
    Draining { incarnation: Incarnation, since: u64, inherited: bool },
    /// Maintenance is ordered once that is in the log, and again at `retry_at` unless it has begun.
    Ordered { incarnation: Incarnation, retry_at: u64, failures: u32 },
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
    /// Whether the wave was complete when the operator was last told.
    told: Option<bool>,
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
    /// Adds a wave, with what earlier owners have recorded of it.
    pub fn add_wave(&mut self, wave: Wave, record: WaveRecord, now: u64) {
        if self.waves.contains_key(&wave.number) {
            return;
        }
        let WaveRecord { done, turns } = record;
        info!(
            "event=wave wave={} machines={} limit={} duration_ms={} done={} inherited={}",
            wave.number,
            wave.machines.len(),
            wave.limit,
            wave.duration,
            done.len(),
            turns.len()
        );
        let turns = turns.into_iter().filter(|(machine, _)| !done.contains(machine));
        let turns = turns.map(|(machine, record)| {
            let turn = match record.begun {
                true => Turn::Down { incarnation: record.incarnation, since: now },
                false => Turn::Inherited { since: now },
            };
            (machine, turn)
        });
        let (number, turns) = (wave.number, turns.collect());
        let state = WaveState { since: now, turns, done, recorded: false, told: None, wave };
        self.waves.insert(number, state);
    }

    /// The waves whose records have to be written before the orders of the last
    /// [`Cell::advance_waves`] may be sent.
    pub fn changed_waves(&mut self) -> Vec<WaveChange> {
        let changed = self.waves.iter_mut().filter(|(_, w)| !w.recorded);
        changed
            .map(|(&number, w)| {
                w.recorded = true;
                let complete = w.complete();
                let news = w.told.replace(complete) != Some(complete);
                WaveChange { number, record: w.record(), complete, news }
            })
            .collect()
    }

    /// Advances all waves; returns the machines to order maintenance for, and their waves. Each
    /// order is to be answered by [`Cell::maintenance_replied`].
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
        let Some(Turn::Ordered { incarnation, failures, .. }) = state.turns.get(machine).cloned()
        else {
            return;
        };
        match outcome {
            Maintenance::Begun => {
                // Its worker may live on, as maintenance may have been done before.
                state.turns.insert(machine.into(), Turn::Down { incarnation, since: now });
                state.recorded = false;
            }
            Maintenance::Dropped => {
                state.finish(machine);
                if let Some(worker) = self.workers.get_mut(&incarnation) {
                    worker.in_maintenance = false;
                }
            }
            Maintenance::Again => {
                let retry_at = now + (RETRY_AFTER << failures.min(MAX_DOUBLINGS));
                let failures = failures.saturating_add(1);
                let turn = Turn::Ordered { incarnation, retry_at, failures };
                state.turns.insert(machine.into(), turn);
            }
        }
    }

    /// Advances the machines of a wave as far as possible.
    fn advance(&mut self, state: &mut WaveState, now: u64, orders: &mut Vec<(String, u64)>) {
        let turns: Vec<_> = state.turns.iter().map(|(m, t)| (m.clone(), t.clone())).collect();
        for (machine, turn) in turns {
            let due = match turn {
                Turn::Inherited { since } => {
                    self.take_on(state, &machine, since, now);
                    None
                }
                Turn::Draining { incarnation, since, .. } => {
                    let urgent =
                        now.saturating_sub(since) as f64 > DRAIN_SHARE * state.wave.machine_time();
                    self.drain(&incarnation, urgent, now).then_some((incarnation, 0))
                }
                Turn::Ordered { incarnation, retry_at, failures } => {
                    (now >= retry_at).then_some((incarnation, failures))
                }
                Turn::Down { incarnation, since } => {
                    self.end_turn(state, &machine, &incarnation, since, now);
                    None
                }
            };
            let Some((incarnation, failures)) = due.filter(|_| self.may_order(now)) else {
                continue;
            };
            // The next attempt waits for the reply to this one.
            let turn = Turn::Ordered { incarnation, retry_at: u64::MAX, failures };
            if !matches!(state.turns.insert(machine.clone(), turn), Some(Turn::Ordered { .. })) {
                state.recorded = false;
            }
            orders.push((machine, state.wave.number));
        }
        self.begin_turns(state, now);
        if state.complete() && state.since > 0 {
            log_end(state, now);
        }
    }

    /// Counts an order to the machine service, unless the platform would refuse it.
    fn may_order(&mut self, now: u64) -> bool {
        if self.next_wave_order > now {
            return false;
        }
        self.next_wave_order =
            self.next_wave_order.max(now.saturating_sub(ORDER_BURST)) + ORDER_GAP;
        true
    }

    /// Takes on the turn of an earlier owner, which may have ordered maintenance that was never
    /// begun, is under way or is over. The worker there now is drained first in case it is the first;
    /// ordering it again does no harm in the other cases.
    fn take_on(&mut self, state: &mut WaveState, machine: &str, since: u64, now: u64) {
        let turn = match self.incarnation_on(machine) {
            Some(incarnation) => {
                if let Some(worker) = self.workers.get_mut(&incarnation) {
                    worker.in_maintenance = true;
                }
                Turn::Draining { incarnation, since: now, inherited: true }
            }
            None if now < since + WORKER_WAIT => return,
            None => Turn::Ordered { incarnation: nobody(), retry_at: now, failures: 0 },
        };
        info!("event=wave-turn-inherited wave={} machine={machine}", state.wave.number);
        state.turns.insert(machine.into(), turn);
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
        let Some(current) = self.incarnation_on(machine) else {
            return;
        };
        // The same incarnation is there if maintenance was done before.
        let replied_at = self.workers.get(&current).map_or(0, |w| w.answered_at);
        let alive = replied_at >= since + ALIVE_AFTER;
        let replaced = current != *incarnation && *incarnation != nobody();
        if replaced || alive || now.saturating_sub(since) > SKIPPED_AFTER {
            if replaced {
                self.mark_replaced(incarnation, now);
            }
            state.finish(machine);
            for incarnation in [incarnation, &current] {
                if let Some(worker) = self.workers.get_mut(incarnation) {
                    worker.in_maintenance = false;
                }
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
            let turn = Turn::Draining { incarnation, since: now, inherited: false };
            state.turns.insert(machine, turn);
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

    /// What successors have to know: machines that are only being drained can be begun anew.
    fn record(&self) -> WaveRecord {
        let turns = self.turns.iter().filter_map(|(machine, turn)| {
            let (incarnation, begun) = match turn {
                Turn::Draining { inherited: false, .. } => return None,
                Turn::Inherited { .. } => (nobody(), false),
                Turn::Draining { incarnation, .. } | Turn::Ordered { incarnation, .. } => {
                    (incarnation.clone(), false)
                }
                Turn::Down { incarnation, .. } => (incarnation.clone(), true),
            };
            Some((machine.clone(), TurnRecord { incarnation, begun }))
        });
        WaveRecord { done: self.done.clone(), turns: turns.collect() }
    }

    fn finish(&mut self, machine: &str) {
        self.turns.remove(machine);
        self.done.insert(machine.into());
        self.recorded = false;
    }
}

/// The incarnation of a machine whose worker is not known.
fn nobody() -> Incarnation {
    Incarnation::new("", 0)
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
