//! The turns of machines in a wave: drained, ordered, down, and up again.
//!
//! A turn is that of a machine, not of the worker that was there when it began: the worker may crash, and another one
//! may be on the machine before maintenance begins, also because of another wave. So every worker on a machine whose
//! turn is under way is drained.
//!
//! A machine is up again once a worker on it has answered a call that was sent after the machine service had confirmed
//! that maintenance has begun. Nothing else tells the worker before from the one after: the former may have joined at
//! any time up to the order, its entry and its answers arrive late, and where maintenance was done before, it is the
//! same one.

use log::info;

use myrtle_job::Incarnation;

use crate::workers::wave::WaveState;
use crate::workers::wave::record::TurnRecord;
use crate::{Cell, Presence, Worker};

/// How long a successor waits for a worker on a machine that an earlier owner may have ordered
/// maintenance for, in milliseconds; without one there is nothing to drain.
const WORKER_WAIT: u64 = 3_000;

/// The share of a machine's time in the wave that draining may take; after that, runs that can be
/// started again are stopped.
const DRAIN_SHARE: f64 = 0.5;

/// The progress of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Turn {
    /// An earlier owner may have ordered maintenance; a worker is awaited.
    Inherited { since: u64 },
    /// Its workers are being drained; an earlier owner may have ordered maintenance.
    Draining { since: u64, inherited: bool },
    /// Maintenance is ordered once that is in the log, and again at `retry_at` unless it has begun.
    Ordered { since: u64, retry_at: u64, failures: u32 },
    /// The machine service has confirmed that it has begun.
    Down { since: u64 },
}

impl Turn {
    /// The turn that follows from an earlier owner's record.
    pub(super) fn inherit(record: &TurnRecord, now: u64) -> Self {
        match record {
            TurnRecord::Ordered => Self::Inherited { since: now },
            TurnRecord::Down(_) => Self::Down { since: now },
        }
    }

    /// What successors have to know; nothing if they can begin the turn anew.
    pub(super) fn record(self) -> Option<TurnRecord> {
        match self {
            Self::Draining { inherited: false, .. } => None,
            Self::Inherited { .. } | Self::Draining { .. } | Self::Ordered { .. } => {
                Some(TurnRecord::Ordered)
            }
            Self::Down { .. } => Some(TurnRecord::Down(None)),
        }
    }

    /// Whether maintenance of the machine is still to begin.
    fn is_pending(self) -> bool {
        !matches!(self, Self::Down { .. })
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
        let turns: Vec<_> = state.turns.iter().map(|(m, t)| (m.clone(), *t)).collect();
        for (machine, turn) in turns {
            let due = match turn {
                Turn::Inherited { since } => {
                    self.take_on(state, &machine, since, now);
                    None
                }
                Turn::Draining { since, .. } => Some((since, 0)),
                Turn::Ordered { since, retry_at, failures } => {
                    (now >= retry_at).then_some((since, failures))
                }
                Turn::Down { since } => {
                    self.end_turn(state, &machine, since, now);
                    None
                }
            };
            let share = DRAIN_SHARE * state.wave.machine_time();
            let drained = |since: u64, cell: &mut Self| {
                let urgent = now.saturating_sub(since) as f64 > share;
                cell.drain_machine(&machine, urgent, now)
            };
            let due = due.filter(|(since, _)| drained(*since, self) && self.wave_pace.take(now));
            let Some((since, failures)) = due else {
                continue;
            };
            // The next attempt waits for the reply to this one.
            let turn = Turn::Ordered { since, retry_at: u64::MAX, failures };
            if !matches!(state.turns.insert(machine.clone(), turn), Some(Turn::Ordered { .. })) {
                state.recorded = false;
            }
            orders.push((machine, state.wave.number));
        }
        self.begin_turns(state, now);
    }

    /// Marks a worker that is new on its machine as in maintenance if the machine's turn is under way.
    pub(crate) fn join_turn(&mut self, incarnation: &Incarnation) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let machine = worker.listing.as_ref().and_then(|l| l.machine.as_deref());
        let pending = |machine: &str| self.waves.values().any(|wave| wave.is_pending(machine));
        worker.in_maintenance |= machine.is_some_and(pending);
    }

    /// Lets the workers on a machine get work again, unless another wave is about to maintain it.
    pub(super) fn release(&mut self, machine: &str) {
        let pending = self.waves.values().any(|wave| wave.is_pending(machine));
        self.set_maintenance(machine, pending);
    }

    /// Drains all workers on a machine; true once nothing runs there.
    fn drain_machine(&mut self, machine: &str, urgent: bool, now: u64) -> bool {
        self.set_maintenance(machine, true);
        let workers: Vec<_> = self.workers_on(machine).map(|(worker, _)| worker.clone()).collect();
        let busy = workers.iter().filter(|worker| !self.drain(worker, urgent, now));
        busy.count() == 0
    }

    /// Takes on the turn of an earlier owner, which may have ordered maintenance that was never
    /// begun, is under way or is over. The worker there now is drained first in case it is the first;
    /// ordering it again does no harm in the other cases.
    fn take_on(&mut self, state: &mut WaveState, machine: &str, since: u64, now: u64) {
        let turn = match self.answers_on(machine) {
            true => Turn::Draining { since: now, inherited: true },
            false if now < since + WORKER_WAIT => return,
            false => Turn::Ordered { since: now, retry_at: now, failures: 0 },
        };
        info!("event=wave-turn-inherited wave={} machine={machine}", state.wave.number);
        state.turns.insert(machine.into(), turn);
    }

    /// Ends the turn of a machine once it is up again; maintenance had begun at `since`.
    fn end_turn(&mut self, state: &mut WaveState, machine: &str, since: u64, now: u64) {
        let up = |worker: &Worker| worker.alive_at > since;
        let current = self.workers_on(machine).find(|(_, w)| up(w));
        let Some(current) = current.map(|(incarnation, _)| incarnation.clone()) else {
            return;
        };
        let before = self.workers_on(machine).filter(|(_, w)| w.in_maintenance && !up(w));
        let before: Vec<_> = before.map(|(incarnation, _)| incarnation.clone()).collect();
        before.iter().for_each(|incarnation| self.mark_replaced(incarnation, now));
        info!(
            "event=wave-machine-up wave={} machine={machine} worker={current} took_ms={}",
            state.wave.number,
            now.saturating_sub(since)
        );
        state.finish(machine);
        self.release(machine);
    }

    /// Begins the turns of further machines, up to the number that may be down at once.
    fn begin_turns(&mut self, state: &mut WaveState, now: u64) {
        while state.turns.len() < state.wave.limit {
            let due = |m: &&String| !state.done.contains(*m) && !state.turns.contains_key(*m);
            let mut due = state.wave.machines.iter().filter(due);
            let Some(machine) = due.find(|machine| self.answers_on(machine)).cloned() else {
                break;
            };
            self.set_maintenance(&machine, true);
            state.turns.insert(machine, Turn::Draining { since: now, inherited: false });
        }
    }

    /// Sets whether the workers on a machine are in maintenance and get no work.
    fn set_maintenance(&mut self, machine: &str, in_maintenance: bool) {
        let workers = self.workers.values_mut().filter(|worker| is_on(worker, machine));
        workers.for_each(|worker| worker.in_maintenance = in_maintenance);
    }

    /// Whether a worker on a machine answers.
    fn answers_on(&self, machine: &str) -> bool {
        self.workers_on(machine).any(|(_, w)| w.listed && w.presence == Presence::Answering)
    }

    /// The known workers on a machine, also those that have ended.
    fn workers_on(&self, machine: &str) -> impl Iterator<Item = (&Incarnation, &Worker)> {
        self.workers.iter().filter(move |(_, worker)| is_on(worker, machine))
    }
}

fn is_on(worker: &Worker, machine: &str) -> bool {
    worker.listing.as_ref().is_some_and(|l| l.machine.as_deref() == Some(machine))
}

impl WaveState {
    /// Whether maintenance of a machine is still to begin for the wave.
    fn is_pending(&self, machine: &str) -> bool {
        self.turns.get(machine).is_some_and(|turn| turn.is_pending())
    }
}
