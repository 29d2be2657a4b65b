//! Moves work off workers that are about to leave.

use log::info;

use myrtle_job::{Incarnation, TaskId};

use crate::placing::step::step_of;
use crate::{Cell, Life, Stage, Worker};

/// The time that a move needs beside the stop itself, in milliseconds.
const SLACK: u64 = 400;

/// How long the list has to be without a worker that answers before it is taken to leave without
/// having said so, in milliseconds: its entry may come back under the next look.
const UNLISTED_FOR: u64 = 800;

/// How long after the list could not be read entries that lapsed meanwhile may still come back, in
/// milliseconds: the platform gives about two seconds.
const BACK_WITHIN: u64 = 3_000;

impl Cell {
    /// Stops what would not end before its worker leaves, so that it goes on elsewhere.
    pub fn evacuate(&mut self, now: u64) {
        self.note_leaving(now);
        let mut moves: Vec<(Incarnation, TaskId, u32)> = Vec::new();
        let well = self.workers.iter().filter(|(_, w)| w.life == Life::Well);
        for (incarnation, worker) in well.filter(|(_, w)| w.leaving) {
            let left = worker.leaves.map(|l| l.saturating_sub(now));
            for (&task, active) in worker.flights.iter().filter(|(_, f)| f.stage == Stage::Up) {
                if active.lasting {
                    let moving = moves.iter().any(|(_, t, _)| step_of(*t) == step_of(task));
                    // What is about to die there is away in any case: stopped, it is known to be.
                    let last = left.is_some_and(|l| l <= self.bounds.stop + SLACK);
                    if last || self.may_move(task, now) && !moving {
                        moves.push((incarnation.clone(), task, active.run));
                    }
                    continue;
                }
                let share = 1.0 - active.percent / 100.0;
                let rest = (active.estimate as f64 * share) as u64;
                if left.is_some_and(|l| rest + self.bounds.stop + SLACK > l) && active.saves {
                    moves.push((incarnation.clone(), task, active.run));
                }
            }
        }
        for (incarnation, task, run) in moves {
            info!(
                "event=move task={task} run={run} worker={incarnation} reason=\"the worker leaves\""
            );
            self.counts.moved += 1;
            self.halt(&incarnation, task, run, now);
        }
    }

    /// Notes which workers that answer are about to leave; the log tells the next owner, which may never meet them.
    fn note_leaving(&mut self, now: u64) {
        let well = self.workers.iter().filter(|(_, w)| w.life == Life::Well);
        let news = well.filter(|(_, w)| self.leaves(w, now) != w.leaving);
        let news: Vec<Incarnation> = news.map(|(incarnation, _)| incarnation.clone()).collect();
        for incarnation in news {
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                worker.leaving = !worker.leaving;
            }
        }
    }

    /// Whether a worker that answers is about to leave: it says so, or its entry is gone though the
    /// list can be read.
    fn leaves(&self, worker: &Worker, now: u64) -> bool {
        let unlisted = !worker.listed && worker.listing.is_some();
        worker.draining()
            || unlisted
                && now >= worker.unlisted_at + UNLISTED_FOR
                && now >= self.blind + BACK_WITHIN
    }

    /// Moves runs off a worker; true once nothing is left there.
    pub(crate) fn empty(&mut self, incarnation: &Incarnation, urgent: bool, now: u64) -> bool {
        let Some(worker) = self.workers.get(incarnation) else {
            return true;
        };
        if worker.flights.is_empty() {
            return true;
        }
        let mut moves: Vec<(TaskId, u32)> = Vec::new();
        for (&task, active) in worker.flights.iter().filter(|(_, f)| f.stage == Stage::Up) {
            let free = match active.lasting {
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
                "event=move task={task} run={run} worker={incarnation} reason=\"upkeep of its machine\""
            );
            self.counts.moved += 1;
            self.halt(incarnation, task, run, now);
        }
        false
    }

    /// Whether one more task of a lasting step may be away.
    pub(crate) fn may_move(&self, task: TaskId, now: u64) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        let Some(most) = job.allowance(task.step) else {
            return true;
        };
        let Some(round) = job.progress.rounds.get(&task.round) else {
            return true;
        };
        let tasks = &round.steps[usize::from(task.step)].tasks;
        let away = tasks.iter().enumerate().filter(|(index, t)| {
            let id = TaskId { index: *index as u16, ..task };
            if job.progress.away(id) {
                return job.handed_lately(now);
            }
            !t.live.iter().any(|r| {
                let active = self.workers.get(&r.worker).and_then(|w| w.flights.get(&id));
                active.is_some_and(|f| f.stage == Stage::Up && f.percent >= 100.0)
            })
        });
        away.count() < usize::from(most)
    }
}
