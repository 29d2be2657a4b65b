//! Updates the load cycles and the interference model from workers' reports, and the pressure on
//! each serving task.

use myrtle_job::Incarnation;

use crate::disruption::interference::{NOISE, Usage, pressure};
use crate::{ActiveRun, Cell, Worker};

/// The time that a report covers, in milliseconds; set by the platform.
const WINDOW_MS: u64 = 500;

/// The share of its usage at which a filler counts that ended within the window; least squares over
/// the reports of two deployments gave 0.84 and 0.80.
const ENDED_SHARE: f64 = 0.8;

/// The share of a change of usage that a window may omit or count twice, since what starts or ends
/// within it shows only in part.
const CHANGE_NOISE: f64 = 0.5;

/// The ratio of tail latency to target at which a task that exceeded its target is back below it
/// for certain; reports scatter by 5 %.
const SURELY_BELOW: f64 = 0.9;

impl Cell {
    /// Updates the models with a worker's reported tail latencies and usage, once per window.
    pub(crate) fn learn(&mut self, incarnation: &Incarnation, now: u64) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        if worker.reported_at != now {
            return;
        }
        worker.ended_fillers.retain(|f| now.saturating_sub(f.ended_at) <= WINDOW_MS);
        let usage = filler_usage(worker);
        let noise = NOISE + (CHANGE_NOISE * usage_change(&worker.usage, &usage)).powi(2);
        let mid_window = now.saturating_sub(WINDOW_MS / 2);
        for (&task, active) in &mut worker.active_runs {
            active.update_pressure(now);
            let (Some(shown), Some(image)) = (active.pressure, &active.image) else {
                continue;
            };
            let load = self.load_cycles.predict(task, mid_window);
            let added = self.interference.expected_pressure(image, &usage);
            self.interference.learn(image, shown - load.mean, load.variance + noise, &usage);
            self.load_cycles.observe(task, mid_window, shown - added.mean, added.variance + noise);
        }
        worker.usage = usage;
    }
}

impl ActiveRun {
    /// Whether its last report shows a tail latency above its target.
    pub(crate) fn exceeds_target(&self) -> bool {
        let target = self.target.filter(|_| self.pressure.is_some());
        target.is_some_and(|target| self.figure > f64::from(target))
    }

    /// Computes the pressure from the reported tail latency, if the task serves requests and is
    /// ready.
    fn update_pressure(&mut self, now: u64) {
        let Some(target) = self.target.filter(|_| self.image.is_some()) else {
            return;
        };
        if self.percent < 100.0 || self.figure <= 0.0 {
            self.pressure = None;
            self.over_since = None;
            return;
        }
        let ratio = self.figure / f64::from(target);
        self.pressure = Some(pressure(ratio));
        self.over_since = match ratio {
            _ if ratio > 1.0 => self.over_since.or(Some(now)),
            // Reports scatter: a little below the target is not below it for certain.
            _ if ratio > SURELY_BELOW => self.over_since,
            _ => None,
        };
    }
}

/// What fillers used in the last window, including those that ended in it.
fn filler_usage(worker: &Worker) -> Usage {
    let size = worker.size();
    let mut usage = Usage::new();
    for active in worker.active_runs.values().filter(|f| f.filler && f.figure > 0.0) {
        if let Some(image) = &active.image {
            *usage.entry(image.clone()).or_default() += active.figure / size;
        }
    }
    for filler in &worker.ended_fillers {
        *usage.entry(filler.image.clone()).or_default() += ENDED_SHARE * filler.used / size;
    }
    usage
}

/// The sum of the differences between the usage in two windows.
fn usage_change(before: &Usage, after: &Usage) -> f64 {
    let appeared = after.iter().map(|(n, used)| (used - before.get(n).unwrap_or(&0.0)).abs());
    let ended = before.iter().filter(|(n, _)| !after.contains_key(*n)).map(|(_, used)| *used);
    appeared.chain(ended).sum()
}
