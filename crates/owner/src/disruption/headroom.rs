//! How much pressure fillers may add to the serving tasks beside them.
//!
//! Pressures run from 0 to 1, see interference.rs.

use std::sync::Arc;

use crate::disruption::forecast::light_limit_at;
use crate::disruption::interference::LIMIT;
use crate::{ActiveRun, Cell, Worker};

/// How far below its limit a pressure is kept after a report showed it above: the scatter of a
/// report.
const REPORT_MARGIN: f64 = 0.04;

/// How far below its limit a forecast pressure is kept: throttling fillers in time costs more than
/// tail latencies that exceed their target for one report.
///
/// Without it, tail latencies beside a heavy filler exceed their target for too long; with a larger
/// one, filler jobs complete less work.
const FORECAST_MARGIN: f64 = 0.02;

/// How far ahead the forecast load is considered, in milliseconds: until the next report and the
/// orders that follow it.
const HORIZON_MS: u64 = 600;

/// The time from a change on a worker until its reports show it, in milliseconds: an order and a
/// whole window.
const SETTLE_MS: u64 = 700;

/// How long a task has to exceed its target before its reported pressure counts, in milliseconds,
/// since single spikes have other causes.
const SPIKE_MS: u64 = 400;

/// The pressure that fillers may still add to a serving image.
pub(crate) struct Headroom<'a> {
    /// The serving image.
    pub(crate) image: &'a Arc<str>,
    /// The remaining pressure.
    pub(crate) left: f64,
}

impl Cell {
    /// The pressure that fillers may add to each serving image of a worker.
    pub(crate) fn headrooms<'a>(&self, worker: &'a Worker, now: u64) -> Vec<Headroom<'a>> {
        let settled = now >= worker.throttled_at + SETTLE_MS;
        let excused = worker.blame.excused(now);
        let slow_alone = |image| excused && exceeds_target(worker, image);
        let protected = worker.forecasts.iter().filter(|forecast| !slow_alone(&forecast.image));
        let headrooms = protected.map(|forecast| {
            let image = &forecast.image;
            let expected = LIMIT - FORECAST_MARGIN - forecast.highest(HORIZON_MS);
            let seen = highest_over(worker, image, now).filter(|_| settled);
            // A reported pressure takes precedence over the forecast.
            let seen = seen.map_or(expected, |pressure| {
                let beside = worker.fillers().map(|(_, f)| {
                    self.pressure_of(worker, image, f) * f64::from(f.speed_limit) / 100.0
                });
                beside.sum::<f64>() + LIMIT - REPORT_MARGIN - pressure
            });
            Headroom { image, left: expected.min(seen) }
        });
        headrooms.collect()
    }

    /// The share of their speed that all light fillers of a worker keep together.
    pub(crate) fn light_limit(&self, worker: &Worker) -> f64 {
        let limits = worker.forecasts.iter().map(|forecast| {
            let light = worker.fillers().filter(|(_, f)| self.is_light(&forecast.image, f));
            let rise: f64 = light.map(|(_, f)| self.pressure_of(worker, &forecast.image, f)).sum();
            light_limit_at(forecast.highest(HORIZON_MS), rise)
        });
        limits.fold(1.0, f64::min)
    }
}

/// Whether a task of the image exceeds its target.
fn exceeds_target(worker: &Worker, image: &Arc<str>) -> bool {
    let mut tasks = worker.active_runs.values().filter(|f| f.image.as_ref() == Some(image));
    tasks.any(ActiveRun::exceeds_target)
}

/// The highest reported pressure of the image's tasks that have exceeded their target for longer
/// than a spike.
fn highest_over(worker: &Worker, image: &Arc<str>, now: u64) -> Option<f64> {
    let tasks = worker.active_runs.values().filter(|f| f.image.as_ref() == Some(image));
    let over = tasks.filter(|f| f.over_since.is_some_and(|since| now >= since + SPIKE_MS));
    over.filter_map(|f| f.pressure).max_by(f64::total_cmp)
}
