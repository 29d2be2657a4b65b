//! The progress of a job.

use std::collections::BTreeMap;
use std::ops::Range;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    Crashes, JobId, JobSpec, RecordError, Step, StepBudget, Task, TaskId, TransferId, decode,
    legacy,
};

/// The state of a job, as clients see it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum State {
    /// No task has started.
    #[default]
    #[display("queued")]
    Queued,
    /// Some task has started.
    #[display("running")]
    Running,
    /// Every task has succeeded.
    #[display("completed")]
    Completed,
    /// A task failed as often as its queue permits.
    #[display("failed")]
    Failed,
    /// The client cancelled it.
    #[display("cancelled")]
    Cancelled,
}

impl State {
    /// Whether no task will be started any more.
    pub fn over(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}

/// One repetition of the steps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Round {
    /// The steps by index.
    pub steps: Vec<Step>,
}

impl Round {
    /// A repetition none of whose tasks has started.
    pub fn fresh(spec: &JobSpec) -> Self {
        Self { steps: spec.steps.iter().map(|s| Step::fresh(s.count)).collect() }
    }

    /// Whether all steps that the step depends on are done.
    pub fn ready(&self, spec: &JobSpec, step: usize) -> bool {
        spec.steps[step].after.iter().all(|&a| self.steps[usize::from(a)].done())
    }

    /// Whether every task is done.
    pub fn done(&self) -> bool {
        self.steps.iter().all(Step::done)
    }
}

/// Tasks of a step that are neighbours and equal.
#[derive(Debug, Clone)]
pub struct TaskGroup<'a> {
    /// The repetition.
    pub round: u32,
    /// The step.
    pub step: u16,
    /// The indices of the tasks.
    pub indices: Range<u16>,
    /// What each of them is.
    pub task: &'a Task,
}

impl TaskGroup<'_> {
    /// The ids of the tasks, which are of this job.
    pub fn ids(&self, job: JobId) -> impl Iterator<Item = TaskId> + use<> {
        let (round, step) = (self.round, self.step);
        self.indices.clone().map(move |index| TaskId { job, round, step, index })
    }
}

/// The transfer of a whole job to another cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTransfer {
    /// The receiving cell.
    pub to: u32,
    /// Whether the receiving cell's log is confirmed to hold the job.
    pub delivered: bool,
}

/// An outgoing transfer of tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutgoingTransfer {
    /// The receiving cell.
    pub to: u32,
    /// The tasks.
    pub tasks: Vec<TaskId>,
    /// The position among this cell's outgoing and incoming transfers of the job.
    pub seq: u32,
    /// Whether the receiving cell's log is confirmed to hold them.
    pub delivered: bool,
    /// Whether the receiving cell's log is confirmed to hold the recall.
    pub recalled: bool,
    /// The disruption budgets that went to the receiving cell.
    pub budgets: Vec<StepBudget>,
}

/// An incoming transfer of tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncomingTransfer {
    /// The transfer's id, chosen by the sending cell.
    pub transfer: TransferId,
    /// The tasks.
    pub tasks: Vec<TaskId>,
    /// The position among this cell's outgoing and incoming transfers of the job.
    pub seq: u32,
    /// The disruption budgets that came from the sending cell.
    pub budgets: Vec<StepBudget>,
}

/// The progress of a job, as the owner of a cell stores it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The state that clients see.
    pub state: State,
    /// Repetitions that have started and are not done.
    pub rounds: BTreeMap<u32, Round>,
    /// The next repetition to start.
    pub next_round: u32,
    /// When the job ended, in milliseconds since 1970; 0 before that.
    pub ended_at: u64,
    /// The transfer of the whole job out of its home cell, if there was one.
    pub job_transfer: Option<JobTransfer>,
    /// Outgoing transfers of tasks, indexed by their numbers.
    pub outgoing: Vec<OutgoingTransfer>,
    /// Incoming transfers of tasks.
    pub incoming: Vec<IncomingTransfer>,
    /// Whether the cell has only tasks of the job from incoming transfers.
    pub incoming_only: bool,
    /// The worker losses under each task.
    pub crashes: BTreeMap<TaskId, Crashes>,
    /// How many of them are of runs that are not known to have begun; none in a record that lacks it.
    pub unbegun_losses: BTreeMap<TaskId, u8>,
    /// The numbers of runs that have lasted for a while.
    pub settled_runs: BTreeMap<TaskId, u32>,
}

impl Progress {
    /// Reads a record in the current or an earlier layout.
    ///
    /// # Errors
    ///
    /// The bytes are no progress in any layout; the error is that of the current one.
    pub fn read(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes).or_else(|e| legacy::read(bytes).ok_or(e))
    }

    /// Whether the record matches the job's specification; a record of another writer may name steps and tasks
    /// that the job doesn't have.
    pub fn fits(&self, spec: &JobSpec) -> bool {
        let complete = |round: &Round| {
            let steps = round.steps.iter().zip(&spec.steps);
            round.steps.len() == spec.steps.len()
                && steps.clone().all(|(step, s)| step.tasks.len() == usize::from(s.count))
        };
        let outgoing = self.outgoing.iter().flat_map(|h| &h.tasks);
        let incoming = self.incoming.iter().flat_map(|t| &t.tasks);
        self.rounds.values().all(complete)
            && outgoing.chain(incoming).all(|task| spec.has_task(*task))
    }

    /// Removes the entries of runs that have ended from `settled_runs`.
    pub fn forget_settled_runs(&mut self) {
        let mut settled = std::mem::take(&mut self.settled_runs);
        settled
            .retain(|&task, &mut run| self.task(task).is_some_and(|t| t.active_run(run).is_some()));
        self.settled_runs = settled;
    }

    /// Whether a task is transferred to another cell; the newest of its transfers counts.
    pub fn is_transferred(&self, id: TaskId) -> bool {
        let outgoing = self.outgoing.iter().filter(|h| h.tasks.contains(&id)).map(|h| h.seq).max();
        let incoming = self.incoming.iter().filter(|t| t.tasks.contains(&id)).map(|t| t.seq).max();
        match (outgoing, incoming) {
            (None, None) => self.incoming_only || self.job_transfer.is_some(),
            (outgoing, incoming) => outgoing > incoming,
        }
    }

    /// Whether each task is transferred or not as all others are.
    pub fn uniform(&self) -> bool {
        self.outgoing.is_empty() && self.incoming.is_empty()
    }

    /// Whether all tasks of the job are in other cells.
    pub fn all_transferred(&self) -> bool {
        (self.incoming_only || self.job_transfer.is_some()) && self.incoming.is_empty()
    }

    /// This cell's share of a step's disruption budget, of which `most` is the total over all cells; the shares
    /// that went out with transfers are subtracted.
    pub fn budget(&self, step: u16, most: u16) -> u16 {
        let sum = |budgets: &[StepBudget]| -> u16 {
            budgets.iter().filter(|b| b.step == step).map(|b| b.limit).sum()
        };
        let own = if self.incoming_only || self.job_transfer.is_some() { 0 } else { most };
        let incoming: u16 = self.incoming.iter().map(|t| sum(&t.budgets)).sum();
        let outgoing: u16 = self.outgoing.iter().map(|h| sum(&h.budgets)).sum();
        (own + incoming).saturating_sub(outgoing)
    }

    /// The position of the next transfer among those of the job.
    pub fn next_seq(&self) -> u32 {
        (self.outgoing.len() + self.incoming.len()) as u32
    }

    /// The outgoing transfer with an id.
    pub fn outgoing(&self, transfer: TransferId) -> Option<&OutgoingTransfer> {
        self.outgoing.get(transfer.number as usize)
    }

    /// The outgoing transfer with an id, mutable.
    pub fn outgoing_mut(&mut self, transfer: TransferId) -> Option<&mut OutgoingTransfer> {
        self.outgoing.get_mut(transfer.number as usize)
    }

    /// The task, if its repetition is in progress.
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        let round = self.rounds.get(&id.round)?;
        round.steps.get(usize::from(id.step))?.tasks.get(usize::from(id.index))
    }

    /// The task, mutable, if its repetition is in progress.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let round = self.rounds.get_mut(&id.round)?;
        round.steps.get_mut(usize::from(id.step))?.tasks.get_mut(usize::from(id.index))
    }

    /// Groups of equal neighbours among the tasks of the repetitions in progress.
    pub fn groups(&self) -> impl Iterator<Item = TaskGroup<'_>> {
        self.rounds.iter().flat_map(|(&round, r)| {
            r.steps.iter().zip(0u16..).flat_map(move |(s, step)| {
                s.tasks.groups().map(move |(indices, task)| {
                    let indices = indices.start as u16..indices.end as u16;
                    TaskGroup { round, step, indices, task }
                })
            })
        })
    }

    /// Stores tasks that have become equal once, where that saves much.
    pub fn compact(&mut self) {
        let steps = self.rounds.values_mut().flat_map(|round| &mut round.steps);
        steps.for_each(|step| step.tasks.compact());
    }

    /// Every task of the repetitions in progress, with its repetition, step and index.
    pub fn tasks(&self) -> impl Iterator<Item = (u32, u16, u16, &Task)> {
        self.rounds.iter().flat_map(|(&round, r)| {
            r.steps.iter().enumerate().flat_map(move |(step, s)| {
                let tasks = s.tasks.iter().enumerate();
                tasks.map(move |(index, t)| (round, step as u16, index as u16, t))
            })
        })
    }

    /// Whether the job has an active run.
    pub fn has_active(&self) -> bool {
        self.groups().any(|group| !group.task.active.is_empty())
    }
}
