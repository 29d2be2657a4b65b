//! The logs of a cell: jobs with offsets, and progress.

use std::collections::{BTreeMap, BTreeSet};

use myrtle_job::{JobId, Key};

/// The number of a writer's calls whose results are kept for repeats.
const KEPT_RESULTS: usize = 5;

/// A topic of the cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    Jobs,
    Progress,
}

/// The state of a topic's writer: its token, and the numbers and offsets of its last calls.
#[derive(Debug, Default)]
pub struct WriterState {
    epoch: u64,
    calls: Vec<(u64, u64)>,
}

/// What became of an append under a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// It is carried out, now or by an earlier call of this number; the offset of its first record.
    Done(u64),
    /// A later token was seen, or the number does not follow.
    Rejected,
}

impl WriterState {
    /// Counts a call; `end` is the end of the partition. True if its records are to be appended.
    fn count(&mut self, epoch: u64, number: u64, end: u64) -> (Written, bool) {
        if epoch < self.epoch {
            return (Written::Rejected, false);
        }
        if epoch > self.epoch {
            *self = Self { epoch, calls: Vec::new() };
        }
        if let Some((_, offset)) = self.calls.iter().find(|(n, _)| *n == number) {
            return (Written::Done(*offset), false);
        }
        if self.calls.last().is_some_and(|(last, _)| last + 1 != number) {
            return (Written::Rejected, false);
        }
        self.calls.push((number, end));
        let excess = self.calls.len().saturating_sub(KEPT_RESULTS);
        self.calls.drain(..excess);
        (Written::Done(end), true)
    }
}

/// The logs of a cell.
#[derive(Debug, Default)]
pub struct Logs {
    /// The records of jobs; an empty value removes its key.
    pub jobs: Vec<(Key, Vec<u8>)>,
    /// The offset of the first of them that can be read.
    pub first: u64,
    pub progress: BTreeMap<JobId, Vec<u8>>,
    /// The ids in the history of the log of progress.
    pub history: BTreeSet<JobId>,
    /// Whether that history goes back to the beginning.
    pub complete: bool,
    /// The owners that the log names, and whether each removes the records of a job first.
    pub owners: BTreeMap<u64, bool>,
    job_writer: WriterState,
    progress_writer: WriterState,
    /// The number of removals and of writes of progress that were carried out.
    pub appends: [usize; 2],
}

impl Logs {
    /// Empty logs with their whole history.
    pub fn new() -> Self {
        Self { complete: true, ..Self::default() }
    }

    pub fn end(&self) -> u64 {
        self.jobs.len() as u64
    }

    pub fn submit(&mut self, id: JobId, record: Vec<u8>) {
        self.jobs.push((Key::Job(id), record));
    }

    /// Removes records of jobs under an owner's token.
    pub fn remove(&mut self, epoch: u64, number: u64, keys: &[Key]) -> Written {
        let (written, new) = self.job_writer.count(epoch, number, self.jobs.len() as u64);
        if new {
            self.appends[0] += 1;
            self.jobs.extend(keys.iter().map(|key| (*key, Vec::new())));
        }
        written
    }

    /// Writes progress under an owner's token.
    pub fn write(
        &mut self,
        epoch: u64,
        number: u64,
        records: &[(JobId, Vec<u8>)],
        owners: &[u64],
    ) -> Written {
        let (written, new) = self.progress_writer.count(epoch, number, 0);
        if !new {
            return written;
        }
        self.appends[1] += 1;
        self.owners.retain(|fence, _| !owners.contains(fence));
        for (id, value) in records {
            self.history.insert(*id);
            match value.is_empty() {
                true => drop(self.progress.remove(id)),
                false => drop(self.progress.insert(*id, value.clone())),
            }
        }
        written
    }

    /// The newest record of each key with its offset.
    pub fn newest(&self) -> Vec<(Key, Vec<u8>, u64)> {
        let mut newest = BTreeMap::new();
        for ((key, value), offset) in self.jobs.iter().zip(0..) {
            newest.insert(*key, (value, offset));
        }
        let present = newest.into_iter().filter(|(_, (value, _))| !value.is_empty());
        present.map(|(key, (value, offset))| (key, value.clone(), offset)).collect()
    }

    /// Drops the history of both topics; the newest records stay.
    pub fn cut(&mut self) {
        self.first = self.end();
        self.history.clear();
        self.complete = false;
    }
}
