//! Keeps serving tasks within their targets: learns who disturbs them, moves and slows that.

use std::sync::Arc;

use log::info;

use myrtle_job::TaskId;

use crate::harm::Uses;
use crate::{Cell, Flight, Order, Stage, Worker};

/// The time that a figure covers, in milliseconds; the platform's figure.
const WINDOW: u64 = 500;

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

/// How far below its limit pressure has to come, and has to stay when work is added.
const MARGIN: f64 = 0.08;

/// The share of its processors that a serving task uses at its highest.
const HIGHEST_LOAD: f64 = 0.80;

/// How far below its limit a task has to be to bear more than it could at its highest load: what
/// its load may rise while a usual filler runs.
const SWING: f64 = 0.2;

/// How long a filler stays slowed before it goes elsewhere, in milliseconds: its stop and its start
/// from a checkpoint cost about as much.
const PATIENCE: u64 = 1_000;

/// The pressure from which on a filler is moved rather than slowed.
const CULPRIT: f64 = 0.03;

/// The pressure below which a filler is not worth slowing.
const TRIFLE: f64 = 0.004;

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

    /// Lets slowed fillers go on where there is room for what they add; else they go elsewhere.
    fn resume(&mut self, life: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get(life) else {
            return;
        };
        let mut first: Option<(TaskId, &Flight)> = None;
        for (&task, f) in fillers(worker).filter(|(_, f)| f.pace < 100) {
            if self.room_to_resume(worker, f) && first.is_none_or(|(_, g)| f.percent > g.percent) {
                first = Some((task, f));
            }
        }
        if let Some((task, f)) = first {
            let run = f.run;
            self.pace(life, task, run, 100, now);
        }
    }

    /// Moves fillers that have been slowed for long.
    fn move_slowed(&mut self, life: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get(life) else {
            return;
        };
        let stuck: Vec<(TaskId, u32)> = fillers(worker)
            .filter(|(_, f)| f.pace < 100 && now.saturating_sub(f.moved) > PATIENCE)
            .map(|(&task, f)| (task, f.run))
            .collect();
        for (task, run) in stuck {
            info!("event=move task={task} run={run} worker={life} reason=\"no room to go on\"");
            self.counts.moved += 1;
            self.halt(life, task, run, now);
        }
    }

    fn room_to_resume(&self, worker: &Worker, filler: &Flight) -> bool {
        worker.flights.values().filter(|f| f.target.is_some()).all(|f| {
            let image = f.image.as_deref().unwrap_or("");
            let rise = self.press(worker, image, filler);
            let pressure = f.pressure().unwrap_or(HIGHEST_LOAD);
            pressure + self.unseen(worker, image) + rise <= self.harm.limit(image) - MARGIN
        })
    }

    /// The pressure that a filler puts on a serving image on its worker.
    fn press(&self, worker: &Worker, image: &str, flight: &Flight) -> f64 {
        let filler = flight.image.as_deref().unwrap_or("");
        let used = if flight.figure > 0.0 { flight.figure } else { f64::from(flight.cpu) };
        self.harm.rise(image, filler, used / worker.size())
    }

    /// Whether every serving task on a worker would stay below its limit beside one more filler.
    pub(crate) fn bearable(&self, worker: &Worker, filler: &str, cpu: u32) -> bool {
        let share = f64::from(cpu) / worker.size();
        worker.flights.values().filter(|f| f.target.is_some()).all(|f| {
            let image = f.image.as_deref().unwrap_or("");
            // A single window may be over by noise.
            if f.over.is_some_and(|since| worker.figured >= since + WINDOW) {
                return false;
            }
            let rise = self.harm.risk(image, filler, share);
            if rise < TRIFLE {
                return f.over.is_none();
            }
            let limit = self.harm.limit(image);
            // Slowed ones are to go on before others come.
            let beside = worker.flights.values().filter(|g| g.filler);
            let beside: f64 = beside.map(|g| self.press(worker, image, g)).sum();
            if beside + rise <= limit - HIGHEST_LOAD {
                return true;
            }
            let pressure = f.pressure().unwrap_or(HIGHEST_LOAD);
            pressure + self.unseen(worker, image) + rise <= limit - SWING
        })
    }

    /// The pressure of fillers that no figure shows yet.
    fn unseen(&self, worker: &Worker, image: &str) -> f64 {
        let fresh = worker.flights.values().filter(|f| f.filler && f.pace > 0 && f.figure <= 0.0);
        fresh.map(|f| self.press(worker, image, f)).sum()
    }

    /// Takes in that a pace was not confirmed: it may hold or not, so it is set again if needed.
    pub fn pace_unsure(&mut self, life: &Arc<str>, task: TaskId, run: u32, percent: u32) {
        let flight = self.workers.get_mut(life).and_then(|w| w.flights.get_mut(&task));
        if let Some(flight) = flight.filter(|f| f.run == run && f.pace == percent) {
            flight.pace = if percent == 0 { 100 } else { 0 };
        }
    }

    fn pace(&mut self, life: &Arc<str>, task: TaskId, run: u32, percent: u32, now: u64) {
        let Some(flight) = self.workers.get_mut(life).and_then(|w| w.flights.get_mut(&task)) else {
            return;
        };
        let from = std::mem::replace(&mut flight.pace, percent);
        info!("event=pace task={task} run={run} worker={life} from={from} percent={percent}");
        flight.moved = now;
        if percent > from {
            // Counts as unseen until a window shows it.
            flight.figure = 0.0;
        }
        self.counts.paced += 1;
        self.orders.push(Order::Pace { worker: life.clone(), task, run, percent });
    }
}

fn fillers(worker: &Worker) -> impl Iterator<Item = (&TaskId, &Flight)> {
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
