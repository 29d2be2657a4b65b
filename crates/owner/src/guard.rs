//! Learns from workers' reports what loads serving tasks have and which fillers disturb them.

use std::sync::Arc;

use myrtle_job::TaskId;

use crate::harm::{NOISE, Uses, pressure};
use crate::{Cell, Flight, Stage, Worker};

/// The time that a figure covers, in milliseconds; the platform's figure.
pub(crate) const WINDOW: u64 = 500;

/// The share of its use at which a filler counts that ended within the window; fitted to reports of
/// quiet-1: 0.84 and 0.80 on two sites.
const FADED: f64 = 0.8;

/// The share of a change of use that a window may leave out or show twice, since what begins or
/// ends within it shows in part.
const TURN: f64 = 0.5;

impl Cell {
    /// Takes in what a worker's report says of tails and uses, once for each window.
    pub(crate) fn learn(&mut self, life: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        if worker.figured != now {
            return;
        }
        worker.faded.retain(|(.., at)| now.saturating_sub(*at) <= WINDOW);
        let uses = uses(worker);
        let noise = NOISE + (TURN * change(&worker.uses, &uses)).powi(2);
        let middle = now.saturating_sub(WINDOW / 2);
        for (&task, flight) in &mut worker.flights {
            let (Some(target), Some(image)) = (flight.target, &flight.image) else {
                continue;
            };
            if flight.percent < 100.0 || flight.figure <= 0.0 {
                flight.pressure = None;
                flight.over = None;
                continue;
            }
            let ratio = flight.figure / f64::from(target);
            let shown = pressure(ratio);
            flight.pressure = Some(shown);
            flight.over = (ratio > 1.0).then(|| flight.over.unwrap_or(now));
            let load = self.swings.guess(task, middle);
            let pressed = self.harm.pressed(image, &uses);
            self.harm.learn(image, shown - load.mean, load.variance + noise, &uses);
            self.swings.see(task, middle, shown - pressed.mean, pressed.variance + noise);
        }
        worker.uses = uses;
    }
}

/// The fillers that are at work on a worker.
pub(crate) fn fillers(worker: &Worker) -> impl Iterator<Item = (&TaskId, &Flight)> {
    worker.flights.iter().filter(|(_, f)| f.filler && f.stage == Stage::Up)
}

/// What fillers used in the last window.
fn uses(worker: &Worker) -> Uses {
    let size = worker.size();
    let mut uses = Uses::new();
    for flight in worker.flights.values().filter(|f| f.filler && f.figure > 0.0) {
        if let Some(image) = &flight.image {
            *uses.entry(image.clone()).or_default() += flight.figure / size;
        }
    }
    for (image, used, _) in &worker.faded {
        *uses.entry(image.clone()).or_default() += FADED * used / size;
    }
    uses
}

/// How much the uses of two windows differ.
fn change(before: &Uses, after: &Uses) -> f64 {
    let came = after.iter().map(|(n, used)| (used - before.get(n).unwrap_or(&0.0)).abs());
    let went = before.iter().filter(|(n, _)| !after.contains_key(*n)).map(|(_, used)| *used);
    came.chain(went).sum()
}
