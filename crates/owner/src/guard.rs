//! Keeps serving tasks within their targets: learns who disturbs them, chooses what moves or slows.

use std::sync::Arc;

use log::info;

use myrtle_job::TaskId;

use crate::harm::Uses;
use crate::pressure::{MARGIN, TRIFLE};
use crate::{Cell, Flight, Stage, Worker};

/// The time that a figure covers, in milliseconds; the platform's figure.
pub(crate) const WINDOW: u64 = 500;

/// Windows between two that are compared: what begins or ends within a window shows in part only,
/// so neighbours tell too little. Measured: docs/report/DISRUPTION.md.
const LAG: usize = 2;

/// The longest time between two windows that are compared, in milliseconds.
const LONGEST_LAG: u64 = 1_300;

/// The time after a change on a worker until its figures show it, in milliseconds: the stop of a
/// run and a whole window.
const SETTLE: u64 = 900;

/// How long before all fillers beside a task are halted, as a share of the longest time allowed.
const HALT_SHARE: f64 = 0.6;

/// The pressure from which on a filler is moved rather than slowed.
const CULPRIT: f64 = 0.03;

/// What is done to a filler's run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Remedy {
    /// It goes elsewhere.
    Move(TaskId, u32),
    /// It halts where it is.
    Slow(TaskId, u32),
}

impl Cell {
    /// Takes in what a worker's report says of tails and uses, once for each window.
    pub(crate) fn learn(&mut self, life: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        if worker.figured != now {
            return;
        }
        worker.faded.retain(|(.., at)| now.saturating_sub(*at) <= WINDOW);
        let uses = uses(worker);
        let back = worker.uses.len().checked_sub(LAG).and_then(|at| worker.uses.get(at));
        let before = back.filter(|(_, at)| now.saturating_sub(*at) <= LONGEST_LAG).cloned();
        for flight in worker.flights.values_mut() {
            let (Some(target), Some(image)) = (flight.target, &flight.image) else {
                continue;
            };
            if flight.percent < 100.0 || flight.figure <= 0.0 {
                flight.pressures.clear();
                flight.over = None;
                continue;
            }
            let ratio = flight.figure / f64::from(target);
            let pressure = self.harm.pressure(image, ratio);
            let known = flight.pressures.len();
            let old = known.checked_sub(LAG).and_then(|at| flight.pressures.get(at));
            if let (Some(old), Some((before, _))) = (old, &before) {
                self.harm.learn(image, *old, pressure, before, &uses);
            }
            flight.pressures.push(pressure);
            if known >= LAG {
                flight.pressures.remove(0);
            }
            flight.over = (ratio > 1.0).then(|| flight.over.unwrap_or(now));
        }
        worker.uses.push((uses, now));
        if worker.uses.len() > LAG {
            worker.uses.remove(0);
        }
    }

    /// Moves or slows what presses most on tasks that are over their targets, and lets it go on
    /// when there is room for it.
    pub(crate) fn guard(&mut self, life: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get(life) else {
            return;
        };
        if worker.figured != now || now.saturating_sub(worker.eased) < SETTLE {
            return self.move_slowed(life, now);
        }
        let over = worker.flights.values().filter_map(|f| Some((f, now - f.over?)));
        let worst = over.max_by_key(|(_, time)| *time);
        let Some((_, time)) = worst else {
            return self.resume(life, now);
        };
        let limit = (self.bounds.harm as f64 * HALT_SHARE) as u64;
        let relief = self.relief(worker, time >= limit);
        if relief.is_empty() {
            return;
        }
        if let Some(worker) = self.workers.get_mut(life) {
            worker.eased = now;
        }
        for remedy in relief {
            match remedy {
                Remedy::Move(task, run) => {
                    info!(
                        "event=move task={task} run={run} worker={life} \
                         reason=\"it disturbs others\""
                    );
                    self.counts.moved += 1;
                    self.halt(life, task, run, now);
                }
                Remedy::Slow(task, run) => self.pace(life, task, run, 0, now),
            }
        }
    }

    /// What has to be moved and what slowed so that every task comes below its limit.
    fn relief(&self, worker: &Worker, all: bool) -> Vec<Remedy> {
        let mut rows: Vec<(f64, TaskId, &Flight)> = Vec::new();
        let mut excess: f64 = 0.0;
        for victim in worker.flights.values().filter(|f| f.over.is_some()) {
            let image = victim.image.as_deref().unwrap_or("");
            let pressure = victim.pressure().unwrap_or(0.0);
            excess = excess.max(pressure - self.harm.limit(image) + MARGIN);
            for (&task, flight) in fillers(worker).filter(|(_, f)| f.pace > 0) {
                let rise = self.press(worker, image, flight);
                match rows.iter_mut().find(|(_, t, _)| *t == task) {
                    Some(row) => row.0 = row.0.max(rise),
                    None => rows.push((rise, task, flight)),
                }
            }
        }
        rows.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut relief = Vec::new();
        for (rise, task, flight) in rows {
            if !all && (excess <= 0.0 || rise < TRIFLE) {
                break;
            }
            excess -= rise;
            let culprit = rise >= CULPRIT;
            let remedy = if culprit { Remedy::Move } else { Remedy::Slow };
            relief.push(remedy(task, flight.run));
        }
        relief
    }
}

/// The fillers that are at work on a worker.
pub(crate) fn fillers(worker: &Worker) -> impl Iterator<Item = (&TaskId, &Flight)> {
    worker.flights.iter().filter(|(_, f)| f.filler && f.stage == Stage::Up)
}

/// What fillers used in the last window; those that ended in it count half.
fn uses(worker: &Worker) -> Uses {
    let size = worker.size();
    let mut uses = Uses::new();
    for flight in worker.flights.values().filter(|f| f.filler) {
        if let Some(image) = &flight.image {
            *uses.entry(image.clone()).or_default() += flight.figure / size;
        }
    }
    for (image, used, _) in &worker.faded {
        *uses.entry(image.clone()).or_default() += used / size / 2.0;
    }
    uses
}
