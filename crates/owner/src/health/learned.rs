//! Evidence about workers in the learned model, for an owner's successor.

use serde::{Deserialize, Serialize};

use myrtle_job::Incarnation;

use crate::Cell;
use crate::health::evidence::Evidence;

/// The least evidence that is worth a record.
const MIN_EVIDENCE: f64 = 1.0;

/// The evidence about workers as it is stored.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LearnedHealth {
    /// When it was written, in milliseconds since 1970.
    written_at: u64,
    /// The workers, with evidence by failed and by slow runs.
    workers: Vec<(Incarnation, f32, f32)>,
}

impl LearnedHealth {
    /// Whether there is no evidence.
    pub(crate) fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }
}

impl Cell {
    /// The evidence against workers that is worth a record.
    pub(crate) fn learned_health(&self, now: u64, wall: u64) -> LearnedHealth {
        let evidence = self.workers.iter().map(|(incarnation, worker)| {
            let health = &worker.health;
            (incarnation, health.failures.value(now), health.slowness.value(now))
        });
        let strong = evidence.filter(|(_, f, s)| f.max(*s) >= MIN_EVIDENCE);
        let workers = strong.map(|(incarnation, f, s)| (incarnation.clone(), f as f32, s as f32));
        LearnedHealth { written_at: wall, workers: workers.collect() }
    }

    /// Restores what an earlier owner knew; it has faded since.
    pub(crate) fn restore_health(&mut self, learned: LearnedHealth, now: u64, wall: u64) {
        let at = now.saturating_sub(wall.saturating_sub(learned.written_at));
        for (incarnation, failures, slowness) in learned.workers {
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                worker.health.failures = Evidence::new(failures.into(), at);
                worker.health.slowness = Evidence::new(slowness.into(), at);
            }
        }
    }
}
