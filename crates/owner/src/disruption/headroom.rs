//! How much pressure fillers may put on the serving tasks beside them.
//!
//! Pressures run from 0 to 1, as harm.rs tells.

use std::sync::Arc;

use crate::disruption::harm::LIMIT;
use crate::disruption::outlook::light_share;
use crate::{Cell, Worker};

/// How far below its limit a pressure is kept that was seen above it: the scatter of a report.
const MARGIN: f64 = 0.04;

/// How far below its limit a pressure is kept that is only forecast: fillers that were slowed in time cost more than
/// tails that are over their target for one report.
///
/// With none of it tails beside a heavy filler are over their target for too long; with more, filling jobs earn less.
const FORECAST: f64 = 0.02;

/// How far ahead loads are looked at, in milliseconds: until the next report and its orders.
const HORIZON: u64 = 600;

/// The time after a change on a worker until its figures show it, in milliseconds: an order, and a
/// whole window.
const SETTLE: u64 = 700;

/// How long a task has to be over its target before what is seen counts, in milliseconds: single
/// spikes have other causes.
const SPIKE: u64 = 400;

/// The pressure that fillers may still put on a serving image.
pub(crate) struct Headroom<'a> {
    /// The serving image.
    pub(crate) image: &'a Arc<str>,
    /// What is left of the pressure.
    pub(crate) left: f64,
}

impl Cell {
    /// The pressure that fillers may put on each serving image of a worker.
    pub(crate) fn headrooms<'a>(&self, worker: &'a Worker, now: u64) -> Vec<Headroom<'a>> {
        let settled = now >= worker.eased + SETTLE;
        let rooms = worker.outlooks.iter().map(|outlook| {
            let image = &outlook.image;
            let expected = LIMIT - FORECAST - outlook.highest(HORIZON);
            let seen = shown_over(worker, image, now).filter(|_| settled);
            // What is seen goes before what was expected.
            let seen = seen.map_or(expected, |pressure| {
                let beside = worker
                    .fillers()
                    .map(|(_, f)| self.press(worker, image, f) * f64::from(f.pace) / 100.0);
                beside.sum::<f64>() + LIMIT - MARGIN - pressure
            });
            Headroom { image, left: expected.min(seen) }
        });
        rooms.collect()
    }

    /// The share of their speed that all light fillers of a worker keep together.
    pub(crate) fn light_pace(&self, worker: &Worker) -> f64 {
        let paces = worker.outlooks.iter().map(|outlook| {
            let light = worker.fillers().filter(|(_, f)| self.light(&outlook.image, f));
            let rise: f64 = light.map(|(_, f)| self.press(worker, &outlook.image, f)).sum();
            light_share(outlook.highest(HORIZON), rise)
        });
        paces.fold(1.0, f64::min)
    }
}

/// The highest pressure that tasks of an image show which are over their target for longer than a
/// spike.
fn shown_over(worker: &Worker, image: &Arc<str>, now: u64) -> Option<f64> {
    let tasks = worker.flights.values().filter(|f| f.image.as_ref() == Some(image));
    let over = tasks.filter(|f| f.over.is_some_and(|since| now >= since + SPIKE));
    over.filter_map(|f| f.pressure).max_by(f64::total_cmp)
}
