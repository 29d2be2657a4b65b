//! Values shared by all workers while a worker is chosen for one task.

use std::sync::Arc;

use myrtle_job::{StepSpec, TaskId};

use crate::placing::tolerance::Tolerance;
use crate::{Cell, InterferenceModel};

/// The search for a worker for one task.
///
/// What depends only on the task, or on pairs of images, is computed once and not for each worker.
pub(crate) struct Search<'a> {
    pub(crate) spec: &'a StepSpec,
    pub(crate) task: TaskId,
    /// How strictly room is chosen.
    pub(crate) tolerance: Tolerance,
    /// The processors left to long-running tasks on workers without any, within the soft share.
    pub(crate) soft_left: f64,
    /// The same within the share for short tasks, which applies once they have waited.
    pub(crate) hard_left: f64,
    /// Effects of the filler on serving images.
    effects: Vec<(Arc<str>, Effect)>,
    /// Distances of other serving images from the task's own.
    distances: Vec<(String, f64)>,
}

/// The pressure on a serving image that a filler adds when it uses a whole worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Effect {
    /// The expected rise.
    pub(crate) rise: f64,
    /// The rise with its uncertainty added.
    pub(crate) risk: f64,
}

impl<'a> Search<'a> {
    /// A search in which no worker has been visited.
    pub(crate) fn new(
        cell: &Cell,
        spec: &'a StepSpec,
        task: TaskId,
        tolerance: Tolerance,
        now: u64,
    ) -> Self {
        let (soft_left, hard_left) =
            if spec.long_running { cell.long_running_left(task, now) } else { (0.0, 0.0) };
        Self {
            spec,
            task,
            tolerance,
            soft_left,
            hard_left,
            effects: Vec::new(),
            distances: Vec::new(),
        }
    }

    /// The effect of the filler on a serving image.
    pub(crate) fn effect(&mut self, interference: &InterferenceModel, image: &Arc<str>) -> Effect {
        if let Some((_, effect)) = self.effects.iter().find(|(known, _)| known == image) {
            return *effect;
        }
        let filler = self.image();
        let effect = Effect {
            rise: interference.added_pressure(image, filler, 1.0),
            risk: interference.risk(image, filler, 1.0),
        };
        self.effects.push((image.clone(), effect));
        effect
    }

    /// The distance of a serving image from the task's own.
    pub(crate) fn distance(&mut self, interference: &InterferenceModel, image: &str) -> f64 {
        if let Some((_, distance)) = self.distances.iter().find(|(known, _)| known == image) {
            return *distance;
        }
        let distance = interference.dissimilarity(self.image(), image);
        self.distances.push((image.into(), distance));
        distance
    }

    fn image(&self) -> &'a str {
        self.spec.image.as_deref().unwrap_or("")
    }
}
