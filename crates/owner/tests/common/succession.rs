//! Owners that begin from the log, and what is passed on to them.

use myrtle_job::{Incarnation, Progress, decode, encode};
use myrtle_owner::{Cell, TimeLimits};

use super::{Owner, World};

impl World {
    /// Starts a new owner, which reads the log; earlier ones go on until they are deposed.
    pub fn take_over(&mut self) -> usize {
        self.read_log(self.now, |_, _| {})
    }

    /// Starts an owner, which fences the others off from the log, and ends before it has read it.
    pub fn pass_by(&mut self) {
        self.fence += 1;
        self.began.insert(self.fence, self.now);
    }

    /// Starts a new owner that began earlier but fences the others off from the log only now, and reads it.
    pub fn take_over_since(&mut self, began: u64) -> usize {
        self.read_log(began, |_, _| {})
    }

    /// Starts a new owner and runs `meanwhile` after it has read the jobs and before it reads their progress.
    pub fn take_over_while(&mut self, meanwhile: impl FnOnce(&mut Cell, u64)) -> usize {
        self.read_log(self.now, meanwhile)
    }

    /// Starts an owner from the log.
    fn read_log(&mut self, began: u64, meanwhile: impl FnOnce(&mut Cell, u64)) -> usize {
        self.fence += 1;
        let mut cell = Cell::new(TimeLimits::default(), self.fence, began);
        cell.evacuate_centres(&self.evacuated);
        self.began.insert(self.fence, began);
        if self.seen {
            cell.ended_owners = self.began.clone();
            self.claimed.iter().for_each(|&fence| cell.add_owner(fence));
        }
        self.claimed.insert(self.fence);
        for (incarnation, record) in &self.traces {
            cell.restore_worker(incarnation, record, self.now).unwrap();
        }
        for (&id, submission) in &self.jobs {
            cell.admit(id, submission.clone(), self.now, self.now);
        }
        meanwhile(&mut cell, self.now);
        for (&id, bytes) in &self.progress {
            let progress: Progress = decode(bytes).unwrap();
            cell.restore_progress(id, progress, self.now);
        }
        let (now, wall) = (self.now, self.now);
        if let Some(model) = self.owners.last().and_then(|o| o.cell.learned_model(now, wall)) {
            cell.restore_model(&model, now, wall).unwrap();
        }
        cell.loaded = true;
        if let Some(last) = self.owners.last_mut() {
            last.followed = last.followed.or(Some(began));
        }
        let owner =
            Owner { cell, deposed: false, logged: true, awake: true, followed: None, batch: None };
        self.owners.push(owner);
        self.owners.len() - 1
    }

    /// Ends the owner between two steps and starts its successor.
    pub fn succeed(&mut self) -> usize {
        self.owner().awake = false;
        self.take_over()
    }

    /// Passes the run ends that an earlier owner received and could not log on to the newest owner.
    pub fn pass_on(&mut self, from: usize) {
        let ends = self.owners[from].cell.unlogged().to_vec();
        let now = self.now;
        ends.iter().for_each(|end| self.owner().cell.restore_end(end, now, now));
    }

    /// Removes the start times of workers from the log, as it was written before they existed.
    pub fn forget_starts(&mut self) {
        let without_start = |incarnation: &Incarnation| incarnation.with_start(0);
        let traces = std::mem::take(&mut self.traces);
        self.traces = traces
            .into_iter()
            .map(|(incarnation, record)| (without_start(&incarnation), record))
            .collect();
        for bytes in self.progress.values_mut() {
            let mut progress: Progress = decode(bytes).unwrap();
            let steps = progress.rounds.values_mut().flat_map(|round| &mut round.steps);
            let runs = steps.flat_map(|step| &mut step.tasks).flat_map(|task| &mut task.active);
            runs.for_each(|run| run.worker = without_start(&run.worker));
            *bytes = encode(&progress);
        }
    }
}
