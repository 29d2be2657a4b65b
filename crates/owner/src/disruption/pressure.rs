//! The pressure that fillers will add to serving tasks, and how fast one more could run beside
//! them.

use std::collections::BTreeMap;

use myrtle_job::TaskId;

use crate::disruption::forecast::{LOOKAHEAD, LoadForecast, Moments, is_light};
use crate::placing::step::{StepKey, step_of};
use crate::{ActiveRun, Cell, InterferenceModel, Stage, Worker};

/// The time between two forecasts, in milliseconds; loads change by a hundredth in it.
const FORECAST_INTERVAL: u64 = 100;

/// The share of its speed that one more filler could keep at each time of the forecast.
pub(crate) struct FillerSpeed(Moments);

impl FillerSpeed {
    /// The full speed, as on a worker without serving tasks.
    pub(crate) fn new() -> Self {
        Self([1.0; LOOKAHEAD.len()])
    }

    /// Lowers the shares as a serving image requires, for a filler that uses `share` of the worker;
    /// `risk` is the pressure that it may add if it uses a whole worker.
    pub(crate) fn count(&mut self, forecast: &LoadForecast, risk: f64, share: f64) {
        let shares = forecast.shares(risk, share);
        self.0.iter_mut().zip(shares).for_each(|(least, share)| *least = least.min(share));
    }

    /// The mean over the next `time` milliseconds, 0 to 1.
    pub(crate) fn mean_speed(&self, time: u64) -> f64 {
        let count = LOOKAHEAD.iter().filter(|at| **at <= time).count().max(2);
        self.0[..count].iter().sum::<f64>() / count as f64
    }
}

impl Worker {
    /// Adds a filler that is about to start here to the forecasts.
    pub(crate) fn count_filler(
        &mut self,
        interference: &InterferenceModel,
        filler: &str,
        cpu: u32,
    ) {
        let share = f64::from(cpu) / self.size();
        self.forecasts.iter_mut().for_each(|o| o.count(interference, filler, share));
    }

    /// Forecasts the loads of its serving tasks, and adds the fillers beside them.
    fn update_forecasts(
        &mut self,
        interference: &InterferenceModel,
        loads: &mut impl FnMut(TaskId) -> Moments,
    ) {
        let mut forecasts: Vec<LoadForecast> = Vec::new();
        for (&task, active) in self.active_runs.iter().filter(|(_, f)| f.target.is_some()) {
            let image = active.image.clone().unwrap_or_default();
            let at = forecasts.iter().position(|o| o.image == image).unwrap_or_else(|| {
                forecasts.push(LoadForecast::new(image));
                forecasts.len() - 1
            });
            forecasts[at].add(loads(task));
        }
        let size = self.size();
        for active in beside(self) {
            let filler = active.image.as_deref().unwrap_or("");
            forecasts
                .iter_mut()
                .for_each(|o| o.count(interference, filler, active.demand() / size));
        }
        self.forecasts = forecasts;
    }
}

impl Cell {
    /// Forecasts the loads of serving tasks on all workers, unless the last forecast is recent.
    pub(crate) fn forecast_loads(&mut self, now: u64) {
        if now < self.forecast_at + FORECAST_INTERVAL {
            return;
        }
        self.forecast_at = now;
        let Self { interference, load_cycles, workers, .. } = self;
        let mut by_step: BTreeMap<StepKey, Moments> = BTreeMap::new();
        let mut loads = |task: TaskId| {
            let key = by_step.entry(step_of(task));
            *key.or_insert_with(|| {
                LOOKAHEAD.map(|ahead| load_cycles.predict(task, now + ahead).mean)
            })
        };
        for worker in workers.values_mut() {
            worker.update_forecasts(interference, &mut loads);
        }
    }

    /// Whether a filler is light beside a serving image.
    pub(crate) fn is_light(&self, image: &str, active: &ActiveRun) -> bool {
        is_light(&self.interference, image, active.image.as_deref().unwrap_or(""))
    }

    /// The pressure that a filler adds at full speed to a serving image on its worker.
    pub(crate) fn pressure_of(&self, worker: &Worker, image: &str, active: &ActiveRun) -> f64 {
        let filler = active.image.as_deref().unwrap_or("");
        self.interference.added_pressure(image, filler, active.demand() / worker.size())
    }
}

/// The fillers of a worker that are not being stopped.
fn beside(worker: &Worker) -> impl Iterator<Item = &ActiveRun> {
    let stopping = |f: &&ActiveRun| matches!(f.stage, Stage::Stopping | Stage::Stopped);
    worker.active_runs.values().filter(move |f| f.filler && !stopping(f))
}
