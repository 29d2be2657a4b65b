//! What is foreseen for a serving image on a worker, and how fast fillers could work beside it.
//!
//! Pressures run from 0 to 1, as harm.rs tells.

use std::sync::Arc;

use crate::Harm;
use crate::disruption::harm::LIMIT;

/// The moments that are looked at, in milliseconds from now; most fillers run about as long as
/// the last one.
pub(crate) const AHEAD: [u64; 6] = [100, 500, 900, 1_400, 2_000, 2_700];

/// How far below its limit a pressure has to stay when work is added: more than when work is slowed,
/// so that what is added seldom has to be slowed again.
const MARGIN: f64 = 0.16;

/// The coefficient of a pair of images below which a filler is light: it may always run, and only
/// slows down while loads are highest.
const LIGHT: f64 = 0.5;

/// How far below its limit a pressure is kept by slowing light fillers.
const LIGHT_MARGIN: f64 = 0.03;

/// The least share of its speed that a light filler keeps.
const LEAST_LIGHT: f64 = 0.5;

/// A figure for each of the moments.
pub(crate) type Moments = [f64; AHEAD.len()];

/// What is foreseen for the tasks of one serving image on one worker.
#[derive(Debug, Clone)]
pub(crate) struct Outlook {
    /// The serving image.
    pub(crate) image: Arc<str>,
    /// How many tasks of it there are.
    pub(crate) tasks: u32,
    /// The highest load among them at each moment.
    loads: Moments,
    /// The pressure of all fillers beside them at full speed.
    beside: f64,
    /// The part of it that is due to light fillers.
    light: f64,
}

impl Outlook {
    /// An outlook without tasks or fillers.
    pub(crate) fn new(image: Arc<str>) -> Self {
        Self { image, tasks: 0, loads: [0.0; AHEAD.len()], beside: 0.0, light: 0.0 }
    }

    /// Counts a task with the load that it will have at each moment.
    pub(crate) fn add(&mut self, loads: Moments) {
        self.tasks += 1;
        let pairs = self.loads.iter_mut().zip(loads);
        pairs.for_each(|(highest, load)| *highest = highest.max(load));
    }

    /// The highest load until `time` from now, in milliseconds.
    pub(crate) fn highest(&self, time: u64) -> f64 {
        let near = self.loads.iter().zip(AHEAD).filter(|(_, at)| *at <= time);
        near.map(|(load, _)| *load).fold(0.0, f64::max)
    }

    /// Counts a filler that uses a share of the worker.
    pub(crate) fn count(&mut self, harm: &Harm, filler: &str, share: f64) {
        let rise = harm.rise(&self.image, filler, share);
        self.beside += rise;
        if is_light(harm, &self.image, filler) {
            self.light += rise;
        }
    }

    /// The shares of its speed that one more filler could keep at each moment, which uses a share of
    /// the worker and may add `risk` to the pressure with a whole one.
    pub(crate) fn paces(&self, risk: f64, share: f64) -> Moments {
        let rise = risk * share;
        // Slowed ones are to go on before others come, so all count at full speed.
        if risk < LIGHT {
            return self.loads.map(|load| light_share(load, self.light + rise));
        }
        self.loads.map(|load| ((LIMIT - MARGIN - load - self.beside) / rise).clamp(0.0, 1.0))
    }
}

/// Whether a filling image is light beside a serving one.
pub(crate) fn is_light(harm: &Harm, image: &str, filler: &str) -> bool {
    harm.rise(image, filler, 1.0) < LIGHT
}

/// The share of their speed that light fillers keep beside a load, where `rise` is what they press
/// together at full speed.
pub(crate) fn light_share(load: f64, rise: f64) -> f64 {
    ((LIMIT - LIGHT_MARGIN - load) / rise.max(f64::EPSILON)).clamp(LEAST_LIGHT, 1.0)
}
