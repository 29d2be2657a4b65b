//! Commands on jobs, and their removal after the end.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use myrtle_base::{Millis, Room};
use myrtle_config::OnUnreachable;

use crate::{Cell, Deny, Job, State, StopReason, Task, TaskId, TaskResult};

/// How long a closed job stays in the state, in log time.
const RETENTION: Millis = Millis(10 * 60 * 1000);

/// The specification of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Spec {
    /// The customer that pays.
    pub customer: String,
    /// The priority class.
    pub class: String,
    /// The price of the class; tasks with a higher price go first.
    pub price: u32,
    /// The kind of work; interference is learned for each kind.
    pub kind: String,
    /// The number of tasks.
    pub tasks: u32,
    /// The room that one task needs.
    pub room: Room,
    /// The expected run time; none for a long-running job.
    pub run_time: Option<Millis>,
    /// What happens to a task whose worker is unreachable.
    pub on_unreachable: OnUnreachable,
    /// The number of failed attempts at which a task fails.
    pub failures: u16,
}

impl Spec {
    /// Whether the tasks are long-running.
    pub fn long_running(&self) -> bool {
        self.run_time.is_none()
    }
}

/// The state of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum JobState {
    /// It has tasks to run.
    #[display("open")]
    Open,
    /// No worker is large enough for its tasks; holds the needed room and the largest worker's.
    #[display("rejected: a task needs {_0}, the largest worker has {_1}")]
    Rejected(Room, Room),
    /// It was cancelled; the same definition doesn't run again.
    #[display("cancelled")]
    Cancelled,
    /// It was removed from the configuration.
    #[display("removed")]
    Removed,
}

impl Cell {
    /// Adds a job, which is rejected if no worker is large enough for its tasks.
    pub(crate) fn add_job(&mut self, name: &str, version: u64, spec: &Spec) -> Result<(), Deny> {
        if let Some((previous, job)) = self.job_named(name) {
            if job.version >= version {
                return Err(Deny::Outdated);
            }
            if job.state == JobState::Open {
                self.close_job(previous, JobState::Removed)?;
            }
        }
        let no = self.next_job;
        self.next_job += 1;
        let state = self.initial_state(spec);
        let open = if state == JobState::Open { spec.tasks } else { 0 };
        let closed_at = (open == 0).then_some(self.now);
        for index in 0..open {
            let task = Task { since: self.now, ..Task::default() };
            self.tasks.insert(TaskId::new(no, index), task);
            self.pending.insert((u32::MAX - spec.price, TaskId::new(no, index)));
        }
        let room = spec.room;
        let (name, spec) = (name.to_string(), spec.clone());
        let job = Job {
            name,
            version,
            spec,
            room,
            state,
            open,
            done: 0,
            failed_workers: Vec::new(),
            closed_at,
        };
        self.jobs.insert(no, job);
        Ok(())
    }

    /// Ends a job that was removed from the configuration, unless its version is newer than the removal.
    pub(crate) fn remove_job(&mut self, name: &str, version: u64) -> Result<(), Deny> {
        let (no, job) = self.job_named(name).ok_or(Deny::Missing)?;
        if job.version >= version {
            return Err(Deny::Outdated);
        }
        self.close_job(no, JobState::Removed)
    }

    /// Ends a job on an operator's request.
    pub(crate) fn cancel_job(&mut self, no: u32) -> Result<(), Deny> {
        self.close_job(no, JobState::Cancelled)
    }

    /// Ends a job: its pending tasks at once, the others when their stop is confirmed.
    fn close_job(&mut self, no: u32, state: JobState) -> Result<(), Deny> {
        let job = self.jobs.get_mut(&no).ok_or(Deny::Missing)?;
        if job.state != JobState::Open {
            return Err(Deny::State);
        }
        job.state = state;
        let ids: Vec<_> = self.task_ids(no).collect();
        for id in ids {
            self.cancel_task(id);
        }
        Ok(())
    }

    /// Raises the room of later attempts.
    pub(crate) fn resize_job(&mut self, no: u32, room: &Room) -> Result<(), Deny> {
        let largest = self.largest();
        let job = self.jobs.get_mut(&no).ok_or(Deny::Missing)?;
        let raised = job.room.max(room);
        if raised == job.room || !raised.fits(&largest) {
            return Err(Deny::State);
        }
        job.room = raised;
        Ok(())
    }

    /// Removes jobs that closed more than [`RETENTION`] ago, with their tasks.
    pub(crate) fn forget_jobs(&mut self) {
        let now = self.now;
        let is_old = |j: &Job| j.closed_at.is_some_and(|at| now.since(at) > RETENTION);
        let expired: Vec<u32> = self.jobs.iter().filter(|j| is_old(j.1)).map(|j| *j.0).collect();
        for no in expired {
            self.jobs.remove(&no);
            let ids: Vec<_> = self.task_ids(no).collect();
            for id in ids {
                self.tasks.remove(&id);
            }
        }
    }

    /// Counts a finished task and closes its job after the last one.
    pub(crate) fn close_task(&mut self, id: TaskId, result: TaskResult) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        job.open -= 1;
        job.done += u32::from(result == TaskResult::Done);
        if job.open == 0 {
            job.closed_at = Some(now);
        }
    }

    fn initial_state(&self, spec: &Spec) -> JobState {
        let largest = self.largest();
        let any_worker = !self.workers.is_empty();
        if any_worker && !self.workers.iter().any(|w| spec.room.fits(&w.room)) {
            return JobState::Rejected(spec.room, largest);
        }
        JobState::Open
    }

    fn cancel_task(&mut self, id: TaskId) {
        let now = self.now;
        let Some(task) = self.tasks.get_mut(&id) else { return };
        match task.state {
            State::Pending => {
                task.state = State::Over(TaskResult::Cancelled);
                task.since = now;
                self.dequeue(id);
                self.close_task(id, TaskResult::Cancelled);
            }
            State::Claimed(worker) | State::Running(worker) | State::Stopping(worker, _) => {
                task.state = State::Stopping(worker, StopReason::Cancel);
                task.since = now;
            }
            State::Over(_) => {}
        }
    }
}
