//! How hard fillers press on serving tasks, and whether these bear more of them.

use crate::guard::WINDOW;
use crate::{Cell, Flight, Worker};

/// How far below its limit pressure has to come, and has to stay when work is added.
pub(crate) const MARGIN: f64 = 0.08;

/// The share of its processors that a serving task uses at its highest. Tried: 0.72 to 0.80, on
/// quiet-1 of two sites.
pub(crate) const HIGHEST_LOAD: f64 = 0.80;

/// How far below its limit a task has to be to bear more than it could at its highest load: what
/// its load may rise while a usual filler runs. Tried: 0.15 to 0.28, together with the highest
/// load.
const SWING: f64 = 0.2;

/// The pressure below which a filler is not worth slowing.
pub(crate) const TRIFLE: f64 = 0.004;

impl Cell {
    /// The pressure that a filler puts on a serving image on its worker.
    pub(crate) fn press(&self, worker: &Worker, image: &str, flight: &Flight) -> f64 {
        let filler = flight.image.as_deref().unwrap_or("");
        let used = if flight.figure > 0.0 { flight.figure } else { f64::from(flight.cpu) };
        self.harm.rise(image, filler, used / worker.size())
    }

    /// Whether every serving task on a worker would stay below its limit beside one more filler.
    pub(crate) fn bearable(&self, worker: &Worker, filler: &str, cpu: u32) -> bool {
        let share = f64::from(cpu) / worker.size();
        worker.flights.values().filter(|f| f.target.is_some()).all(|f| {
            let image = f.image.as_deref().unwrap_or("");
            // A single window may be over by noise.
            if f.over.is_some_and(|since| worker.figured >= since + WINDOW) {
                return false;
            }
            let rise = self.harm.risk(image, filler, share);
            if rise < TRIFLE {
                return f.over.is_none();
            }
            let limit = self.harm.limit(image);
            // Slowed ones are to go on before others come.
            let beside = worker.flights.values().filter(|g| g.filler);
            let beside: f64 = beside.map(|g| self.press(worker, image, g)).sum();
            if beside + rise <= limit - HIGHEST_LOAD {
                return true;
            }
            let pressure = f.pressure().unwrap_or(HIGHEST_LOAD);
            pressure + self.unseen(worker, image) + rise <= limit - SWING
        })
    }

    /// The pressure of fillers that no figure shows yet.
    pub(crate) fn unseen(&self, worker: &Worker, image: &str) -> f64 {
        let fresh = worker.flights.values().filter(|f| f.filler && f.pace > 0 && f.figure <= 0.0);
        fresh.map(|f| self.press(worker, image, f)).sum()
    }
}
