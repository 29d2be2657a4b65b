//! Keeps other tasks away from the workers of tasks that are suspected of crashing them.

use myrtle_job::{Crashes, TaskId};

use crate::placing::step::step_of;
use crate::workers::crash::FRESH_MS;
use crate::{Cell, Worker};

/// For how long nothing else starts on the worker of a suspected task, in milliseconds.
const ISOLATION: u64 = 1_500;

/// How long a job waits before its tasks may start on such workers nevertheless, in milliseconds.
const ISOLATION_WAIT: u64 = 1_000;

/// The same for a task that is itself suspected: beside another one a crash would not show the
/// cause.
const SUSPECT_WAIT: u64 = 2_500;

impl Cell {
    /// Whether a task is suspected of crashing a worker.
    pub(crate) fn is_suspected(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.and_then(|j| j.progress.crashes.get(&task)).is_some_and(|c| c.suspect_losses > 0)
    }

    /// Whether a task may have a copy beside its only run: both could crash their workers before
    /// either loss is known.
    pub(crate) fn may_copy(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.and_then(|j| j.progress.crashes.get(&task)).is_none_or(Crashes::allows_copy)
    }

    /// Whether a task that has waited for `waited` milliseconds may not start on a worker, since a
    /// suspected task has just started there.
    ///
    /// Tasks of its own gang don't prevent it: they only start together, and a gang with more
    /// suspected tasks than there are workers would wait for ever.
    pub(crate) fn quarantined(
        &self,
        worker: &Worker,
        task: TaskId,
        suspect: bool,
        waited: u64,
        now: u64,
    ) -> bool {
        if !worker.active_runs.sums().suspect {
            return false;
        }
        let wait = if suspect { SUSPECT_WAIT } else { ISOLATION_WAIT };
        let isolation = if waited < wait { ISOLATION } else { FRESH_MS };
        let gang = self.jobs.get(&task.job).is_some_and(|job| job.step(task.step).gang);
        let own = |other: TaskId| gang && step_of(other) == step_of(task);
        let suspects = worker.active_runs.iter().filter(|(other, f)| f.suspect && !own(**other));
        suspects
            .map(|(_, f)| f)
            .any(|f| f.started_at.is_none_or(|started_at| now < started_at + isolation))
    }
}
