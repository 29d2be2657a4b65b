//! Moves work off workers that are about to leave.

use log::info;

use myrtle_job::{Incarnation, TaskId};

use crate::placing::step::step_of;
use crate::{Cell, Presence, Stage, Worker};

/// The time that a move needs besides the stop itself, in milliseconds.
const MOVE_MARGIN: u64 = 400;

/// How long a worker that answers has to be missing from the list before it is considered leaving
/// without notice, in milliseconds: its entry may return at the next read.
const LEFT_AFTER: u64 = 800;

/// How long after the list could not be read entries that expired meanwhile may still return, in
/// milliseconds: the platform gives about two seconds.
const RELIST_WITHIN: u64 = 3_000;

impl Cell {
    /// Stops runs that would not end before their worker leaves, so that they continue elsewhere.
    pub fn drain_leaving(&mut self, now: u64) {
        self.update_leaving(now);
        let mut moves: Vec<(Incarnation, TaskId, u32)> = Vec::new();
        let answering = self.workers.iter().filter(|(_, w)| w.presence == Presence::Answering);
        for (incarnation, worker) in answering.filter(|(_, w)| w.leaving) {
            let remaining = worker.leaves_at.map(|l| l.saturating_sub(now));
            for (&task, active) in
                worker.active_runs.iter().filter(|(_, f)| f.stage == Stage::Running)
            {
                if active.long_running {
                    let moving = moves.iter().any(|(_, t, _)| step_of(*t) == step_of(task));
                    // A run that is about to end with its worker becomes unavailable in any case;
                    // stopped, its end is certain.
                    let last = remaining.is_some_and(|l| l <= self.limits.max_stop + MOVE_MARGIN);
                    if last || self.may_move(task, now) && !moving {
                        moves.push((incarnation.clone(), task, active.run));
                    }
                    continue;
                }
                let share = 1.0 - active.percent / 100.0;
                let remaining_work = (active.estimate as f64 * share) as u64;
                if remaining
                    .is_some_and(|l| remaining_work + self.limits.max_stop + MOVE_MARGIN > l)
                    && active.saves
                {
                    moves.push((incarnation.clone(), task, active.run));
                }
            }
        }
        for (incarnation, task, run) in moves {
            info!(
                "event=move task={task} run={run} worker={incarnation} reason=\"the worker is leaving\""
            );
            self.counts.moved += 1;
            self.stop_run(&incarnation, task, run, now);
        }
    }

    /// Updates which of the answering workers are about to leave; the log keeps it for a successor
    /// that may never reach them.
    fn update_leaving(&mut self, now: u64) {
        let answering = self.workers.iter().filter(|(_, w)| w.presence == Presence::Answering);
        let changed = answering.filter(|(_, w)| self.leaves(w, now) != w.leaving);
        let changed: Vec<Incarnation> =
            changed.map(|(incarnation, _)| incarnation.clone()).collect();
        for incarnation in changed {
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                worker.leaving = !worker.leaving;
            }
        }
    }

    /// Whether an answering worker is about to leave: it is draining, or it is no longer listed
    /// though the list can be read.
    fn leaves(&self, worker: &Worker, now: u64) -> bool {
        let unlisted = !worker.listed && worker.listing.is_some();
        worker.draining()
            || unlisted
                && now >= worker.unlisted_at + LEFT_AFTER
                && now >= self.unreadable_at + RELIST_WITHIN
    }

    /// Moves runs off a worker; true once it has none.
    pub(crate) fn drain(&mut self, incarnation: &Incarnation, urgent: bool, now: u64) -> bool {
        let Some(worker) = self.workers.get(incarnation) else {
            return true;
        };
        if worker.active_runs.is_empty() {
            return true;
        }
        let mut moves: Vec<(TaskId, u32)> = Vec::new();
        for (&task, active) in worker.active_runs.iter().filter(|(_, f)| f.stage == Stage::Running)
        {
            let free = match active.long_running {
                true => {
                    let moving = moves.iter().any(|(t, _)| step_of(*t) == step_of(task));
                    !moving && self.may_move(task, now)
                }
                false => active.saves || urgent,
            };
            if free {
                moves.push((task, active.run));
            }
        }
        for (task, run) in moves {
            info!(
                "event=move task={task} run={run} worker={incarnation} reason=\"maintenance of its machine\""
            );
            self.counts.moved += 1;
            self.stop_run(incarnation, task, run, now);
        }
        false
    }

    /// Whether the disruption budget of a long-running step lets one more of its tasks be
    /// unavailable.
    pub(crate) fn may_move(&self, task: TaskId, now: u64) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        let Some(budget) = job.disruption_budget(task.step) else {
            return true;
        };
        let Some(round) = job.progress.rounds.get(&task.round) else {
            return true;
        };
        let tasks = &round.steps[usize::from(task.step)].tasks;
        let unavailable = tasks.iter().enumerate().filter(|(index, t)| {
            let id = TaskId { index: *index as u16, ..task };
            if job.progress.is_transferred(id) {
                return job.transfer_pending(now);
            }
            !t.active.iter().any(|r| {
                let active = self.workers.get(&r.worker).and_then(|w| w.active_runs.get(&id));
                active.is_some_and(|f| f.stage == Stage::Running && f.percent >= 100.0)
            })
        });
        unavailable.count() < usize::from(budget)
    }
}
