//! What is written to the log, and what may follow once it is there.

use myrtle_job::{Incarnation, JobId, Key, State, TaskId, encode_packed};

use crate::{Cell, Order, Stage, Trace};

/// One append and what waits for it.
#[derive(Debug, Default)]
pub struct Batch {
    /// The records: a job's progress by its name; an empty value drops the job.
    pub records: Vec<(JobId, Vec<u8>)>,
    /// The descriptions of workers that are given work for the first time.
    pub traces: Vec<Trace>,
    /// Earlier owners of which the log need not tell any more, by their fencing tokens.
    pub owners: Vec<u64>,
    /// Runs to start once the records are in the log.
    starts: Vec<(Incarnation, TaskId, u32)>,
    /// Ends up to these numbers are told by the records.
    notes: Vec<(Incarnation, u64)>,
    /// States that clients may be told then.
    shown: Vec<(JobId, State)>,
    /// Records that other cells may be given then.
    due: Vec<Key>,
    /// Records of forgotten jobs.
    pub drops: Vec<Key>,
    /// How many ends the records tell of that were not in the log.
    ends: usize,
}

impl Batch {
    /// Whether there is anything to do.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.traces.is_empty() && self.notes.is_empty()
    }
}

impl Cell {
    /// Orders that may go out at once.
    pub fn orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Everything that changed since the last batch.
    pub fn batch(&mut self) -> Batch {
        let drops = std::mem::take(&mut self.drops);
        let (traces, ends) = (self.traces(), self.unlogged.len());
        let owners = self.earlier.iter().copied().collect();
        let mut batch = Batch { drops, traces, owners, ends, ..Batch::default() };
        for id in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get(&id) else {
                batch.records.push((id, self.bar_record(id)));
                continue;
            };
            batch.records.push((id, encode_packed(&job.progress)));
            batch.shown.push((id, job.progress.state));
            batch.due.extend(self.undelivered(id, job));
        }
        for (life, worker) in &self.workers {
            if worker.taken > worker.noted {
                batch.notes.push((life.clone(), worker.taken));
            }
            let written = worker.flights.iter().filter(|(_, f)| f.stage == Stage::Written);
            batch.starts.extend(written.map(|(&task, f)| (life.clone(), task, f.run)));
        }
        batch
    }

    /// The batch is in the log: returns the starts that may go out now.
    pub fn committed(&mut self, batch: Batch, now: u64) -> Vec<Order> {
        self.traced(batch.traces);
        self.earlier.retain(|fence| !batch.owners.contains(fence));
        self.bars_logged(batch.records.iter().map(|(id, _)| *id));
        self.unlogged.drain(..batch.ends.min(self.unlogged.len()));
        for (life, number) in batch.notes {
            if let Some(worker) = self.workers.get_mut(&life) {
                worker.noted = worker.noted.max(number);
            }
        }
        for (id, state) in batch.shown {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.shown = state;
            }
        }
        self.due.extend(batch.due);
        let starts = batch.starts.into_iter();
        starts.filter_map(|(life, task, run)| self.start(&life, task, run, now)).collect()
    }

    /// The order that starts a run, if it is still wanted.
    pub(crate) fn start(
        &mut self,
        life: &Incarnation,
        task: TaskId,
        run: u32,
        now: u64,
    ) -> Option<Order> {
        let worker = self.workers.get_mut(life)?;
        let flight = worker.flights.get_mut(&task)?;
        if flight.run != run || !matches!(flight.stage, Stage::Written | Stage::Unsure) {
            return None;
        }
        if self.shut_out(life, task, run, now) {
            return None;
        }
        let flight = self.workers.get_mut(life)?.flights.get_mut(&task)?;
        flight.enter(Stage::Sent, now);
        let job = self.jobs.get(&task.job)?;
        let saved = job.progress.task(task)?.saved.clone();
        let ticket = job.ticket(task, life, now);
        self.counts.starts += 1;
        let body = job.submission.spec.body.clone();
        Some(Order::Start { worker: life.clone(), task, run, body, saved, ticket })
    }
}
