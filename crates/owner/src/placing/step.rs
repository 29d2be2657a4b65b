//! Keys of steps.

use myrtle_job::{JobId, TaskId};

/// A step in one repetition of a job: the job, the repetition, the index of the step in the job.
pub(crate) type StepKey = (JobId, u32, u16);

/// The step of a task.
pub(crate) fn step_of(task: TaskId) -> StepKey {
    (task.job, task.round, task.step)
}
