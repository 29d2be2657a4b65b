//! Default jobs and policies for tests.

use myrtle_base::Room;
use myrtle_job::{EndReason, EndedRun, JobSpec, Policy, StepSpec, TaskId};

/// The policy of a queue with three attempts per task.
pub fn policy() -> Policy {
    Policy {
        queue: "q".into(),
        service: "s".into(),
        max_failures: 3,
        stretch: 2.0,
        slack_ms: 1_000,
        ..Policy::default()
    }
}

/// A step of `count` tasks of two cores and a second each.
pub fn step(count: u16) -> StepSpec {
    StepSpec {
        count,
        room: Room { cpu: 2_000, mem: 1_000, accel: 0 },
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

/// A job of these steps, which runs once.
pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { body: "b".into(), steps, repeat: None }
}

/// The reported end of a run, without a checkpoint.
pub fn ended(seq: u64, task: TaskId, run: u32, reason: EndReason) -> EndedRun {
    EndedRun { seq, task, run, reason, checkpoint: String::new() }
}
