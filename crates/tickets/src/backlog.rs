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
    /// The service's time that each queue with waiting steps has used, in milliseconds.
    used: BTreeMap<String, u64>,
    /// The questions about each job with waiting steps.
    asked: BTreeMap<JobId, u32>,
    turns: u64,
}

impl Backlog {
    /// Adds a step, unless it waits already.
    pub fn add(&mut self, step: StepId, need: Need) {
        // A queue that comes back continues with those that have used least.
        let least = self.used.values().min().copied().unwrap_or(0);
        self.used.entry(need.queue.clone()).or_insert(least);
        self.needs.entry(step).or_insert(need);
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
        self.needs.remove(&step).map(|need| (step, need))
    }

    /// Counts a question that is sent and takes the service `work` milliseconds.
    pub fn sent(&mut self, step: StepId, need: &Need, work: u64) {
        self.turns += 1;
        *self.used.entry(need.queue.clone()).or_default() += work;
        *self.asked.entry(step.job).or_default() += 1;
        if self.needs.is_empty() {
            self.used.clear();
            self.asked.clear();
        }
    }

    /// Drops the steps that no longer wait for a question.
    pub fn retain(&mut self, keep: impl Fn(StepId) -> bool) {
        self.needs.retain(|step, _| keep(*step));
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

    fn rank(&self, step: &StepId, need: &Need) -> (u32, u64, u32, usize, u64, StepId) {
        let used = self.used.get(&need.queue).copied().unwrap_or(0);
        let asked = self.asked.get(&step.job).copied().unwrap_or(0);
        (need.priority, used, asked, need.place, need.since, *step)
    }
}
