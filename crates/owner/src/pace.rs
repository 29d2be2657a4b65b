//! Slows fillers where they are, lets them go on, and moves those that were slowed for long.

use std::sync::Arc;

use log::info;

use myrtle_job::TaskId;

use crate::guard::fillers;
use crate::pressure::{HIGHEST_LOAD, MARGIN};
use crate::{Cell, Flight, Order, Worker};

/// How long a filler stays slowed before it goes elsewhere, in milliseconds: its stop and its start
/// from a checkpoint cost about as much.
const PATIENCE: u64 = 1_000;

impl Cell {
    /// Lets the slowed filler that is furthest on go on, of those that there is room for.
    pub(crate) fn resume(&mut self, life: &Arc<str>, now: u64) {
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
    pub(crate) fn move_slowed(&mut self, life: &Arc<str>, now: u64) {
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

    /// Whether every serving task would stay below its limit if a filler went on.
    fn room_to_resume(&self, worker: &Worker, filler: &Flight) -> bool {
        worker.flights.values().filter(|f| f.target.is_some()).all(|f| {
            let image = f.image.as_deref().unwrap_or("");
            let rise = self.press(worker, image, filler);
            let pressure = f.pressure().unwrap_or(HIGHEST_LOAD);
            pressure + self.unseen(worker, image) + rise <= self.harm.limit(image) - MARGIN
        })
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
        if percent > from {
            // Counts as unseen until a window shows it.
            flight.figure = 0.0;
        }
        self.counts.paced += 1;
        self.orders.push(Order::Pace { worker: life.clone(), task, run, percent });
    }
}
