//! Batches of records for the log, and what may follow once they are written.

use myrtle_job::{Incarnation, JobId, Key, State, TaskId, encode_compressed};

use crate::account::phase::Phase;
use crate::{Cell, Order, Stage, WorkerRecord};

/// One append to the log and what waits for it.
#[derive(Debug, Default)]
pub struct Batch {
    /// The records: a job's progress by its id; an empty value removes the job.
    pub records: Vec<(JobId, Vec<u8>)>,
    /// The descriptions of workers that are given work for the first time.
    pub worker_records: Vec<WorkerRecord>,
    /// Earlier owners whose records the log no longer needs, by fencing token.
    pub owners: Vec<u64>,
    /// Runs to start once the records are in the log.
    starts: Vec<(Incarnation, TaskId, u32)>,
    /// The numbers up to which the records include the ends that a worker reported.
    logged_ends: Vec<(Incarnation, u64)>,
    /// Job states that clients may be shown after the append.
    logged_states: Vec<(JobId, State)>,
    /// Records that other cells may be given after the append.
    to_deliver: Vec<Key>,
    /// Jobs of which the log holds nothing after the append.
    removed: Vec<JobId>,
    /// The number of ends in the records that were not in the log before.
    ends: usize,
}

impl Batch {
    /// Whether there is nothing to append.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.worker_records.is_empty() && self.logged_ends.is_empty()
    }
}

impl Cell {
    /// Takes the orders that can be sent at once.
    pub fn orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Collects everything that has changed since the last batch.
    pub fn batch(&mut self) -> Batch {
        let (worker_records, ends) = (self.worker_records(), self.unlogged.len());
        let mut batch = Batch { worker_records, ends, ..Batch::default() };
        if !self.earlier_owners.is_empty() && !self.unsettled() {
            batch.owners.extend(&self.earlier_owners);
        }
        for id in std::mem::take(&mut self.dirty) {
            if self.removes_progress(id) {
                batch.records.push((id, Vec::new()));
                batch.removed.push(id);
                continue;
            }
            let Some(job) = self.jobs.get_mut(&id) else {
                batch.records.push((id, self.cancel_record(id)));
                continue;
            };
            job.progress.forget_settled_runs();
            job.progress.compact();
            let job = &self.jobs[&id];
            batch.records.push((id, encode_compressed(&job.progress)));
            batch.logged_states.push((id, job.progress.state));
            batch.to_deliver.extend(self.undelivered(id, job));
        }
        for (incarnation, worker) in &self.workers {
            if worker.received_ends > worker.logged_ends {
                batch.logged_ends.push((incarnation.clone(), worker.received_ends));
            }
            let written = worker.active_runs.iter().filter(|(_, f)| f.stage == Stage::Written);
            batch.starts.extend(written.map(|(&task, f)| (incarnation.clone(), task, f.run)));
        }
        batch
    }

    /// Marks a batch as written; returns the starts that can be sent now.
    pub fn committed(&mut self, batch: Batch, now: u64) -> Vec<Order> {
        self.mark_logged(batch.worker_records);
        self.earlier_owners.retain(|fence| !batch.owners.contains(fence));
        self.cancels_logged(batch.records.iter().map(|(id, _)| *id));
        self.unlogged.drain(..batch.ends.min(self.unlogged.len()));
        for (incarnation, number) in batch.logged_ends {
            if let Some(worker) = self.workers.get_mut(&incarnation) {
                worker.logged_ends = worker.logged_ends.max(number);
            }
        }
        batch.removed.into_iter().for_each(|id| self.progress_removed(id));
        for (id, state) in batch.logged_states {
            self.state_logged(id, state, now);
        }
        self.to_deliver.extend(batch.to_deliver);
        let starts = batch.starts.into_iter();
        starts
            .filter_map(|(incarnation, task, run)| self.start(&incarnation, task, run, now))
            .collect()
    }

    /// Shows clients a job's state from now on.
    fn state_logged(&mut self, id: JobId, state: State, now: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut job.logged_state, state);
        if state.over() && !before.over() {
            self.report_end(id, now);
        }
    }

    /// The order that starts a run, if the run is still wanted.
    pub(crate) fn start(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        run: u32,
        now: u64,
    ) -> Option<Order> {
        let worker = self.workers.get_mut(incarnation)?;
        let active = worker.active_runs.get_mut(&task)?;
        if active.run != run || !matches!(active.stage, Stage::Written | Stage::Unanswered) {
            return None;
        }
        if self.withdraw_if_moot(incarnation, task, run, now) {
            return None;
        }
        let active = self.workers.get_mut(incarnation)?.active_runs.get_mut(&task)?;
        active.enter(Stage::Sent, now);
        let job = self.jobs.get_mut(&task.job)?;
        job.account.enter(task, run, Phase::Start, now);
        let saved = job.progress.task(task)?.checkpoint.clone();
        let ticket = job.ticket(task, incarnation);
        self.counts.starts += 1;
        let body = job.submission.spec.body.clone();
        Some(Order::Start { worker: incarnation.clone(), task, run, body, saved, ticket })
    }
}
