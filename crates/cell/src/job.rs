//! Jobs: entered, rejected, cancelled, forgotten.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use myrtle_base::{Millis, Room};
use myrtle_config::WhenCut;

use crate::{Cell, Deny, Job, Over, State, Task, TaskId, Why};

/// How long a closed job can still be asked about, in log time.
const KEPT: Millis = Millis(10 * 60 * 1000);

/// What a job asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Spec {
    /// The party that pays.
    pub party: String,
    /// The priority class.
    pub class: String,
    /// The price of the class; dearer tasks go first.
    pub price: u32,
    /// The kind under which interference is learned.
    pub kind: String,
    /// The number of tasks.
    pub tasks: u32,
    /// The room of a task.
    pub room: Room,
    /// The expected run time, none for a watcher.
    pub run_time: Option<Millis>,
    /// What happens in a cut.
    pub when_cut: WhenCut,
    /// Failures of a task before it stops for good.
    pub failures: u16,
}

impl Spec {
    /// Whether its tasks run until they are cancelled.
    pub fn watcher(&self) -> bool {
        self.run_time.is_none()
    }
}

/// What became of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum JobState {
    /// It has tasks to run.
    #[display("open")]
    Open,
    /// No worker could ever hold a task of it.
    #[display("rejected: a task needs {_0}, the largest worker has {_1}")]
    Rejected(Room, Room),
    /// It was cancelled; the same definition does not run again.
    #[display("cancelled")]
    Cancelled,
    /// The configuration no longer holds it.
    #[display("removed")]
    Removed,
}

impl Cell {
    /// Enters a job; one that can never run is rejected at once.
    pub(crate) fn enter_job(&mut self, name: &str, version: u64, spec: &Spec) -> Result<(), Deny> {
        if let Some((old, job)) = self.job_named(name) {
            if job.version >= version {
                return Err(Deny::Old);
            }
            if job.state == JobState::Open {
                self.close_job(old, JobState::Removed)?;
            }
        }
        let no = self.next_job;
        self.next_job += 1;
        let state = self.judge_job(spec);
        let open = if state == JobState::Open { spec.tasks } else { 0 };
        let closed = (open == 0).then_some(self.now);
        for index in 0..open {
            let task = Task { since: self.now, ..Task::default() };
            self.tasks.insert(TaskId::new(no, index), task);
            self.pending.insert((u32::MAX - spec.price, TaskId::new(no, index)));
        }
        let room = spec.room;
        let (name, spec) = (name.to_string(), spec.clone());
        let job =
            Job { name, version, spec, room, state, open, done: 0, failed_on: Vec::new(), closed };
        self.jobs.insert(no, job);
        Ok(())
    }

    /// Ends a job that the configuration no longer holds, unless it is newer than that.
    pub(crate) fn remove_job(&mut self, name: &str, version: u64) -> Result<(), Deny> {
        let (no, job) = self.job_named(name).ok_or(Deny::Missing)?;
        if job.version >= version {
            return Err(Deny::Old);
        }
        self.close_job(no, JobState::Removed)
    }

    /// Ends a job on an operator's word.
    pub(crate) fn cancel_job(&mut self, no: u32) -> Result<(), Deny> {
        self.close_job(no, JobState::Cancelled)
    }

    /// Ends a job: its pending tasks now, the others after their confirmed stop.
    fn close_job(&mut self, no: u32, state: JobState) -> Result<(), Deny> {
        let job = self.jobs.get_mut(&no).ok_or(Deny::Missing)?;
        if job.state != JobState::Open {
            return Err(Deny::State);
        }
        job.state = state;
        let ids: Vec<_> = self.ids_of(no).collect();
        for id in ids {
            self.cancel_task(id);
        }
        Ok(())
    }

    /// Corrects the room of later attempts; never below what was declared.
    pub(crate) fn resize_job(&mut self, no: u32, room: &Room) -> Result<(), Deny> {
        let largest = self.largest();
        let job = self.jobs.get_mut(&no).ok_or(Deny::Missing)?;
        let wanted = job.room.max(room);
        if wanted == job.room || !wanted.fits(&largest) {
            return Err(Deny::State);
        }
        job.room = wanted;
        Ok(())
    }

    /// Drops jobs that closed long ago, with their tasks.
    pub(crate) fn forget_jobs(&mut self) {
        let now = self.now;
        let old = |j: &Job| j.closed.is_some_and(|at| now.since(at) > KEPT);
        let gone: Vec<u32> = self.jobs.iter().filter(|j| old(j.1)).map(|j| *j.0).collect();
        for no in gone {
            self.jobs.remove(&no);
            let ids: Vec<_> = self.ids_of(no).collect();
            for id in ids {
                self.tasks.remove(&id);
            }
        }
    }

    /// Counts a task that is over.
    pub(crate) fn close_task(&mut self, id: TaskId, over: Over) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        job.open -= 1;
        job.done += u32::from(over == Over::Done);
        if job.open == 0 {
            job.closed = Some(now);
        }
    }

    fn judge_job(&self, spec: &Spec) -> JobState {
        let largest = self.largest();
        let known = !self.workers.is_empty();
        if known && !self.workers.iter().any(|w| spec.room.fits(&w.room)) {
            return JobState::Rejected(spec.room, largest);
        }
        JobState::Open
    }

    fn cancel_task(&mut self, id: TaskId) {
        let now = self.now;
        let Some(task) = self.tasks.get_mut(&id) else { return };
        match task.state {
            State::Pending => {
                task.state = State::Over(Over::Cancelled);
                task.since = now;
                self.unqueue(id);
                self.close_task(id, Over::Cancelled);
            }
            State::Claimed(worker) | State::Running(worker) | State::Stopping(worker, _) => {
                task.state = State::Stopping(worker, Why::Cancel);
                task.since = now;
            }
            State::Over(_) => {}
        }
    }
}
