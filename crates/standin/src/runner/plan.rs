//! What the tasks of jobs need and do on stand-in workers.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

/// What the tasks of a step need and do.
#[derive(Debug, Clone)]
pub struct StepPlan {
    /// The processors of a task, in thousandths of a core.
    pub cpu: u32,
    /// The memory of a task, in megabytes.
    pub mem_mb: u32,
    /// The kind of the tasks.
    pub kind: TaskKind,
    /// The work of a task, as its run time at full speed.
    pub work: Duration,
    /// Whether the tasks save checkpoints.
    pub saves: bool,
    /// The number of runs of each task that end as failed before one can be done.
    pub failures: u32,
}

/// The kind of a step's tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TaskKind {
    /// They run in room of their own until they are done.
    Short,
    /// They use the processors that others leave idle.
    Filler {
        /// The load that one adds to the serving tasks beside it if it uses the whole worker, as a share of theirs.
        pressure: f64,
    },
    /// They serve requests until they are stopped.
    Serving {
        /// Where in the common load cycle the step's image is, as a share of the cycle.
        phase: f64,
    },
}

/// The plans of jobs by their ids.
#[derive(Debug, Default)]
pub struct Plans {
    steps: Mutex<BTreeMap<String, Vec<StepPlan>>>,
    /// The number of failed runs by task.
    failed: Mutex<BTreeMap<String, u32>>,
}

impl Plans {
    /// Sets the steps of a job.
    pub fn set(&self, job: &str, steps: Vec<StepPlan>) {
        self.steps.lock().expect("no holder panics").insert(job.into(), steps);
    }

    /// The plan of a task by its name; the name is `JOB.ROUND.STEP.INDEX`.
    pub fn of(&self, task: &str) -> Option<StepPlan> {
        let mut parts = task.split('.');
        let (job, step) = (parts.next()?, parts.nth(1)?);
        let steps = self.steps.lock().expect("no holder panics");
        steps.get(job)?.get(step.parse::<usize>().ok()?).cloned()
    }

    /// Whether another run of a task fails; counts it if so.
    pub(super) fn fails(&self, task: &str, plan: &StepPlan) -> bool {
        let mut failed = self.failed.lock().expect("no holder panics");
        let count = failed.entry(task.into()).or_default();
        let fails = *count < plan.failures;
        *count += u32::from(fails);
        fails
    }
}
