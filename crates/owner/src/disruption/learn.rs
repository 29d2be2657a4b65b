//! Learns from workers' reports: the loads of serving tasks, the fillers that disturb them, and how
//! hard each task is pressed now.

use myrtle_job::Incarnation;

use crate::disruption::harm::{NOISE, Uses, pressure};
use crate::{Cell, Flight, Worker};

/// The time that a figure covers, in milliseconds; the platform's figure.
const WINDOW: u64 = 500;

/// The share of its use at which a filler counts that ended within the window; least squares over
/// the reports of two deployments gave 0.84 and 0.80.
const FADED: f64 = 0.8;

/// The share of a change of use that a window may leave out or show twice, since what begins or
/// ends within it shows in part.
const TURN: f64 = 0.5;

/// The tail over its target up to which a task that was over is surely back below it; figures
/// scatter by five of a hundred.
const SURELY_BELOW: f64 = 0.9;

impl Cell {
    /// Takes in what a worker's report says of tails and uses, once for each window.
    pub(crate) fn learn(&mut self, life: &Incarnation, now: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        if worker.figured != now {
            return;
        }
        worker.faded.retain(|f| now.saturating_sub(f.ended) <= WINDOW);
        let uses = uses(worker);
        let noise = NOISE + (TURN * change(&worker.uses, &uses)).powi(2);
        let middle = now.saturating_sub(WINDOW / 2);
        for (&task, flight) in &mut worker.flights {
            flight.show_tail(now);
            let (Some(shown), Some(image)) = (flight.pressure, &flight.image) else {
                continue;
            };
            let load = self.swings.guess(task, middle);
            let pressed = self.harm.pressed(image, &uses);
            self.harm.learn(image, shown - load.mean, load.variance + noise, &uses);
            self.swings.see(task, middle, shown - pressed.mean, pressed.variance + noise);
        }
        worker.uses = uses;
    }
}

impl Flight {
    /// Takes in how hard its tail shows that it is pressed, if it serves and is ready.
    fn show_tail(&mut self, now: u64) {
        let Some(target) = self.target.filter(|_| self.image.is_some()) else {
            return;
        };
        if self.percent < 100.0 || self.figure <= 0.0 {
            self.pressure = None;
            self.over = None;
            return;
        }
        let ratio = self.figure / f64::from(target);
        self.pressure = Some(pressure(ratio));
        self.over = match ratio {
            _ if ratio > 1.0 => self.over.or(Some(now)),
            // Figures are rough: a little below the target is not surely below it.
            _ if ratio > SURELY_BELOW => self.over,
            _ => None,
        };
    }
}

/// What fillers used in the last window, with those that ended in it.
fn uses(worker: &Worker) -> Uses {
    let size = worker.size();
    let mut uses = Uses::new();
    for flight in worker.flights.values().filter(|f| f.filler && f.figure > 0.0) {
        if let Some(image) = &flight.image {
            *uses.entry(image.clone()).or_default() += flight.figure / size;
        }
    }
    for faded in &worker.faded {
        *uses.entry(faded.image.clone()).or_default() += FADED * faded.used / size;
    }
    uses
}

/// How much the uses of two windows differ.
fn change(before: &Uses, after: &Uses) -> f64 {
    let came = after.iter().map(|(n, used)| (used - before.get(n).unwrap_or(&0.0)).abs());
    let went = before.iter().filter(|(n, _)| !after.contains_key(*n)).map(|(_, used)| *used);
    came.chain(went).sum()
}
