//! Which worker suits a task best: the one with the least cost.
//!
//! Costs are weighed against the share of a worker's processors that is left: 1 is a whole worker.
//! docs/report/DISRUPTION.md holds what other figures measured.

use myrtle_job::{Incarnation, StepSpec, TaskId};

use crate::disruption::pressure::Bearing;
use crate::placing::search::Search;
use crate::placing::takes::Takes;
use crate::{Cell, Job, Life, Stage, Worker};

/// The share of the processors it asks for that a filler must find free.
const LEAST_SHARE: f64 = 0.5;

/// The share of all processors on workers without lasting tasks that lasting tasks leave to short
/// ones, which are worth more for the time that they take, and to fillers that disturb many.
const KEPT: f64 = 0.15;

/// What a worker costs that is slow from its start: work goes there only when no other one has room, so a data
/// centre that is taken back while its workers are cold fills as they warm up.
const COLD: f64 = 10.0;

/// What it costs a lasting task to take of that share.
const FULL: f64 = 2.0;

/// What a worker without lasting tasks costs a lasting one.
const OPENED: f64 = 1.5;

/// The share of its speed that a filler must be able to keep on a worker.
///
/// One that is slowed holds its job up, and what waits a moment longer often finds a better place.
const BEARABLE: f64 = 0.95;

/// The same for one that has waited for long.
const ENDURABLE: f64 = 0.5;

/// What a rack other than that of the data costs, beyond any other consideration.
const AWAY: f64 = 100.0;

/// What a worker costs that holds a task of the step already; spreads a step over workers.
const SAME_STEP: f64 = 0.3;

/// What a worker gains for a serving task that holds another one of its step: their loads swing
/// together, which leaves fillers longer spells beside them.
const TOGETHER: f64 = 3.0;

/// What a worker costs that holds serving tasks of other images.
const MIXED: f64 = 3.0;

/// What a worker gains for a serving task that holds a task of the same image or one like it.
const ALIKE: f64 = 1.0;

/// How unlike two images may be, from 0 to 1, to count as alike.
const LIKE: f64 = 0.5;

/// The weight of the pressure that a filler adds, against the share of a worker that is left.
const HARMFUL: f64 = 8.0;

impl Cell {
    /// The best worker for a task now, if there is any.
    pub(crate) fn fit(
        &self,
        job: &Job,
        spec: &StepSpec,
        task: TaskId,
        now: u64,
    ) -> Option<Incarnation> {
        let shunned = job.shunned.get(&task).map_or(&[][..], Vec::as_slice);
        self.pass.look(self.workers.len());
        let mut search = Search::new(self, spec, task, job.takes(task, now), now);
        let (suspect, waited) = (self.doubts(task), job.waited(now));
        let mut best: Option<(f64, &Incarnation)> = None;
        for (life, worker) in &self.workers {
            if !worker.open(now) || !self.allowed(worker, job, spec, task) {
                continue;
            }
            if !self.pass.bookings.leaves(life, worker, spec) {
                continue;
            }
            if spec.filler && self.about_to_halt(worker, now) {
                continue;
            }
            if self.on_trial(worker, task, suspect, waited, now) {
                continue;
            }
            let ticketed = job.submission.policy.advice.is_some();
            if ticketed && job.ticket(task, life, now).is_none() {
                continue;
            }
            let Some(mut cost) = self.cost(worker, &mut search) else {
                continue;
            };
            if now < worker.warm {
                cost += COLD;
            }
            if shunned.contains(life) || suspect && worker.just_begun(now) {
                cost += AWAY;
            }
            if best.is_none_or(|(b, _)| cost < b) {
                best = Some((cost, life));
            }
        }
        best.map(|(_, life)| life.clone())
    }

    /// Whether a worker has room for a task and may run it.
    pub(crate) fn allowed(
        &self,
        worker: &Worker,
        job: &Job,
        spec: &StepSpec,
        task: TaskId,
    ) -> bool {
        spec.claim().fits(&worker.free()) && self.suits(worker, job, spec, task)
    }

    /// Whether a worker may run a task, if it has room.
    pub(crate) fn suits(&self, worker: &Worker, job: &Job, spec: &StepSpec, task: TaskId) -> bool {
        let Some(listing) = &worker.listing else {
            return false;
        };
        if listing.service != job.submission.policy.service || worker.flights.contains_key(&task) {
            return false;
        }
        if spec.requires.as_deref().is_some_and(|label| !worker.labelled(label)) {
            return false;
        }
        spec.spread == 0 || peers(worker, task) < usize::from(spec.spread)
    }

    /// What a task costs on a worker; nothing if it should rather wait.
    fn cost(&self, worker: &Worker, search: &mut Search<'_>) -> Option<f64> {
        let spec = search.spec;
        let mut cost = self.place_cost(worker, spec, search.task);
        if spec.filler {
            return Some(cost + self.filler_cost(worker, search)?);
        }
        if spec.lasting && !worker.lasts() {
            cost += OPENED;
            if search.unkept < worker.size() {
                match search.takes {
                    Takes::Good => return None,
                    Takes::Fair if search.unreserved < worker.size() => return None,
                    _ => cost += FULL,
                }
            }
        }
        if spec.serves() {
            return Some(cost + self.serving_cost(worker, search));
        }
        Some(cost - (worker.spare() - worker.filled()) / worker.size())
    }

    /// What follows from where the other tasks of the step and the data are.
    fn place_cost(&self, worker: &Worker, spec: &StepSpec, task: TaskId) -> f64 {
        let peers = peers(worker, task);
        let mut cost = match spec.serves() {
            true if peers > 0 => -TOGETHER,
            true => 0.0,
            false => SAME_STEP * peers as f64,
        };
        if let Some(rack) = spec.rack.as_deref()
            && !worker.labelled(rack)
        {
            cost += AWAY;
        }
        if spec.same_rack && self.elsewhere(worker, task) {
            cost += AWAY;
        }
        cost
    }

    /// Whether tasks of the step are on another rack than the worker's, and none on its own.
    fn elsewhere(&self, worker: &Worker, task: TaskId) -> bool {
        let mut with_peers = self.workers.values().filter(|w| peers(w, task) > 0).peekable();
        with_peers.peek().is_some() && !with_peers.any(|w| w.rack() == worker.rack())
    }

    /// The processors of workers without lasting tasks beyond those that are kept so at first, and beyond
    /// those that are left to short tasks for good, in thousandths of a core; below 0 if there are fewer.
    pub(crate) fn unkept(&self, task: TaskId, now: u64) -> (f64, f64) {
        let well = self.workers.values().filter(|w| w.life == Life::Well && !w.emptied);
        let (empty, size, count) = well.fold((0.0, 0.0, 0), |(empty, size, count), w| {
            (empty + if w.lasts() { 0.0 } else { w.size() }, size + w.size(), count + 1)
        });
        let priority = self.jobs.get(&task.job).map_or(0, |j| j.submission.policy.priority);
        (empty - KEPT * size, empty - self.reserve.whole(priority, size, count, now))
    }

    /// Fillers go where much is left, where they disturb little and where they keep their speed;
    /// nothing if too little is left or they would be too slow.
    fn filler_cost(&self, worker: &Worker, search: &mut Search<'_>) -> Option<f64> {
        let spec = search.spec;
        let cpu = f64::from(spec.room.cpu);
        let left = worker.spare() - worker.filled();
        if left < LEAST_SHARE * cpu {
            return None;
        }
        let share = cpu / worker.size();
        let mut bearing = Bearing::new();
        let mut harm = 0.0;
        for outlook in &worker.outlooks {
            let pair = search.pair(&self.harm, &outlook.image);
            bearing.count(outlook, pair.risk, share);
            harm += f64::from(outlook.tasks) * pair.rise * share;
        }
        let bearing = bearing.within(spec.estimate);
        let least = match search.takes {
            Takes::Good => BEARABLE,
            Takes::Fair => ENDURABLE,
            Takes::Any => 0.0,
        };
        if bearing < least {
            return None;
        }
        Some(HARMFUL * harm + 1.0 - bearing - left / worker.size())
    }

    /// Serving tasks go where tasks like them are, and fill one worker before the next.
    fn serving_cost(&self, worker: &Worker, search: &mut Search<'_>) -> f64 {
        let serving = worker.flights.values().filter(|f| f.target.is_some());
        let (alike, others) = serving.fold((false, 0.0), |(alike, others), f| {
            let unlike = search.unlike(&self.harm, f.image.as_deref().unwrap_or(""));
            (alike || unlike < LIKE, others + unlike)
        });
        let room = worker.size();
        let left = f64::from(worker.free().cpu) / room;
        MIXED * others + left - if alike { ALIKE } else { 0.0 }
    }
}

/// How many tasks of the same step the worker holds.
fn peers(worker: &Worker, task: TaskId) -> usize {
    let from = TaskId { index: 0, ..task };
    let to = TaskId { index: u16::MAX, ..task };
    worker.flights.range(from..=to).filter(|(_, f)| f.stage != Stage::Stopped).count()
}
