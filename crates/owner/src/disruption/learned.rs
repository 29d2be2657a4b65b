//! The learned model: what an owner writes to the log about interference and load cycles for its
//! successor.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use myrtle_job::{RecordError, decode, encode};

use crate::Cell;
use crate::health::learned::LearnedHealth;
use crate::placing::step::StepKey;

/// The estimated coefficient of a pair of images.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct Estimate {
    pub(crate) coefficient: f32,
    pub(crate) variance: f32,
}

/// The learned load cycles of serving steps.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LearnedLoads {
    /// The accumulated prediction error of each period.
    pub(crate) errors: Vec<f32>,
    /// How far the clock of the load cycles is ahead of the time of day, in milliseconds.
    pub(crate) wall_offset: i64,
    /// The mean, sine and cosine coefficients of each step, for the best period.
    pub(crate) steps: Vec<(StepKey, [f32; 3])>,
}

/// The learned model as it is stored; fields are only added at the end, so that earlier versions
/// read the part that they know.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LearnedModel {
    /// The filler images.
    pub(crate) fillers: Vec<Arc<str>>,
    /// The coefficients of the filler images for each serving image, in the same order.
    pub(crate) images: Vec<(Arc<str>, Vec<Estimate>)>,
    /// The load cycles.
    pub(crate) loads: LearnedLoads,
    /// Evidence about workers.
    pub(crate) health: LearnedHealth,
}

/// The layout without evidence about workers.
#[derive(Debug, Deserialize)]
struct WithoutHealth {
    fillers: Vec<Arc<str>>,
    images: Vec<(Arc<str>, Vec<Estimate>)>,
    loads: LearnedLoads,
}

impl From<WithoutHealth> for LearnedModel {
    fn from(old: WithoutHealth) -> Self {
        let WithoutHealth { fillers, images, loads } = old;
        Self { fillers, images, loads, health: LearnedHealth::default() }
    }
}

impl LearnedModel {
    /// Decodes a model in the current or the earlier layout.
    fn read(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes).or_else(|_| decode::<WithoutHealth>(bytes).map(Self::from))
    }
}

impl Cell {
    /// The encoded model that this owner has learned; none before the first report of interference
    /// or evidence about a worker.
    ///
    /// `now` is the host's steady clock, `wall` the time of day, both in milliseconds.
    pub fn learned_model(&self, now: u64, wall: u64) -> Option<Vec<u8>> {
        let (fillers, images) = (self.interference.fillers(), self.interference.images());
        let health = self.learned_health(now, wall);
        if images.is_empty() && health.is_empty() {
            return None;
        }
        let loads = self.load_cycles.learned(now, wall);
        Some(encode(&LearnedModel { fillers, images, loads, health }))
    }

    /// Restores the model that an earlier owner has learned.
    ///
    /// # Errors
    ///
    /// The bytes can't be decoded as a model of this program's version; the state is unchanged
    /// then.
    pub fn restore_model(&mut self, bytes: &[u8], now: u64, wall: u64) -> Result<(), RecordError> {
        let model = LearnedModel::read(bytes)?;
        self.interference.restore(model.fillers, model.images);
        self.load_cycles.restore(model.loads, now, wall);
        self.restore_health(model.health, now, wall);
        // A job may have ended since the model was written.
        let over = |id| self.jobs.get(&id).is_none_or(|j| j.progress.state.over());
        self.load_cycles.retain(|id| !over(id));
        Ok(())
    }
}
