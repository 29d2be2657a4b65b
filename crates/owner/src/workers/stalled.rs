//! Moves runs that make no progress.

use log::warn;

use myrtle_job::Incarnation;

use crate::{Cell, Stage};

/// The backoff of a worker on which a run makes no progress, in milliseconds.
const STALLED_BACKOFF: u64 = 1_500;

/// How long a run may show no progress before it counts as stalled, in milliseconds; a worker
/// reports progress several times a second.
const STALLED_MS: u64 = 1_500;

/// The divisor of a run's estimate that gives the time without progress allowed to long runs, as
/// progress comes in whole percents.
const STALLED_DIVISOR: u64 = 25;

/// Runs with a speed limit below this, in percent, are not checked for progress.
const MIN_CHECKED_LIMIT: u32 = 50;

impl Cell {
    /// Stops runs that make no progress on a worker, so that they continue elsewhere.
    pub(crate) fn move_stalled(&mut self, incarnation: &Incarnation, now: u64) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        let stalled: Vec<_> = worker
            .active_runs
            .iter()
            .filter(|(_, f)| f.stage == Stage::Running && f.speed_limit >= MIN_CHECKED_LIMIT)
            .filter(|(_, f)| !f.long_running || f.percent < 100.0)
            .filter(|(_, f)| {
                let allowed = STALLED_MS.max(f.estimate / STALLED_DIVISOR);
                now.saturating_sub(f.changed_at.max(f.since)) > allowed
            })
            .map(|(&task, f)| (task, f.run, f.percent, f.figure, f.filler))
            .collect();
        for (task, run, percent, figure, filler) in stalled {
            warn!(
                "event=run-still task={task} run={run} worker={incarnation} percent={percent} figure={figure}"
            );
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.avoided.entry(task).or_default().push(incarnation.clone());
            }
            if !filler {
                self.back_off(incarnation, now + STALLED_BACKOFF);
            }
            self.counts.moved += 1;
            self.stop_run(incarnation, task, run, now);
        }
    }
}
