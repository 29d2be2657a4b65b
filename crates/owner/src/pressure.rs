//! How hard fillers will press on serving tasks, and how fast one more could work beside them.

use std::collections::BTreeMap;
use std::sync::Arc;

use myrtle_job::TaskId;

use crate::harm::LIMIT;
use crate::step::{StepKey, step_of};
use crate::{Cell, Flight, Harm, Stage, Worker};

/// The moments that are looked at, in milliseconds from now; most fillers run about as long as
/// the last one.
const AHEAD: [u64; 6] = [100, 500, 900, 1_400, 2_000, 2_700];

/// The time between two forecasts, in milliseconds; loads move by a hundredth in it.
const FORECAST_EVERY: u64 = 100;

/// How far below its limit pressure has to stay when work is added.
const MARGIN: f64 = 0.16;

/// The coefficient of a pair of images below which a filler is light: it may always run, and only
/// slows down while loads are highest. Measured: 0 to 0.4, or 0.7 and more.
const LIGHT: f64 = 0.5;

/// How far below its limit pressure is kept by slowing light fillers.
const LIGHT_MARGIN: f64 = 0.03;

/// The least share of its speed that a light filler keeps.
const LEAST_LIGHT: f64 = 0.5;

/// What is foreseen for the tasks of one serving image on one worker.
#[derive(Debug, Clone)]
pub(crate) struct Outlook {
    /// The serving image.
    pub(crate) image: Arc<str>,
    /// How many tasks of it there are.
    pub(crate) tasks: u32,
    /// The highest load among them at each moment.
    loads: [f64; AHEAD.len()],
    /// The pressure of all fillers beside them at full speed.
    beside: f64,
    /// The part of it that is due to light fillers.
    light: f64,
}

impl Outlook {
    fn new(image: Arc<str>) -> Self {
        Self { image, tasks: 0, loads: [0.0; AHEAD.len()], beside: 0.0, light: 0.0 }
    }

    /// The highest load until `time` from now, in milliseconds.
    pub(crate) fn highest(&self, time: u64) -> f64 {
        let near = self.loads.iter().zip(AHEAD).filter(|(_, at)| *at <= time);
        near.map(|(load, _)| *load).fold(0.0, f64::max)
    }

    /// Counts a filler that uses a share of the worker.
    fn count(&mut self, harm: &Harm, filler: &str, share: f64) {
        let rise = harm.rise(&self.image, filler, share);
        self.beside += rise;
        if is_light(harm, &self.image, filler) {
            self.light += rise;
        }
    }

    /// The shares of its speed that one more filler could keep at each moment.
    fn paces(&self, harm: &Harm, filler: &str, share: f64) -> [f64; AHEAD.len()] {
        let rise = harm.risk(&self.image, filler, share);
        // Slowed ones are to go on before others come, so all count at full speed.
        if harm.risk(&self.image, filler, 1.0) < LIGHT {
            return self.loads.map(|load| common(load, self.light + rise));
        }
        self.loads.map(|load| ((LIMIT - MARGIN - load - self.beside) / rise).clamp(0.0, 1.0))
    }
}

impl Worker {
    /// Counts a filler that is about to start here.
    pub(crate) fn expect(&mut self, harm: &Harm, filler: &str, cpu: u32) {
        let share = f64::from(cpu) / self.size();
        self.outlooks.iter_mut().for_each(|o| o.count(harm, filler, share));
    }

    fn foresee(&mut self, harm: &Harm, loads: &mut impl FnMut(TaskId) -> [f64; AHEAD.len()]) {
        let mut outlooks: Vec<Outlook> = Vec::new();
        for (&task, flight) in self.flights.iter().filter(|(_, f)| f.target.is_some()) {
            let image = flight.image.clone().unwrap_or_default();
            let at = outlooks.iter().position(|o| o.image == image).unwrap_or_else(|| {
                outlooks.push(Outlook::new(image));
                outlooks.len() - 1
            });
            let outlook = &mut outlooks[at];
            outlook.tasks += 1;
            let pairs = outlook.loads.iter_mut().zip(loads(task));
            pairs.for_each(|(highest, load)| *highest = highest.max(load));
        }
        let size = self.size();
        for flight in beside(self) {
            let filler = flight.image.as_deref().unwrap_or("");
            outlooks.iter_mut().for_each(|o| o.count(harm, filler, flight.draw() / size));
        }
        self.outlooks = outlooks;
    }
}

impl Cell {
    /// Forecasts the loads of serving tasks on all workers, if the last time was a while ago.
    pub(crate) fn foresee(&mut self, now: u64) {
        if now < self.foreseen + FORECAST_EVERY {
            return;
        }
        self.foreseen = now;
        let Self { harm, swings, workers, .. } = self;
        let mut known: BTreeMap<StepKey, [f64; AHEAD.len()]> = BTreeMap::new();
        let mut loads = |task: TaskId| {
            let key = known.entry(step_of(task));
            *key.or_insert_with(|| AHEAD.map(|ahead| swings.guess(task, now + ahead).mean))
        };
        for worker in workers.values_mut() {
            worker.foresee(harm, &mut loads);
        }
    }

    /// The share of its speed that one more filler could keep on a worker for `time`, 0 to 1.
    pub(crate) fn bearing(&self, worker: &Worker, filler: &str, cpu: u32, time: u64) -> f64 {
        let share = f64::from(cpu) / worker.size();
        let mut paces = [1.0f64; AHEAD.len()];
        for outlook in &worker.outlooks {
            let could = outlook.paces(&self.harm, filler, share);
            paces.iter_mut().zip(could).for_each(|(pace, could)| *pace = pace.min(could));
        }
        let within = AHEAD.iter().filter(|at| **at <= time).count().max(2);
        paces[..within].iter().sum::<f64>() / within as f64
    }

    /// Whether a filler is light beside a serving image.
    pub(crate) fn light(&self, image: &str, flight: &Flight) -> bool {
        is_light(&self.harm, image, flight.image.as_deref().unwrap_or(""))
    }

    /// The pressure that a filler puts on a serving image on its worker at full speed.
    pub(crate) fn press(&self, worker: &Worker, image: &str, flight: &Flight) -> f64 {
        let filler = flight.image.as_deref().unwrap_or("");
        self.harm.rise(image, filler, flight.draw() / worker.size())
    }
}

fn is_light(harm: &Harm, image: &str, filler: &str) -> bool {
    harm.rise(image, filler, 1.0) < LIGHT
}

/// The share of their speed that light fillers keep which press with `rise` beside a load.
pub(crate) fn common(load: f64, rise: f64) -> f64 {
    ((LIMIT - LIGHT_MARGIN - load) / rise.max(f64::EPSILON)).clamp(LEAST_LIGHT, 1.0)
}

/// The fillers that press on others, or will.
fn beside(worker: &Worker) -> impl Iterator<Item = &Flight> {
    let gone = |f: &&Flight| matches!(f.stage, Stage::Stopping | Stage::Stopped);
    worker.flights.values().filter(move |f| f.filler && !gone(f))
}
