//! How hard fillers will press on serving tasks, and how fast one more could work beside them.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::harm::LIMIT;
use crate::swing::{StepKey, step_of};
use crate::{Cell, Flight, Stage, Worker};

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

/// The highest loads that are forecast for the tasks of one serving image on one worker.
#[derive(Debug, Clone)]
pub(crate) struct Outlook {
    pub(crate) image: Arc<str>,
    loads: [f64; AHEAD.len()],
}

impl Outlook {
    /// The highest load until `time` from now, in milliseconds.
    pub(crate) fn highest(&self, time: u64) -> f64 {
        let near = self.loads.iter().zip(AHEAD).filter(|(_, at)| *at <= time);
        near.map(|(load, _)| *load).fold(0.0, f64::max)
    }
}

impl Cell {
    /// Forecasts the loads of serving tasks on all workers, if the last time was a while ago.
    pub(crate) fn foresee(&mut self, now: u64) {
        if now < self.foreseen + FORECAST_EVERY {
            return;
        }
        self.foreseen = now;
        let mut known: BTreeMap<StepKey, [f64; AHEAD.len()]> = BTreeMap::new();
        for worker in self.workers.values_mut() {
            worker.outlooks.clear();
            for (&task, flight) in worker.flights.iter().filter(|(_, f)| f.target.is_some()) {
                let image = flight.image.clone().unwrap_or_default();
                let loads = *known.entry(step_of(task)).or_insert_with(|| {
                    AHEAD.map(|ahead| self.swings.guess(task, now + ahead).mean)
                });
                match worker.outlooks.iter_mut().find(|o| o.image == image) {
                    Some(outlook) => {
                        outlook.loads.iter_mut().zip(loads).for_each(|(a, b)| *a = a.max(b));
                    }
                    None => worker.outlooks.push(Outlook { image, loads }),
                }
            }
        }
    }

    /// The share of its speed that one more filler could keep on a worker for `time`, 0 to 1.
    pub(crate) fn bearing(&self, worker: &Worker, filler: &str, cpu: u32, time: u64) -> f64 {
        let share = f64::from(cpu) / worker.size();
        let mut paces = [1.0f64; AHEAD.len()];
        for outlook in &worker.outlooks {
            let image = &outlook.image;
            let light = self.harm.risk(image, filler, 1.0) < LIGHT;
            let rise = self.harm.risk(image, filler, share);
            // Slowed ones are to go on before others come.
            let pressed = |f: &Flight| self.press(worker, image, f);
            for (pace, load) in paces.iter_mut().zip(outlook.loads) {
                let could = if light {
                    let beside = beside(worker).filter(|f| self.light(image, f)).map(pressed);
                    common(load, beside.sum::<f64>() + rise)
                } else {
                    let beside: f64 = beside(worker).map(pressed).sum();
                    ((LIMIT - MARGIN - load - beside) / rise).clamp(0.0, 1.0)
                };
                *pace = pace.min(could);
            }
        }
        let within = AHEAD.iter().filter(|at| **at <= time).count().max(2);
        paces[..within].iter().sum::<f64>() / within as f64
    }

    /// Whether a filler is light beside a serving image.
    pub(crate) fn light(&self, image: &str, flight: &Flight) -> bool {
        self.harm.rise(image, flight.image.as_deref().unwrap_or(""), 1.0) < LIGHT
    }

    /// The pressure that a filler puts on a serving image on its worker at full speed.
    pub(crate) fn press(&self, worker: &Worker, image: &str, flight: &Flight) -> f64 {
        let filler = flight.image.as_deref().unwrap_or("");
        self.harm.rise(image, filler, flight.draw() / worker.size())
    }
}

/// The share of their speed that light fillers keep which press with `rise` beside a load.
pub(crate) fn common(load: f64, rise: f64) -> f64 {
    ((LIMIT - LIGHT_MARGIN - load) / rise.max(f64::EPSILON)).clamp(LEAST_LIGHT, 1.0)
}

/// The fillers that press on others, or will.
pub(crate) fn beside(worker: &Worker) -> impl Iterator<Item = &Flight> {
    let gone = |f: &&Flight| matches!(f.stage, Stage::Stopping | Stage::Stopped);
    worker.flights.values().filter(move |f| f.filler && !gone(f))
}
