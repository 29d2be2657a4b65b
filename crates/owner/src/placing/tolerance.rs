//! How strictly room is chosen for a task, by its wait and its downtime.

use myrtle_job::TaskId;

use crate::Job;

/// How long a long-running task waits for other room before it uses the soft share, which is left
/// to short tasks at first, in milliseconds.
const RELAX_AFTER: u64 = 1_500;

/// How long a filler waits for a worker where it interferes with no task, in milliseconds; after
/// that it goes where it interferes least, and is throttled there as needed.
const FILLER_RELAX_AFTER: u64 = 10_000;

/// How long a job of fillers may have nothing running after it is ready, in milliseconds; after
/// that one of its tasks goes wherever there is room. The platform counts a job as lost after 3 s.
const FILLER_IDLE_LIMIT: u64 = 1_500;

/// How strictly room is chosen; each level includes the room of those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Tolerance {
    /// Room where the task runs well and that isn't set aside for other tasks.
    Strict,
    /// Also room that is set aside for others at first, or where the task is slowed.
    Relaxed,
    /// Any room.
    Any,
}

impl Job {
    /// How strictly room is chosen for a task now.
    pub(crate) fn tolerance(&self, task: TaskId, now: u64) -> Tolerance {
        let spec = self.step(task.step);
        let waited = self.waited(now);
        match (spec.filler, spec.long_running) {
            (true, _) if waited >= FILLER_IDLE_LIMIT && !self.progress.has_active() => {
                Tolerance::Any
            }
            (true, _) if waited >= FILLER_RELAX_AFTER => Tolerance::Relaxed,
            (_, true) if self.resumes(task) => Tolerance::Any,
            (false, _) if waited >= RELAX_AFTER => Tolerance::Relaxed,
            _ => Tolerance::Strict,
        }
    }
}
