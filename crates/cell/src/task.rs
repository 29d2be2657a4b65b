//! Commands on tasks, each of which has one attempt at a time.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use myrtle_base::Millis;
use myrtle_config::OnUnreachable;

use crate::{Cell, Deny, End, Health, JobState, StopReason, TaskId};

/// The backoff after the first failure; it doubles with each further one.
const MIN_BACKOFF: Millis = Millis(500);

/// The longest backoff.
const MAX_BACKOFF: Millis = Millis(60_000);

/// The state of a task.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum State {
    /// It waits for a worker.
    #[default]
    #[display("pending")]
    Pending,
    /// It is assigned to a worker that hasn't confirmed the start.
    #[display("claimed by worker {_0}")]
    Claimed(u32),
    /// The worker runs it.
    #[display("running on worker {_0}")]
    Running(u32),
    /// The worker has to stop it and hasn't confirmed the end.
    #[display("stopping on worker {_0}: {_1}")]
    Stopping(u32, StopReason),
    /// It is over.
    #[display("{_0}")]
    Over(TaskResult),
}

/// The final result of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum TaskResult {
    /// It succeeded.
    #[display("done")]
    Done,
    /// Its job was cancelled.
    #[display("cancelled")]
    Cancelled,
    /// Too many attempts failed or crashed their workers.
    #[display("failed too often")]
    Failed,
}

impl State {
    /// The worker that may be running it.
    pub fn worker(&self) -> Option<u32> {
        match *self {
            State::Claimed(w) | State::Running(w) | State::Stopping(w, _) => Some(w),
            State::Pending | State::Over(_) => None,
        }
    }
}

impl Cell {
    /// Assigns a pending task to a worker with enough free room.
    pub(crate) fn claim(&mut self, id: TaskId, attempt: u16, worker: u32) -> Result<(), Deny> {
        let job = self.jobs.get(&id.job).ok_or(Deny::Missing)?;
        let task = self.tasks.get_mut(&id).ok_or(Deny::Missing)?;
        if task.state != State::Pending || job.state != JobState::Open {
            return Err(Deny::State);
        }
        if attempt != task.attempt + 1 {
            return Err(Deny::Outdated);
        }
        if self.now < task.not_before {
            return Err(Deny::Backoff);
        }
        let holder = self.workers.get_mut(worker as usize).ok_or(Deny::Missing)?;
        if holder.health != Health::Up {
            return Err(Deny::Down);
        }
        if !holder.accepts(self.now) {
            return Err(Deny::Unavailable);
        }
        if !job.room.fits(&holder.free()) {
            return Err(Deny::Room);
        }
        holder.used += job.room;
        holder.tasks.insert(id);
        task.reserved = job.room;
        task.attempt = attempt;
        task.state = State::Claimed(worker);
        task.since = self.now;
        self.dequeue(id);
        Ok(())
    }

    /// Records that the worker runs the attempt.
    pub(crate) fn started(&mut self, id: TaskId, attempt: u16) -> Result<(), Deny> {
        let now = self.now;
        let task = self.tasks.get_mut(&id).ok_or(Deny::Missing)?;
        let State::Claimed(worker) = task.state else { return Err(Deny::State) };
        if attempt != task.attempt {
            return Err(Deny::Outdated);
        }
        task.state = State::Running(worker);
        task.since = now;
        Ok(())
    }

    /// Records a checkpoint of the attempt.
    pub(crate) fn checkpoint(
        &mut self,
        id: TaskId,
        attempt: u16,
        checkpoint: u32,
    ) -> Result<(), Deny> {
        let task = self.tasks.get_mut(&id).ok_or(Deny::Missing)?;
        if attempt != task.attempt || checkpoint <= task.checkpoint {
            return Err(Deny::Outdated);
        }
        if task.state.worker().is_none() {
            return Err(Deny::State);
        }
        task.checkpoint = checkpoint;
        Ok(())
    }

    /// Requests the stop of an attempt.
    pub(crate) fn stop(
        &mut self,
        id: TaskId,
        attempt: u16,
        reason: StopReason,
    ) -> Result<(), Deny> {
        let now = self.now;
        let task = self.tasks.get_mut(&id).ok_or(Deny::Missing)?;
        if attempt != task.attempt {
            return Err(Deny::Outdated);
        }
        let (State::Claimed(worker) | State::Running(worker)) = task.state else {
            return Err(Deny::State);
        };
        task.state = State::Stopping(worker, reason);
        task.since = now;
        Ok(())
    }

    /// Records the end of an attempt that the worker confirmed.
    pub(crate) fn end(&mut self, id: TaskId, attempt: u16, end: End) -> Result<(), Deny> {
        let task = self.tasks.get(&id).ok_or(Deny::Missing)?;
        if attempt != task.attempt {
            return Err(Deny::Outdated);
        }
        let state = task.state;
        let worker = state.worker().ok_or(Deny::State)?;
        self.release_room(id, worker, true);
        match end {
            End::Done => {
                self.record_success(worker);
                self.finish(id, TaskResult::Done);
            }
            End::Failed => {
                self.record_failure(worker, id.job);
                self.fail(id, worker);
            }
            End::Stopped(checkpoint) => self.resume(id, checkpoint, state),
        }
        Ok(())
    }

    /// Frees a task of a lapsed worker, as an operator confirmed that it runs nowhere.
    pub(crate) fn release(&mut self, id: TaskId) -> Result<(), Deny> {
        let task = self.tasks.get(&id).ok_or(Deny::Missing)?;
        let state = task.state;
        let worker = state.worker().ok_or(Deny::State)?;
        if self.workers[worker as usize].health != Health::Lapsed {
            return Err(Deny::State);
        }
        let checkpoint = task.checkpoint;
        self.release_room(id, worker, false);
        self.resume(id, checkpoint, state);
        Ok(())
    }

    /// Frees the tasks of a worker that can no longer be running them; with `all` false, those that continue while
    /// their worker is unreachable stay assigned.
    pub(crate) fn free_worker(&mut self, worker: u32, all: bool) {
        let ids: Vec<_> = self.workers[worker as usize].tasks.iter().copied().collect();
        for id in ids {
            let yields = self.jobs[&id.job].spec.on_unreachable == OnUnreachable::Yield;
            if !all && !yields {
                continue;
            }
            let (state, checkpoint) = (self.tasks[&id].state, self.tasks[&id].checkpoint);
            self.release_room(id, worker, false);
            self.resume(id, checkpoint, state);
        }
    }

    /// Removes a task from the pending queue.
    pub(crate) fn dequeue(&mut self, id: TaskId) {
        let price = self.jobs[&id.job].spec.price;
        self.pending.remove(&(u32::MAX - price, id));
    }

    /// Frees the room of an attempt and, with `counted`, adds its run time to the usage.
    fn release_room(&mut self, id: TaskId, worker: u32, counted: bool) {
        let task = &self.tasks[&id];
        let holder = &mut self.workers[worker as usize];
        holder.used = holder.used.minus(&task.reserved);
        holder.tasks.remove(&id);
        if !counted || matches!(task.state, State::Claimed(_)) {
            return;
        }
        let spec = &self.jobs[&id.job].spec;
        let entry = self.usage.entry((spec.customer.clone(), spec.class.clone())).or_default();
        entry.busy += self.now.since(task.since);
    }

    /// Returns a task to the pending queue, or ends it if its job is closed.
    fn resume(&mut self, id: TaskId, checkpoint: u32, previous: State) {
        if self.jobs[&id.job].state != JobState::Open {
            return self.finish(id, TaskResult::Cancelled);
        }
        let now = self.now;
        let task = self.tasks.get_mut(&id).expect("callers checked that the task exists");
        task.checkpoint = task.checkpoint.max(checkpoint);
        task.evictions += u16::from(matches!(previous, State::Stopping(..)));
        task.not_before = now;
        self.enqueue(id);
    }

    /// Fails a task that has crashed too many workers.
    pub(crate) fn give_up(&mut self, id: TaskId, worker: u32) {
        self.release_room(id, worker, false);
        self.finish(id, TaskResult::Failed);
    }

    /// Counts a failure; the task is pending again after its backoff, or over after too many failures.
    fn fail(&mut self, id: TaskId, worker: u32) {
        if let Some(job) = self.jobs.get_mut(&id.job)
            && job.failed_workers.len() < 2
            && !job.failed_workers.contains(&worker)
        {
            job.failed_workers.push(worker);
        }
        let limit = self.jobs[&id.job].spec.failures;
        let open = self.jobs[&id.job].state == JobState::Open;
        let now = self.now;
        let task = self.tasks.get_mut(&id).expect("callers checked that the task exists");
        task.failures += 1;
        task.failed_worker = Some(worker);
        let backoff_ms = MIN_BACKOFF.0 << (task.failures - 1).min(16);
        task.not_before = now + Millis(backoff_ms.min(MAX_BACKOFF.0));
        if !open {
            return self.finish(id, TaskResult::Cancelled);
        }
        if task.failures >= limit {
            return self.finish(id, TaskResult::Failed);
        }
        self.enqueue(id);
    }

    fn enqueue(&mut self, id: TaskId) {
        let now = self.now;
        let price = self.jobs[&id.job].spec.price;
        let task = self.tasks.get_mut(&id).expect("callers checked that the task exists");
        task.state = State::Pending;
        task.since = now;
        self.pending.insert((u32::MAX - price, id));
    }

    fn finish(&mut self, id: TaskId, result: TaskResult) {
        let now = self.now;
        let task = self.tasks.get_mut(&id).expect("callers checked that the task exists");
        task.state = State::Over(result);
        task.since = now;
        self.crashes.remove(&id);
        self.close_task(id, result);
    }
}
