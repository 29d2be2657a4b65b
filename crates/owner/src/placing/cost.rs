//! Chooses the worker with the least cost for a task.
//!
//! Costs are relative to the free share of a worker's processors: 1 is a whole worker.
//! docs/report/DISRUPTION.md compares other weights.

use myrtle_job::{Incarnation, StepSpec, TaskId};

use crate::disruption::pressure::FillerSpeed;
use crate::health::refresh::LastAttempt;
use crate::placing::search::Search;
use crate::placing::tolerance::Tolerance;
use crate::{Cell, Job, Presence, Stage, Worker};

/// The share of the processors it asks for that a filler must find free.
const MIN_FILLER_SHARE: f64 = 0.5;

/// The share of all processors that long-running tasks at first leave on workers without any of
/// them, for short tasks, which are worth more for the time that they take, and for fillers that
/// interfere with many images.
const SOFT_SHARE: f64 = 0.15;

/// The cost of a worker that is still warming up: work goes there only when no other worker has
/// room, so a data centre that returns with cold workers fills as they warm up.
const COLD_COST: f64 = 10.0;

/// The cost for a long-running task of using the soft share.
const SOFT_COST: f64 = 2.0;

/// The cost for a long-running task of a worker that has none yet.
const NEW_WORKER_COST: f64 = 1.5;

/// The share of its full speed that a filler must be expected to keep on a worker.
///
/// A slowed filler delays its job, and a better worker is often free a moment later.
const MIN_SPEED: f64 = 0.95;

/// The same for a filler that has waited for long.
const MIN_SPEED_LATE: f64 = 0.5;

/// The cost of a worker to use only if there is no other one, such as one on a rack away from the
/// data; outweighs all other costs.
const AVOID_COST: f64 = 100.0;

/// The cost of a worker that has a task of the step already; spreads a step over workers.
const SAME_STEP_COST: f64 = 0.3;

/// The gain for a serving task on a worker that has another one of its step: their load cycles
/// coincide, which leaves longer idle periods to fillers beside them.
const SAME_STEP_GAIN: f64 = 3.0;

/// The cost of a worker with serving tasks of other images, scaled by their distance.
const MIXED_COST: f64 = 3.0;

/// The gain for a serving task on a worker that has one of a similar image.
const SIMILAR_GAIN: f64 = 1.0;

/// The distance between two images, from 0 to 1, below which they count as similar.
const SIMILAR_BELOW: f64 = 0.5;

/// The weight of the pressure that a filler adds, relative to the free share of a worker.
const PRESSURE_WEIGHT: f64 = 8.0;

/// The cost of a worker with an assured filler, which is not throttled for others.
const ASSURED_COST: f64 = 10.0;

/// The doubts about a task, which keep it from some workers; the same for all of them.
pub(crate) struct Doubts {
    task: TaskId,
    /// Whether it may crash its workers.
    suspect: bool,
    /// How long its job has waited, in milliseconds.
    waited: u64,
    /// Whether a failure would be its last.
    last: LastAttempt,
}

impl Cell {
    /// The best worker for a task now, if there is any.
    pub(crate) fn best_worker(
        &self,
        job: &Job,
        spec: &StepSpec,
        task: TaskId,
        now: u64,
    ) -> Option<Incarnation> {
        let avoided = job.avoided.get(&task).map_or(&[][..], Vec::as_slice);
        self.pass.visit(self.workers.len());
        let mut search = Search::new(self, spec, task, job.tolerance(task, now), now);
        let doubts = self.doubts(job, spec, task, now);
        let mut best: Option<(f64, &Incarnation)> = None;
        for (incarnation, worker) in &self.workers {
            if !worker.accepts_work(now) || !self.has_room(worker, job, spec, task) {
                continue;
            }
            if !self.takes(incarnation, worker, spec, &doubts, now) {
                continue;
            }
            if spec.filler && search.tolerance < Tolerance::Any && self.about_to_halt(worker, now) {
                continue;
            }
            if !job.admits(task, incarnation, now) {
                continue;
            }
            let Some(mut cost) = self.cost(worker, &mut search) else {
                continue;
            };
            cost += worker.health.standing.cost(doubts.last != LastAttempt::No);
            if now < worker.warm_at {
                cost += COLD_COST;
            }
            if avoided.contains(incarnation) || doubts.suspect && worker.just_started(now) {
                cost += AVOID_COST;
            }
            if best.is_none_or(|(b, _)| cost < b) {
                best = Some((cost, incarnation));
            }
        }
        best.map(|(_, incarnation)| incarnation.clone())
    }

    /// The doubts about a task.
    pub(crate) fn doubts(&self, job: &Job, spec: &StepSpec, task: TaskId, now: u64) -> Doubts {
        let last = job.last_attempt(spec, task, now);
        Doubts { task, suspect: self.is_suspected(task), waited: job.waited(now), last }
    }

    /// Whether a worker that has room for a task may be given it, for what is reserved there and what
    /// is known of both; tickets aside.
    pub(crate) fn takes(
        &self,
        incarnation: &Incarnation,
        worker: &Worker,
        spec: &StepSpec,
        doubts: &Doubts,
        now: u64,
    ) -> bool {
        let Doubts { task, suspect, waited, last } = *doubts;
        self.pass.reservations.fits_beside(incarnation, worker, spec)
            && !self.quarantined(worker, task, suspect, waited, now)
            && worker.trusted_with(last)
    }

    /// Whether a worker has room for a task and may run it.
    pub(crate) fn has_room(
        &self,
        worker: &Worker,
        job: &Job,
        spec: &StepSpec,
        task: TaskId,
    ) -> bool {
        spec.claim().fits(&worker.free()) && self.eligible(worker, job, spec, task)
    }

    /// Whether a worker may run a task, apart from its free room.
    pub(crate) fn eligible(
        &self,
        worker: &Worker,
        job: &Job,
        spec: &StepSpec,
        task: TaskId,
    ) -> bool {
        let Some(listing) = &worker.listing else {
            return false;
        };
        if listing.service != job.submission.policy.service
            || worker.active_runs.contains_key(&task)
        {
            return false;
        }
        if spec.requires.as_deref().is_some_and(|label| !worker.has_label(label)) {
            return false;
        }
        spec.worker_limit == 0 || step_tasks(worker, task) < usize::from(spec.worker_limit)
    }

    /// The cost of a task on a worker; nothing if the task should rather wait.
    fn cost(&self, worker: &Worker, search: &mut Search<'_>) -> Option<f64> {
        let spec = search.spec;
        let mut cost = self.locality_cost(worker, spec, search.task);
        if spec.filler {
            return Some(cost + self.filler_cost(worker, search)?);
        }
        if spec.long_running && !worker.has_long_running() {
            cost += NEW_WORKER_COST;
            if search.soft_left < worker.size() {
                match search.tolerance {
                    Tolerance::Strict => return None,
                    Tolerance::Relaxed if search.hard_left < worker.size() => return None,
                    _ => cost += SOFT_COST,
                }
            }
        }
        if spec.serves() {
            return Some(cost + self.serving_cost(worker, search));
        }
        Some(cost - (worker.spare() - worker.filler_demand()) / worker.size())
    }

    /// The cost that depends on where the data and the other tasks of the step are.
    fn locality_cost(&self, worker: &Worker, spec: &StepSpec, task: TaskId) -> f64 {
        let step_tasks = step_tasks(worker, task);
        let mut cost = match spec.serves() {
            true if step_tasks > 0 => -SAME_STEP_GAIN,
            true => 0.0,
            false => SAME_STEP_COST * step_tasks as f64,
        };
        if let Some(rack) = spec.data_rack.as_deref()
            && !worker.has_label(rack)
        {
            cost += AVOID_COST;
        }
        if spec.same_rack && self.other_rack(worker, task) {
            cost += AVOID_COST;
        }
        cost
    }

    /// Whether tasks of the step are on racks other than the worker's, and none is on its own.
    fn other_rack(&self, worker: &Worker, task: TaskId) -> bool {
        let mut with_tasks = self.workers.values().filter(|w| step_tasks(w, task) > 0).peekable();
        with_tasks.peek().is_some() && !with_tasks.any(|w| w.rack() == worker.rack())
    }

    /// The free processors of workers without long-running tasks beyond the soft share, and beyond
    /// the share for short tasks, in thousandths of a core; negative if that share is used.
    pub(crate) fn long_running_left(&self, task: TaskId, now: u64) -> (f64, f64) {
        let answering =
            self.workers.values().filter(|w| w.presence == Presence::Answering && !w.evacuated);
        let (empty, size, count) = answering.fold((0.0, 0.0, 0), |(empty, size, count), w| {
            (empty + if w.has_long_running() { 0.0 } else { w.size() }, size + w.size(), count + 1)
        });
        let priority = self.jobs.get(&task.job).map_or(0, |j| j.submission.policy.priority);
        (
            empty - SOFT_SHARE * size,
            empty - self.short_share.whole_workers(priority, size, count, now),
        )
    }

    /// Prefers workers with much idle capacity where the filler interferes little and keeps its
    /// speed; nothing if too little is idle or it would be too slow.
    fn filler_cost(&self, worker: &Worker, search: &mut Search<'_>) -> Option<f64> {
        let spec = search.spec;
        let cpu = f64::from(spec.room.cpu);
        let idle = worker.spare() - worker.filler_demand();
        if idle < MIN_FILLER_SHARE * cpu {
            return None;
        }
        let share = cpu / worker.size();
        let mut speed = FillerSpeed::new();
        let (mut pressure, mut excess) = (0.0, 0.0);
        for forecast in &worker.forecasts {
            let effect = search.effect(&self.interference, &forecast.image);
            speed.count(forecast, effect.risk, share);
            pressure += f64::from(forecast.tasks) * effect.rise * share;
            excess += forecast.excess(effect.rise * share);
        }
        let speed = speed.mean_speed(spec.estimate_ms);
        let min_speed = match search.tolerance {
            Tolerance::Strict => MIN_SPEED,
            Tolerance::Relaxed => MIN_SPEED_LATE,
            Tolerance::Any => 0.0,
        };
        if speed < min_speed {
            return None;
        }
        let assured = if worker.active_runs.sums().assured { ASSURED_COST } else { 0.0 };
        let pressure_cost = PRESSURE_WEIGHT * (pressure + excess);
        Some(assured + pressure_cost + 1.0 - speed - idle / worker.size())
    }

    /// Prefers workers with similar serving tasks, and fills one worker before the next.
    fn serving_cost(&self, worker: &Worker, search: &mut Search<'_>) -> f64 {
        let serving = worker.active_runs.values().filter(|f| f.target.is_some());
        let (similar, distances) = serving.fold((false, 0.0), |(similar, distances), f| {
            let distance = search.distance(&self.interference, f.image.as_deref().unwrap_or(""));
            (similar || distance < SIMILAR_BELOW, distances + distance)
        });
        let room = worker.size();
        let free = f64::from(worker.free().cpu) / room;
        MIXED_COST * distances + free - if similar { SIMILAR_GAIN } else { 0.0 }
    }
}

/// The number of tasks of the same step on the worker.
fn step_tasks(worker: &Worker, task: TaskId) -> usize {
    let from = TaskId { index: 0, ..task };
    let to = TaskId { index: u16::MAX, ..task };
    worker.active_runs.range(from..=to).filter(|(_, f)| f.stage != Stage::Stopped).count()
}
