//! Job specifications and queue policies.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use myrtle_base::Room;

use crate::TaskId;

/// About what an owner keeps for each job and for each of its steps, in bytes, beside its texts and lists.
const JOB_BYTES: usize = 2 << 10;
const STEP_BYTES: usize = 512;

/// A job as submitted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Passed to every worker unchanged.
    pub body: Arc<str>,
    /// The steps; a step may depend on earlier ones.
    pub steps: Vec<StepSpec>,
    /// The schedule, if the steps run more than once.
    pub repeat: Option<Repeat>,
}

/// The schedule of a repeated job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// When the first repetition is due, in milliseconds since 1970.
    pub first_at: u64,
    /// Milliseconds between the due times of two repetitions.
    pub interval_ms: u64,
    /// The number of repetitions.
    pub count: u32,
}

impl Repeat {
    /// When a repetition is due, in milliseconds since 1970.
    pub fn due(&self, round: u32) -> u64 {
        self.first_at.saturating_add(self.interval_ms.saturating_mul(u64::from(round)))
    }
}

/// A step: tasks with the same requirements.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u16,
    /// The room that one task needs.
    pub room: Room,
    /// The client's estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// The indices of the steps that have to be done first.
    pub after: Vec<u16>,
    /// Whether the tasks are a gang, which has to run all at once.
    pub gang: bool,
    /// Whether the tasks slow down when they run on different racks.
    pub same_rack: bool,
    /// A label that the workers must have.
    pub requires: Option<String>,
    /// The rack that holds the tasks' data.
    pub data_rack: Option<String>,
    /// The most tasks of the step on one worker; 0 for no limit.
    pub worker_limit: u16,
    /// Whether a task may have speculative runs.
    pub speculative: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled.
    pub long_running: bool,
    /// Whether the tasks save checkpoints.
    pub has_checkpoints: bool,
    /// The image that the tasks run; interference is learned for each image.
    pub image: Option<Arc<str>>,
    /// The target of a serving task's tail latency, in milliseconds.
    pub target_ms: Option<u32>,
    /// Whether the tasks are fillers, which use only processors that others leave idle.
    pub filler: bool,
    /// The disruption budget of a long-running step.
    pub disruption_budget: Option<u16>,
}

impl StepSpec {
    /// The room that a task claims on a worker; a filler claims no processors.
    pub fn claim(&self) -> Room {
        if self.filler { Room { cpu: 0, ..self.room } } else { self.room }
    }

    /// The estimated work of one task, in thousandths of a core times milliseconds.
    pub fn work(&self) -> f64 {
        f64::from(self.room.cpu) * self.estimate_ms as f64
    }

    /// Whether the tasks serve requests with a target latency.
    pub fn serves(&self) -> bool {
        self.target_ms.is_some()
    }
}

/// The configuration of the queue that accepted a job.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// The queue's name.
    pub queue: String,
    /// The service whose workers run the tasks.
    pub service: String,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The number of failed runs at which a task fails.
    pub max_failures: u32,
    /// The latency objective as a multiple of the job's critical path.
    pub stretch: f64,
    /// The time added to that objective, in milliseconds.
    pub slack_ms: u64,
    /// The times of tickets, if the queue needs them.
    pub ticket_times: Option<TicketTimes>,
}

/// The times of a queue's tickets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketTimes {
    /// The duration of a ticket request, in milliseconds.
    pub call_ms: u64,
    /// The duration that each worker in the request adds, in milliseconds.
    pub worker_ms: u64,
    /// The validity of a ticket, in milliseconds.
    pub valid_ms: u64,
}

impl JobSpec {
    /// The length of the critical path by the steps' estimates, in milliseconds; steps for which `done` is true
    /// count as 0.
    pub fn critical_path(&self, done: impl Fn(usize) -> bool) -> u64 {
        let mut ends = vec![0u64; self.steps.len()];
        for (i, step) in self.steps.iter().enumerate() {
            let before = step.after.iter().map(|&a| ends[usize::from(a)]).max().unwrap_or(0);
            ends[i] = before + if done(i) { 0 } else { step.estimate_ms };
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Whether the job has such a task.
    pub fn has_task(&self, task: TaskId) -> bool {
        let step = self.steps.get(usize::from(task.step));
        step.is_some_and(|s| task.index < s.count) && task.round < self.rounds().max(1)
    }

    /// The number of repetitions, 1 for a job that runs once.
    pub fn rounds(&self) -> u32 {
        self.repeat.map_or(1, |r| r.count)
    }

    /// The estimated work of one repetition, in thousandths of a core times milliseconds.
    pub fn work(&self) -> f64 {
        self.steps.iter().map(|s| f64::from(s.count) * s.work()).sum()
    }

    /// About how many bytes the job takes in an owner's memory before any of it has begun.
    pub fn memory(&self) -> usize {
        let text = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let steps = self.steps.iter().map(|step| {
            let image = step.image.as_ref().map_or(0, |image| image.len());
            let texts = text(&step.requires) + text(&step.data_rack) + image;
            STEP_BYTES + 2 * step.after.len() + texts
        });
        JOB_BYTES + self.body.len() + steps.sum::<usize>()
    }

    /// The number of tasks of one repetition.
    pub fn tasks(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }

    /// Whether some step is long-running.
    pub fn has_long_running(&self) -> bool {
        self.steps.iter().any(|s| s.long_running)
    }
}
