//! Keeps serving tasks within their targets: shares the pressure that they bear among the fillers
//! beside them, and moves fillers that get none of it for long.

use log::{Level, info, log};

use myrtle_job::{Incarnation, TaskId};

use crate::disruption::headroom::Headroom;
use crate::{Cell, Flight, Life, Order, Worker};

/// Paces are multiples of this, in percent, so that small changes cost no order.
const GRAIN: u32 = 10;

/// Paces below this halt, in percent.
const LEAST: u32 = 20;

/// How much faster a filler has to become to be worth an order, in percent.
const FASTER: u32 = 30;

/// How long before all fillers beside a task are halted, as a share of the longest time allowed: a
/// report may come 0.8 s late, and the order takes effect after 0.2 s.
const HALT_SHARE: f64 = 0.5;

/// How long a filler is halted before it goes elsewhere, in milliseconds: its stop and its
/// start from a checkpoint cost about as much.
const PATIENCE: u64 = 1_000;

/// A run whose pace has to change, in percent.
struct Change {
    task: TaskId,
    run: u32,
    from: u32,
    pace: u32,
}

impl Cell {
    /// Slows what would press too hard on tasks of a worker and lets go on what they bear.
    pub(crate) fn guard(&mut self, life: &Incarnation, now: u64) {
        let Some(worker) = self.workers.get(life) else {
            return;
        };
        let changes = self.changes(worker, now);
        let slower = changes.iter().any(|c| c.pace < c.from);
        if let Some(worker) = self.workers.get_mut(life).filter(|_| slower) {
            worker.eased = now;
        }
        for change in changes {
            self.pace(life, change.task, change.run, change.pace, now);
        }
        self.move_slowed(life, now);
    }

    /// The same for all workers that answer, by what is forecast.
    pub fn guard_all(&mut self, now: u64) {
        self.foresee(now);
        let well = self.workers.iter().filter(|(_, w)| w.life == Life::Well);
        let well: Vec<Incarnation> = well.map(|(life, _)| life.clone()).collect();
        for life in well {
            self.guard(&life, now);
        }
    }

    /// The paces that have to change on a worker.
    fn changes(&self, worker: &Worker, now: u64) -> Vec<Change> {
        let over = over_for(worker, now);
        let halt = over.is_some_and(|time| time >= self.halt_after());
        let light = self.light_pace(worker);
        let mut rooms = self.headrooms(worker, now);
        let mut changes = Vec::new();
        for (&task, flight) in self.gentle_first(worker) {
            let pace = if halt { 0 } else { self.share(worker, flight, light, &mut rooms) };
            let slower = pace < flight.pace;
            let faster = pace >= flight.pace + FASTER || pace == 100 && flight.pace < 100;
            if slower || flight.unsure || faster && over.is_none() {
                changes.push(Change { task, run: flight.run, from: flight.pace, pace });
            }
        }
        changes
    }

    /// How long a task may be over its target before all fillers beside it halt, in milliseconds.
    fn halt_after(&self) -> u64 {
        (self.bounds.harm as f64 * HALT_SHARE) as u64
    }

    /// Whether a worker gets no more fillers, since those that it has are about to halt.
    pub(crate) fn about_to_halt(&self, worker: &Worker, now: u64) -> bool {
        over_for(worker, now).is_some_and(|time| time >= self.halt_after() / 2)
    }

    /// The fillers at work on a worker, with those first that press least on any of its images.
    fn gentle_first<'a>(&self, worker: &'a Worker) -> Vec<(&'a TaskId, &'a Flight)> {
        let worst = |filler| {
            let images = worker.outlooks.iter().map(|o| &o.image);
            images.map(|image| self.press(worker, image, filler)).fold(0.0, f64::max)
        };
        let mut queue: Vec<_> = worker.fillers().map(|(task, f)| (worst(f), task, f)).collect();
        queue.sort_by(|a, b| a.0.total_cmp(&b.0));
        queue.into_iter().map(|(_, task, f)| (task, f)).collect()
    }

    /// The pace in percent at which a filler stays within what is left of the rooms, which it takes
    /// of them; `light` is the share of their speed that light fillers keep.
    fn share(
        &self,
        worker: &Worker,
        flight: &Flight,
        light: f64,
        rooms: &mut [Headroom<'_>],
    ) -> u32 {
        let mut pace = 1.0f64;
        for room in rooms.iter() {
            pace = match self.light(room.image, flight) {
                true => pace.min(light),
                false => pace.min(room.left / self.press(worker, room.image, flight)),
            };
        }
        let percent = (pace.clamp(0.0, 1.0) * 100.0) as u32 / GRAIN * GRAIN;
        let percent = if percent < LEAST { 0 } else { percent };
        for room in rooms.iter_mut() {
            room.left -= self.press(worker, room.image, flight) * f64::from(percent) / 100.0;
        }
        percent
    }

    /// Moves fillers that have been halted for long.
    fn move_slowed(&mut self, life: &Incarnation, now: u64) {
        let Some(worker) = self.workers.get(life) else {
            return;
        };
        let stuck: Vec<(TaskId, u32)> = worker
            .fillers()
            .filter(|(_, f)| f.pace == 0 && now.saturating_sub(f.moved) > PATIENCE)
            .map(|(&task, f)| (task, f.run))
            .collect();
        for (task, run) in stuck {
            info!("event=move task={task} run={run} worker={life} reason=\"no room to go on\"");
            self.counts.moved += 1;
            self.halt(life, task, run, now);
        }
    }

    /// Takes in that a pace was not confirmed: it may hold or not, so it is set again.
    pub fn pace_unsure(&mut self, life: &Incarnation, task: TaskId, run: u32, percent: u32) {
        let flight = self.workers.get_mut(life).and_then(|w| w.flights.get_mut(&task));
        if let Some(flight) = flight.filter(|f| f.run == run && f.pace == percent) {
            flight.unsure = true;
            // Until then the worst is taken.
            flight.pace = 100;
        }
    }

    /// Sets a run's pace.
    pub(crate) fn pace(
        &mut self,
        life: &Incarnation,
        task: TaskId,
        run: u32,
        percent: u32,
        now: u64,
    ) {
        let Some(flight) = self.workers.get_mut(life).and_then(|w| w.flights.get_mut(&task)) else {
            return;
        };
        let from = std::mem::replace(&mut flight.pace, percent);
        // Most changes are small, and there are many of them.
        let level = if percent == 0 || from == 0 { Level::Info } else { Level::Debug };
        log!(level, "event=pace task={task} run={run} worker={life} from={from} percent={percent}");
        flight.unsure = false;
        flight.moved = now;
        self.counts.paced += 1;
        self.orders.push(Order::Pace { worker: life.clone(), task, run, percent });
    }
}

/// How long the task has been over its target that has been so for longest, in milliseconds.
fn over_for(worker: &Worker, now: u64) -> Option<u64> {
    worker.flights.sums().over.map(|since| now.saturating_sub(since))
}
