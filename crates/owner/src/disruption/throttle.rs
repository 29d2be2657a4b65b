//! Keeps serving tasks within their latency targets: divides the pressure that they can bear among
//! the fillers beside them by speed limits, and moves fillers that stay halted.

use log::{Level, info, log};

use myrtle_job::{Incarnation, TaskId};

use crate::disruption::headroom::Headroom;
use crate::{ActiveRun, Cell, Order, Presence, Worker};

/// Speed limits are multiples of this, in percent, so that small changes need no order.
const LIMIT_STEP: u32 = 10;

/// Speed limits below this become 0, in percent.
const MIN_LIMIT: u32 = 20;

/// The smallest increase of a speed limit that is worth an order, in percent.
const MIN_RAISE: u32 = 30;

/// How long a task may exceed its target before all fillers beside it are halted, as a share of the
/// bound on it: a report may come 0.8 s late, and the order takes effect after 0.2 s.
const HALT_SHARE: f64 = 0.5;

/// How long a serving task may exceed its target beside an assured filler, in milliseconds: until then the filler works
/// whatever forecasts say, so that each of its turns brings it on.
const ASSURED_OVER: u64 = 400;

/// How long a filler is halted before it is moved, in milliseconds: stopping it and starting it
/// from a checkpoint costs about as much.
const MOVE_AFTER: u64 = 1_000;

/// A run whose speed limit has to change, in percent.
struct LimitChange {
    task: TaskId,
    run: u32,
    from: u32,
    limit: u32,
}

impl Cell {
    /// Throttles the fillers of a worker that would slow its serving tasks too much, raises the
    /// limits of others as far as the tasks allow, and moves fillers that stay halted.
    pub(crate) fn throttle_fillers(&mut self, incarnation: &Incarnation, now: u64) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        worker.update_blame(now);
        let worker = &self.workers[incarnation];
        let changes = self.limit_changes(worker, now);
        let slower = changes.iter().any(|c| c.limit < c.from);
        if let Some(worker) = self.workers.get_mut(incarnation).filter(|_| slower) {
            worker.throttled_at = now;
        }
        for change in changes {
            self.set_limit(incarnation, change.task, change.run, change.limit, now);
        }
        self.move_halted(incarnation, now);
    }

    /// The same for all workers that answer, with a new forecast.
    pub fn throttle_all(&mut self, now: u64) {
        self.forecast_loads(now);
        let answering = self.workers.iter().filter(|(_, w)| w.presence == Presence::Answering);
        let answering: Vec<Incarnation> =
            answering.map(|(incarnation, _)| incarnation.clone()).collect();
        for incarnation in answering {
            self.throttle_fillers(&incarnation, now);
        }
    }

    /// The speed limits that have to change on a worker.
    fn limit_changes(&self, worker: &Worker, now: u64) -> Vec<LimitChange> {
        let over = over_target_for(worker, now);
        let halt = over.is_some_and(|time| time >= self.halt_after());
        let light = self.light_limit(worker);
        let mut headrooms = self.headrooms(worker, now);
        let mut changes = Vec::new();
        for (&task, active) in self.by_pressure(worker) {
            let assured = active.assured && over.is_none_or(|time| time < ASSURED_OVER);
            let limit = match assured {
                _ if halt => 0,
                true => 100,
                false => self.limit_for(worker, active, light, &mut headrooms),
            };
            let slower = limit < active.speed_limit;
            let faster =
                limit >= active.speed_limit + MIN_RAISE || limit == 100 && active.speed_limit < 100;
            if slower || active.unconfirmed || faster && over.is_none() {
                changes.push(LimitChange {
                    task,
                    run: active.run,
                    from: active.speed_limit,
                    limit,
                });
            }
        }
        changes
    }

    /// How long a task may exceed its target before all fillers beside it are halted, in
    /// milliseconds.
    fn halt_after(&self) -> u64 {
        (self.limits.throttle_after as f64 * HALT_SHARE) as u64
    }

    /// Whether a worker gets no more fillers, since the present ones are about to be halted.
    pub(crate) fn about_to_halt(&self, worker: &Worker, now: u64) -> bool {
        over_target_for(worker, now).is_some_and(|time| time >= self.halt_after() / 2)
    }

    /// The running fillers of a worker, sorted by the most pressure that they add to any of its
    /// images, lowest first.
    fn by_pressure<'a>(&self, worker: &'a Worker) -> Vec<(&'a TaskId, &'a ActiveRun)> {
        let worst = |filler| {
            let images = worker.forecasts.iter().map(|o| &o.image);
            images.map(|image| self.pressure_of(worker, image, filler)).fold(0.0, f64::max)
        };
        let mut queue: Vec<_> = worker.fillers().map(|(task, f)| (worst(f), task, f)).collect();
        queue.sort_by(|a, b| a.0.total_cmp(&b.0));
        queue.into_iter().map(|(_, task, f)| (task, f)).collect()
    }

    /// The speed limit in percent at which a filler stays within the remaining headroom, from which
    /// its pressure is subtracted; `light` is the share of their speed that light fillers keep.
    fn limit_for(
        &self,
        worker: &Worker,
        active: &ActiveRun,
        light: f64,
        headrooms: &mut [Headroom<'_>],
    ) -> u32 {
        let mut speed = 1.0f64;
        for h in headrooms.iter() {
            speed = match self.is_light(h.image, active) {
                true => speed.min(light),
                false => speed.min(h.left / self.pressure_of(worker, h.image, active)),
            };
        }
        let percent = (speed.clamp(0.0, 1.0) * 100.0) as u32 / LIMIT_STEP * LIMIT_STEP;
        let percent = if percent < MIN_LIMIT { 0 } else { percent };
        for h in headrooms.iter_mut() {
            h.left -= self.pressure_of(worker, h.image, active) * f64::from(percent) / 100.0;
        }
        percent
    }

    /// Moves fillers that have been halted for longer than `MOVE_AFTER`.
    fn move_halted(&mut self, incarnation: &Incarnation, now: u64) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        let halted: Vec<(TaskId, u32)> = worker
            .fillers()
            .filter(|(_, f)| f.speed_limit == 0 && now.saturating_sub(f.changed_at) > MOVE_AFTER)
            .map(|(&task, f)| (task, f.run))
            .collect();
        for (task, run) in halted {
            info!(
                "event=move task={task} run={run} worker={incarnation} reason=\"no headroom to resume\""
            );
            self.counts.moved += 1;
            self.stop_run(incarnation, task, run, now);
        }
    }

    /// Notes that a speed limit was not confirmed; it may be in force or not, so it is set again.
    pub fn limit_unconfirmed(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        run: u32,
        percent: u32,
    ) {
        let active = self.workers.get_mut(incarnation).and_then(|w| w.active_runs.get_mut(&task));
        if let Some(active) = active.filter(|f| f.run == run && f.speed_limit == percent) {
            active.unconfirmed = true;
            // Until then the filler counts at full speed, the worst case.
            active.speed_limit = 100;
        }
    }

    /// Sets a run's speed limit.
    pub(crate) fn set_limit(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        run: u32,
        percent: u32,
        now: u64,
    ) {
        let Some(active) =
            self.workers.get_mut(incarnation).and_then(|w| w.active_runs.get_mut(&task))
        else {
            return;
        };
        let from = active.limit(percent, now);
        // Most changes are small and frequent.
        let level = if percent == 0 || from == 0 { Level::Info } else { Level::Debug };
        log!(
            level,
            "event=pace task={task} run={run} worker={incarnation} from={from} percent={percent}"
        );
        active.unconfirmed = false;
        active.changed_at = now;
        self.counts.throttled += 1;
        self.orders.push(Order::Throttle { worker: incarnation.clone(), task, run, percent });
    }
}

impl Worker {
    /// Notes whether fillers work here and whether a serving task exceeds its target.
    fn update_blame(&mut self, now: u64) {
        let working = |f: &ActiveRun| f.filler && f.speed_limit > 0;
        let fillers_work = self.active_runs.values().any(working);
        let slow = self.active_runs.values().any(ActiveRun::exceeds_target);
        self.blame.update(fillers_work, slow, now);
        if !slow && self.blame.seen_alone(now) && self.active_runs.sums().over_since.is_some() {
            // Without fillers they are below their targets; beside fillers a little below would not do.
            self.active_runs.values_mut().for_each(|f| f.over_since = None);
        }
    }
}

/// For how long the worker's tasks have exceeded their targets in a way that fillers may have caused, in milliseconds: the
/// longest of them.
fn over_target_for(worker: &Worker, now: u64) -> Option<u64> {
    if worker.blame.excused(now) {
        return None;
    }
    worker.active_runs.sums().over_since.map(|since| now.saturating_sub(since))
}
