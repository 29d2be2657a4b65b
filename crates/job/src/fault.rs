//! Validation of submitted jobs.

use derive_more::{Display, Error};

use crate::JobSpec;

/// The longest body that is passed to workers, in bytes; the platform's limit.
const MAX_BODY_BYTES: usize = 4000;

/// The most tasks of one step; a task's index has 16 bits.
const MAX_TASKS: u16 = 10_000;

/// The most tasks of one repetition of a job that is accepted: the record of its progress has to fit in one of the
/// store's, also when each task has a checkpoint and a worker.
pub const MAX_JOB_TASKS: usize = 10_000;

/// The most steps of one job, far above what clients send.
pub const MAX_STEPS: usize = 1_000;

/// The longest estimate, in milliseconds (30 days), so that the sum over all steps can't overflow.
const MAX_ESTIMATE_MS: u64 = 30 * 24 * 60 * 60 * 1_000;

/// Why a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The job has no steps.
    #[display("the job has no steps; name at least one")]
    NoSteps,
    /// The job has more than `MAX_STEPS` steps.
    #[display("the job has more than 1000 steps; hand it in as several jobs")]
    ManySteps,
    /// The body is longer than `MAX_BODY_BYTES`.
    #[display("the text for the workers is over 4000 bytes; shorten it")]
    LongBody,
    /// A step has no tasks or more than `MAX_TASKS`.
    #[display("step {step} has no tasks or over 10000; correct its count")]
    Tasks {
        /// The index of the step.
        step: usize,
    },
    /// The steps have more than `MAX_JOB_TASKS` tasks together.
    #[display("the steps have over 10000 tasks together; hand the job in as several jobs")]
    ManyTasks,
    /// A step's estimate is above `MAX_ESTIMATE_MS`.
    #[display("step {step} is estimated at over 30 days; name its time in milliseconds")]
    Estimate {
        /// The index of the step.
        step: usize,
    },
    /// A step depends on itself or a later step.
    #[display("step {step} waits for a step that is not before it; reorder the steps")]
    Order {
        /// The index of the step.
        step: usize,
    },
}

impl JobSpec {
    /// Checks a job that is handed in; the log may hold larger ones, which earlier builds accepted.
    ///
    /// # Errors
    ///
    /// The job is inconsistent or over a limit.
    pub fn check_new(&self) -> Result<(), Fault> {
        self.check()?;
        if self.tasks() > MAX_JOB_TASKS { Err(Fault::ManyTasks) } else { Ok(()) }
    }

    /// Checks the limits of a job that the log may hold, and the order of its steps.
    ///
    /// # Errors
    ///
    /// The job is inconsistent or over a limit.
    pub fn check(&self) -> Result<(), Fault> {
        if self.steps.is_empty() {
            return Err(Fault::NoSteps);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(Fault::ManySteps);
        }
        if self.body.len() > MAX_BODY_BYTES {
            return Err(Fault::LongBody);
        }
        for (step, s) in self.steps.iter().enumerate() {
            if s.count == 0 || s.count > MAX_TASKS {
                return Err(Fault::Tasks { step });
            }
            if s.estimate_ms > MAX_ESTIMATE_MS {
                return Err(Fault::Estimate { step });
            }
            if s.after.iter().any(|&a| usize::from(a) >= step) {
                return Err(Fault::Order { step });
            }
        }
        Ok(())
    }
}
