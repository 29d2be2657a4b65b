//! The turns of machines in a wave: drained, ordered, down, and up again.

use log::info;

use myrtle_job::Incarnation;

use crate::workers::wave::WaveState;
use crate::workers::wave::record::TurnRecord;
use crate::{Cell, Presence};

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

/// The progress of a machine; its incarnation is the one of its worker when the turn began, if there
/// was one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Turn {
    /// An earlier owner may have ordered maintenance; its worker is awaited.
    Inherited { since: u64 },
    /// Its worker is being drained; an earlier owner may have ordered maintenance.
    Draining { incarnation: Incarnation, since: u64, inherited: bool },
    /// Maintenance is ordered once that is in the log, and again at `retry_at` unless it has begun.
    Ordered { incarnation: Option<Incarnation>, retry_at: u64, failures: u32 },
    /// It has gone down; another incarnation is expected.
    Down { incarnation: Option<Incarnation>, since: u64 },
}

impl Turn {
    /// The turn that follows from an earlier owner's record.
    pub(super) fn inherit(record: TurnRecord, now: u64) -> Self {
        match record {
            TurnRecord::Ordered => Self::Inherited { since: now },
            TurnRecord::Down(incarnation) => Self::Down { incarnation, since: now },
        }
    }

    /// What successors have to know; nothing if they can begin the turn anew.
    pub(super) fn record(&self) -> Option<TurnRecord> {
        match self {
            Self::Draining { inherited: false, .. } => None,
            Self::Inherited { .. } | Self::Draining { .. } | Self::Ordered { .. } => {
                Some(TurnRecord::Ordered)
            }
            Self::Down { incarnation, .. } => Some(TurnRecord::Down(incarnation.clone())),
        }
    }

    /// The incarnation that maintenance is to end, which another one may replace.
    pub(super) fn incarnation_mut(&mut self) -> Option<&mut Incarnation> {
        match self {
            Self::Draining { incarnation, .. } => Some(incarnation),
            Self::Ordered { incarnation, .. } => incarnation.as_mut(),
            Self::Inherited { .. } | Self::Down { .. } => None,
        }
    }
}

impl Cell {
    /// Advances the machines of a wave as far as possible; adds those to order maintenance for.
    pub(super) fn advance_turns(
        &mut self,
        state: &mut WaveState,
        now: u64,
        orders: &mut Vec<(String, u64)>,
    ) {
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
                    self.drain(&incarnation, urgent, now).then_some((Some(incarnation), 0))
                }
                Turn::Ordered { incarnation, retry_at, failures } => {
                    (now >= retry_at).then_some((incarnation, failures))
                }
                Turn::Down { incarnation, since } => {
                    self.end_turn(state, &machine, incarnation.as_ref(), since, now);
                    None
                }
            };
            let Some((incarnation, failures)) = due.filter(|_| self.wave_pace.take(now)) else {
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
    }

    /// Marks a worker as in maintenance, so that nothing is started there, or as out of it.
    pub(super) fn set_maintenance(&mut self, incarnation: &Incarnation, in_maintenance: bool) {
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.in_maintenance = in_maintenance;
        }
    }

    /// Takes on the turn of an earlier owner, which may have ordered maintenance that was never
    /// begun, is under way or is over. The worker there now is drained first in case it is the first;
    /// ordering it again does no harm in the other cases.
    fn take_on(&mut self, state: &mut WaveState, machine: &str, since: u64, now: u64) {
        let turn = match self.incarnation_on(machine) {
            Some(incarnation) => {
                self.set_maintenance(&incarnation, true);
                Turn::Draining { incarnation, since: now, inherited: true }
            }
            None if now < since + WORKER_WAIT => return,
            None => Turn::Ordered { incarnation: None, retry_at: now, failures: 0 },
        };
        info!("event=wave-turn-inherited wave={} machine={machine}", state.wave.number);
        state.turns.insert(machine.into(), turn);
    }

    /// Ends the turn of a machine once it is up again; `incarnation` is the one that was there before.
    fn end_turn(
        &mut self,
        state: &mut WaveState,
        machine: &str,
        incarnation: Option<&Incarnation>,
        since: u64,
        now: u64,
    ) {
        let Some(current) = self.incarnation_on(machine) else {
            return;
        };
        let replaced = incarnation.filter(|before| **before != current);
        // The same incarnation is there if maintenance was done before.
        let replied_at = self.workers.get(&current).map_or(0, |w| w.answered_at);
        let alive = replied_at >= since + ALIVE_AFTER;
        if replaced.is_none() && !alive && now.saturating_sub(since) <= SKIPPED_AFTER {
            return;
        }
        if let Some(before) = replaced {
            self.mark_replaced(before, now);
            self.set_maintenance(before, false);
        }
        self.set_maintenance(&current, false);
        state.finish(machine);
    }

    /// Begins the turns of further machines, up to the number that may be down at once.
    fn begin_turns(&mut self, state: &mut WaveState, now: u64) {
        while state.turns.len() < state.wave.limit {
            let due = |m: &&String| !state.done.contains(*m) && !state.turns.contains_key(*m);
            let mut due = state.wave.machines.iter().filter(due);
            let next = due.find_map(|m| Some((m.clone(), self.incarnation_on(m)?)));
            let Some((machine, incarnation)) = next else {
                break;
            };
            self.set_maintenance(&incarnation, true);
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
