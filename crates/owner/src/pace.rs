//! Keeps serving tasks within their targets: shares the pressure that they bear among the fillers
//! beside them, and moves fillers that get none of it for long.

use std::sync::Arc;

use log::info;

use myrtle_job::TaskId;

use crate::guard::fillers;
use crate::harm::LIMIT;
use crate::pressure::common;
use crate::{Cell, Flight, Life, Order, Worker};

/// How far below its limit pressure is kept.
const MARGIN: f64 = 0.08;

/// How far ahead loads are looked at, in milliseconds: until the next report and its orders.
const HORIZON: u64 = 600;

/// The time after a change on a worker until its figures show it, in milliseconds: an order, and a
/// whole window.
const SETTLE: u64 = 700;

/// How long a task has to be over its target before what is seen counts, in milliseconds: single
/// spikes have other causes.
const SPIKE: u64 = 400;

/// Paces are multiples of this, in percent, so that small changes cost no order.
const GRAIN: u32 = 10;

/// Paces below this halt, in percent.
const LEAST: u32 = 20;

/// How much faster a filler has to become to be worth an order, in percent.
const FASTER: u32 = 30;

/// How long before all fillers beside a task are halted, as a share of the longest time allowed.
const HALT_SHARE: f64 = 0.6;

/// How long a filler makes no progress before it goes elsewhere, in milliseconds: its stop and its
/// start from a checkpoint cost about as much.
const PATIENCE: u64 = 1_000;

impl Cell {
    /// Slows what would press too hard on tasks of a worker and lets go on what they bear.
    pub(crate) fn guard(&mut self, life: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get(life) else {
            return;
        };
        let changes = self.changes(worker, now);
        let slower = changes
            .iter()
            .any(|(task, _, pace)| worker.flights.get(task).is_some_and(|f| f.pace > *pace));
        if let Some(worker) = self.workers.get_mut(life).filter(|_| slower) {
            worker.eased = now;
        }
        for (task, run, pace) in changes {
            self.pace(life, task, run, pace, now);
        }
        self.move_slowed(life, now);
    }

    /// The same for all workers that answer, by what is forecast.
    pub fn guard_all(&mut self, now: u64) {
        self.foresee(now);
        let well = self.workers.iter().filter(|(_, w)| w.life == Life::Well);
        let well: Vec<Arc<str>> = well.map(|(life, _)| life.clone()).collect();
        for life in well {
            self.guard(&life, now);
        }
    }

    /// The paces that have to change on a worker.
    fn changes(&self, worker: &Worker, now: u64) -> Vec<(TaskId, u32, u32)> {
        let over = worker.flights.values().filter_map(|f| Some(now - f.over?)).max();
        let limit = (self.bounds.harm as f64 * HALT_SHARE) as u64;
        let halt = over.is_some_and(|time| time >= limit);
        let mut rooms = self.rooms(worker, now);
        let mut queue: Vec<(f64, &TaskId, &Flight)> = fillers(worker)
            .map(|(task, f)| {
                let rises = rooms.iter().map(|(image, _)| self.press(worker, image, f));
                (rises.fold(0.0, f64::max), task, f)
            })
            .collect();
        queue.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut changes = Vec::new();
        let light = self.light_pace(worker);
        for (_, &task, flight) in queue {
            let pace = if halt { 0 } else { self.share(worker, flight, light, &mut rooms) };
            let slower = pace < flight.pace;
            let faster = pace >= flight.pace + FASTER || pace == 100 && flight.pace < 100;
            if slower || faster && over.is_none() {
                changes.push((task, flight.run, pace));
            }
        }
        changes
    }

    /// The pressure that fillers may put on each serving image of a worker.
    fn rooms<'a>(&self, worker: &'a Worker, now: u64) -> Vec<(&'a Arc<str>, f64)> {
        let settled = now >= worker.eased + SETTLE;
        let room = worker.outlooks.iter().map(|outlook| {
            let image = &outlook.image;
            let expected = LIMIT - MARGIN - outlook.highest(HORIZON);
            let victims = worker.flights.values().filter(|f| f.image.as_ref() == Some(image));
            let worst = victims
                .filter(|f| f.over.is_some_and(|since| now >= since + SPIKE))
                .filter_map(|f| f.pressure);
            let worst = worst.max_by(f64::total_cmp).filter(|_| settled);
            // What is seen goes before what was expected.
            let seen = worst.map_or(expected, |pressure| {
                let beside = fillers(worker)
                    .map(|(_, f)| self.press(worker, image, f) * f64::from(f.pace) / 100.0);
                beside.sum::<f64>() + LIMIT - MARGIN - pressure
            });
            (image, expected.min(seen))
        });
        room.collect()
    }

    /// The pace at which a filler stays within what is left of the rooms, which it takes of them.
    fn share(
        &self,
        worker: &Worker,
        flight: &Flight,
        light: f64,
        rooms: &mut [(&Arc<str>, f64)],
    ) -> u32 {
        let mut pace = 1.0f64;
        for (image, room) in rooms.iter() {
            pace = match self.light(image, flight) {
                true => pace.min(light),
                false => pace.min(room / self.press(worker, image, flight)),
            };
        }
        let percent = (pace.clamp(0.0, 1.0) * 100.0) as u32 / GRAIN * GRAIN;
        let percent = if percent < LEAST { 0 } else { percent };
        for (image, room) in rooms.iter_mut() {
            *room -= self.press(worker, image, flight) * f64::from(percent) / 100.0;
        }
        percent
    }

    /// The pace that all light fillers of a worker keep together.
    fn light_pace(&self, worker: &Worker) -> f64 {
        let paces = worker.outlooks.iter().map(|outlook| {
            let light = fillers(worker).filter(|(_, f)| self.light(&outlook.image, f));
            let rise: f64 = light.map(|(_, f)| self.press(worker, &outlook.image, f)).sum();
            common(outlook.highest(HORIZON), rise)
        });
        paces.fold(1.0, f64::min)
    }

    /// Moves fillers that have been halted for long.
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

    /// Takes in that a pace was not confirmed: it may hold or not, so it is set again if needed.
    pub fn pace_unsure(&mut self, life: &Arc<str>, task: TaskId, run: u32, percent: u32) {
        let flight = self.workers.get_mut(life).and_then(|w| w.flights.get_mut(&task));
        if let Some(flight) = flight.filter(|f| f.run == run && f.pace == percent) {
            flight.pace = if percent == 0 { 100 } else { 0 };
        }
    }

    /// Sets a run's pace.
    pub(crate) fn pace(&mut self, life: &Arc<str>, task: TaskId, run: u32, percent: u32, now: u64) {
        let Some(flight) = self.workers.get_mut(life).and_then(|w| w.flights.get_mut(&task)) else {
            return;
        };
        let from = std::mem::replace(&mut flight.pace, percent);
        info!("event=pace task={task} run={run} worker={life} from={from} percent={percent}");
        flight.moved = now;
        self.counts.paced += 1;
        self.orders.push(Order::Pace { worker: life.clone(), task, run, percent });
    }
}
