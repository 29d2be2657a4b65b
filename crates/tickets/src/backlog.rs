//! The steps of a cell that wait for their question, and which of them is asked about next.
//!
//! Load pattern: a burst of jobs on one queue, or one job of many steps, brings more questions than
//! the service answers in time, while questions of other queues and jobs go on coming. Queues of the
//! same priority take turns by the service's time, and within a queue jobs by the number of their
//! questions, then by the order in which the cell places them. Every few questions the one that has
//! waited longest goes first, so that no step waits for ever behind more urgent ones.

use std::collections::BTreeMap;

use myrtle_job::JobId;

use crate::StepId;
use crate::shares::Shares;

/// Of so many questions, one is about the step that has waited longest.
const LONGEST_EVERY: u64 = 4;

/// A step that waits for its question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Need {
    /// Since when it waits.
    pub since: u64,
    /// The queue of its job.
    pub queue: String,
    /// The priority of the queue; 0 is the highest.
    pub priority: u32,
    /// The position of its job in the order in which the cell places jobs.
    pub place: usize,
}

/// The steps of a cell that wait for their question.
#[derive(Debug, Default)]
pub struct Backlog {
    needs: BTreeMap<StepId, Need>,
    /// The service's time that queues have used, in milliseconds.
    queues: Shares<String>,
    /// The questions about jobs.
    jobs: Shares<JobId>,
    turns: u64,
}

impl Backlog {
    /// Adds a step, unless it waits already.
    pub fn add(&mut self, step: StepId, need: Need) {
        if !self.contains(step) {
            self.queues.enter(&need.queue);
            self.jobs.enter(&step.job);
            self.needs.insert(step, need);
        }
    }

    /// Updates the place of a step; false if it doesn't wait.
    pub fn update_place(&mut self, step: StepId, place: usize) -> bool {
        self.needs.get_mut(&step).map(|need| need.place = place).is_some()
    }

    /// Whether a step waits.
    pub fn contains(&self, step: StepId) -> bool {
        self.needs.contains_key(&step)
    }

    /// Takes the step to ask about next.
    pub fn take(&mut self) -> Option<(StepId, Need)> {
        let longest = self.turns % LONGEST_EVERY == LONGEST_EVERY - 1;
        let next = match longest {
            true => self.needs.iter().min_by_key(|(step, need)| (need.since, **step)),
            false => self.needs.iter().min_by_key(|(step, need)| self.rank(step, need)),
        };
        let step = *next?.0;
        self.remove(step).map(|need| (step, need))
    }

    /// Counts a question that is sent and takes the service `work` milliseconds.
    pub fn sent(&mut self, step: StepId, need: &Need, work: u64) {
        self.turns += 1;
        self.queues.charge(&need.queue, work);
        self.jobs.charge(&step.job, 1);
    }

    /// Drops the steps that no longer wait for a question.
    pub fn retain(&mut self, keep: impl Fn(StepId) -> bool) {
        let needless: Vec<StepId> =
            self.needs.keys().copied().filter(|step| !keep(*step)).collect();
        needless.into_iter().for_each(|step| drop(self.remove(step)));
    }

    /// The number of steps that wait.
    pub fn len(&self) -> usize {
        self.needs.len()
    }

    /// Whether no step waits.
    pub fn is_empty(&self) -> bool {
        self.needs.is_empty()
    }

    /// Since when the step that has waited longest waits.
    pub fn oldest(&self) -> Option<u64> {
        self.needs.values().map(|need| need.since).min()
    }

    fn remove(&mut self, step: StepId) -> Option<Need> {
        let need = self.needs.remove(&step)?;
        self.queues.leave(&need.queue);
        self.jobs.leave(&step.job);
        Some(need)
    }

    fn rank(&self, step: &StepId, need: &Need) -> (u32, u64, u64, usize, u64, StepId) {
        let (used, asked) = (self.queues.used(&need.queue), self.jobs.used(&step.job));
        (need.priority, used, asked, need.place, need.since, *step)
    }
}
