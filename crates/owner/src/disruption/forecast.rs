//! The load forecast of a serving image on a worker, and how fast fillers could run beside it.
//!
//! Pressures run from 0 to 1, see interference.rs.

use std::sync::Arc;

use crate::InterferenceModel;
use crate::disruption::interference::LIMIT;

/// The times for which loads are forecast, in milliseconds from now; most fillers run about as long
/// as the last of these times.
pub(crate) const LOOKAHEAD: [u64; 6] = [100, 500, 900, 1_400, 2_000, 2_700];

/// How far ahead an excess is considered, in milliseconds.
const SOON: u64 = 900;

/// How far below its limit a pressure has to stay when work is added: more than when work is
/// throttled, so that added work seldom has to be throttled again.
const START_MARGIN: f64 = 0.16;

/// The coefficient below which a filler is light beside a serving image: it may always run, and is
/// throttled only while loads are highest.
const LIGHT: f64 = 0.5;

/// How far below its limit a pressure is kept by throttling light fillers.
const LIGHT_MARGIN: f64 = 0.03;

/// The lowest share of its speed to which a light filler is throttled.
const MIN_LIGHT_SHARE: f64 = 0.5;

/// A value for each of the times in `LOOKAHEAD`.
pub(crate) type Moments = [f64; LOOKAHEAD.len()];

/// The load forecast for the tasks of one serving image on one worker.
#[derive(Debug, Clone)]
pub(crate) struct LoadForecast {
    /// The serving image.
    pub(crate) image: Arc<str>,
    /// The number of its tasks.
    pub(crate) tasks: u32,
    /// The highest load of any of the tasks at each time.
    loads: Moments,
    /// The pressure that all fillers beside the tasks add at full speed.
    beside: f64,
    /// The share of that pressure that light fillers add.
    light: f64,
}

impl LoadForecast {
    /// A forecast without tasks or fillers.
    pub(crate) fn new(image: Arc<str>) -> Self {
        Self { image, tasks: 0, loads: [0.0; LOOKAHEAD.len()], beside: 0.0, light: 0.0 }
    }

    /// Adds a task with its forecast load at each time.
    pub(crate) fn add(&mut self, loads: Moments) {
        self.tasks += 1;
        let pairs = self.loads.iter_mut().zip(loads);
        pairs.for_each(|(highest, load)| *highest = highest.max(load));
    }

    /// The highest load until `time` milliseconds from now.
    pub(crate) fn highest(&self, time: u64) -> f64 {
        let near = self.loads.iter().zip(LOOKAHEAD).filter(|(_, at)| *at <= time);
        near.map(|(load, _)| *load).fold(0.0, f64::max)
    }

    /// How far the pressure would exceed its limit if a filler added `rise`.
    pub(crate) fn excess(&self, rise: f64) -> f64 {
        (self.highest(SOON) + self.beside + rise - LIMIT).max(0.0)
    }

    /// Adds a filler that uses a share of the worker.
    pub(crate) fn count(&mut self, interference: &InterferenceModel, filler: &str, share: f64) {
        let rise = interference.added_pressure(&self.image, filler, share);
        self.beside += rise;
        if is_light(interference, &self.image, filler) {
            self.light += rise;
        }
    }

    /// The share of its speed that one more filler could keep at each time, if it uses `share` of
    /// the worker and adds up to `risk` to the pressure when it uses a whole worker.
    pub(crate) fn shares(&self, risk: f64, share: f64) -> Moments {
        let rise = risk * share;
        // Throttled fillers return to full speed before others start, so all count at full speed.
        if risk < LIGHT {
            return self.loads.map(|load| light_limit_at(load, self.light + rise));
        }
        self.loads.map(|load| ((LIMIT - START_MARGIN - load - self.beside) / rise).clamp(0.0, 1.0))
    }
}

/// Whether a filler image is light beside a serving image.
pub(crate) fn is_light(interference: &InterferenceModel, image: &str, filler: &str) -> bool {
    interference.added_pressure(image, filler, 1.0) < LIGHT
}

/// The share of their speed that light fillers keep beside a load, where `rise` is the pressure
/// that they add together at full speed.
pub(crate) fn light_limit_at(load: f64, rise: f64) -> f64 {
    ((LIMIT - LIGHT_MARGIN - load) / rise.max(f64::EPSILON)).clamp(MIN_LIGHT_SHARE, 1.0)
}
