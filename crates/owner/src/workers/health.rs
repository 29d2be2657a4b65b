//! Backs off from workers that fail, and moves runs that make no progress.

use log::warn;

use myrtle_job::{EndReason, Incarnation, TaskId};

use crate::{Cell, Stage};

/// The number of failed runs in a row after which a worker gets a backoff: tasks fail by their own
/// fault too, but rarely three in a row.
const MAX_FAILS: u32 = 3;

/// The first backoff of a failing worker, in milliseconds; doubled each time.
const FIRST_BACKOFF: u64 = 1_500;

/// The longest backoff, in milliseconds.
const MAX_BACKOFF: u64 = 12_000;

/// How long a run may show no progress before it counts as stalled, in milliseconds; a worker
/// reports progress several times a second.
const STALLED_MS: u64 = 1_500;

/// The divisor of a run's estimate that gives the time without progress allowed to long runs, as
/// progress comes in whole percents.
const STALLED_DIVISOR: u64 = 25;

/// Runs with a speed limit below this, in percent, are not checked for progress.
const MIN_CHECKED_LIMIT: u32 = 50;

impl Cell {
    /// Counts the end of a run for or against its worker.
    pub(crate) fn count_end(
        &mut self,
        incarnation: &Incarnation,
        reason: EndReason,
        task: TaskId,
        now: u64,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        match reason {
            EndReason::Done => {
                worker.failures = 0;
                worker.backoffs = 0;
            }
            EndReason::Failed => {
                worker.failures += 1;
                if worker.failures >= MAX_FAILS {
                    worker.failures = MAX_FAILS - 1;
                    let backoff = (FIRST_BACKOFF << worker.backoffs.min(4)).min(MAX_BACKOFF);
                    worker.backoffs += 1;
                    warn!(
                        "event=worker-failing worker={incarnation} task={task} pause_ms={backoff}"
                    );
                    self.back_off(incarnation, now + backoff);
                }
            }
            _ => {}
        }
    }

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
                self.back_off(incarnation, now + FIRST_BACKOFF);
            }
            self.counts.moved += 1;
            self.stop_run(incarnation, task, run, now);
        }
    }
}
