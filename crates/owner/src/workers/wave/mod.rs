//! Maintenance waves: machines are drained and handed to the platform, a few at a time.
//!
//! Fault: an owner ends while machines are down, and its successor, which doesn't know of them, takes
//! down as many again. So a machine's turn is in the log before its maintenance is ordered, and
//! successors begin with the turns that they find there.

mod pace;
mod record;
mod turn;

use std::collections::{BTreeMap, BTreeSet};

use log::{info, warn};

use crate::Cell;
use myrtle_base::growing_pause;

pub(crate) use pace::OrderPace;
pub use record::{TurnRecord, WaveChange, WaveRecord};
use turn::Turn;

/// The pause before maintenance that was refused or got no reply is ordered again, in milliseconds;
/// it doubles with each failure of the machine.
const RETRY_AFTER: u64 = 400;

/// The longest such pause, in milliseconds.
const MAX_RETRY_AFTER: u64 = 3_200;

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
        let turns = turns.map(|(machine, record)| (machine, Turn::inherit(&record, now)));
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
            self.advance_turns(&mut state, now, &mut orders);
            if state.complete() && state.since > 0 {
                log_end(&mut state, now);
            }
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
        let Some(&Turn::Ordered { since, failures, .. }) = state.turns.get(machine) else {
            return;
        };
        match outcome {
            Maintenance::Begun => {
                // Its worker may live on, as maintenance may have been done before.
                state.turns.insert(machine.into(), Turn::Down { since: now });
                state.recorded = false;
            }
            Maintenance::Dropped => {
                state.finish(machine);
                self.release(machine);
            }
            Maintenance::Again => {
                let failures = failures.saturating_add(1);
                let retry_at = now + growing_pause(RETRY_AFTER, MAX_RETRY_AFTER, failures);
                state.turns.insert(machine.into(), Turn::Ordered { since, retry_at, failures });
            }
        }
    }
}

impl WaveState {
    fn complete(&self) -> bool {
        self.wave.machines.iter().all(|m| self.done.contains(m))
    }

    /// What successors have to know: machines that are only being drained can be begun anew.
    fn record(&self) -> WaveRecord {
        let turns =
            self.turns.iter().filter_map(|(machine, turn)| Some((machine.clone(), turn.record()?)));
        WaveRecord { done: self.done.clone(), turns: turns.collect() }
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
