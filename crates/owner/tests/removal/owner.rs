//! An owner with its host's tasks: one reads the log of jobs, one writes progress, one removes records.

use std::collections::BTreeSet;

use myrtle_job::{Incarnation, JobId, Key, Listing, Progress, Submission, decode};
use myrtle_owner::{Batch, Cell, History, Order, RemovalGroup, TimeLimits};

use super::log::{Logs, Written};

/// How long the state of a job that is over is kept, in milliseconds.
pub const STATUS: u64 = 2_000;

/// The time between two searches for jobs to remove, in milliseconds.
const FORGET_EVERY: u64 = 500;

/// The outcome of one attempt of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// It is carried out and answered.
    Answered,
    /// It is carried out, but the answer is lost.
    Unanswered,
    /// It is refused.
    Refused,
    /// It is carried out this many milliseconds later, without an answer.
    Late(u64),
}

/// A removal that is under way, with its number.
#[derive(Debug, Clone)]
struct Removal {
    groups: Vec<RemovalGroup>,
    number: u64,
}

/// An append that arrives later: when, by which owner, its number and its keys.
pub type Held = (u64, u64, u64, Vec<Key>);

/// An owner of the cell.
pub struct Owner {
    pub cell: Cell,
    pub ended: bool,
    next: u64,
    batch: Option<Batch>,
    batches: u64,
    removal: Option<Removal>,
    removals: u64,
}

impl Owner {
    /// An owner that has read the logs.
    pub fn load(logs: &mut Logs, fence: u64, worker: (&Incarnation, &Listing), now: u64) -> Self {
        // The token fences earlier owners off the log of progress before that is read.
        logs.write(fence, 0, &[], &[]);
        let limits = TimeLimits { status_ttl: STATUS, ..TimeLimits::default() };
        let mut cell = Cell::new(limits, fence, now);
        let records = logs.newest();
        logs.owners.keys().for_each(|&earlier| cell.add_owner(earlier));
        let proven = !logs.owners.is_empty() && logs.owners.values().all(|ordered| *ordered);
        let of_job = |key: &Key| matches!(key, Key::Job(_)).then(|| key.job());
        let ids = records.iter().filter_map(|(key, ..)| of_job(key));
        let unproven: BTreeSet<JobId> =
            ids.filter(|id| !proven && !logs.progress.contains_key(id)).collect();
        let removed = unproven.intersection(&logs.history).copied().collect();
        let history = History { removed, complete: logs.complete };
        for (key, value, _) in &records {
            let submission: Submission = decode(value).unwrap();
            match unproven.contains(&key.job()) {
                true => cell.admit_unproven(key.job(), submission, &history, now, now),
                false => cell.admit(key.job(), submission, now, now),
            }
        }
        for (&id, bytes) in &logs.progress {
            cell.restore_progress(id, Progress::read(bytes).unwrap(), now);
        }
        cell.loaded = true;
        cell.apply_listing(worker.0.id(), worker.1.clone(), now);
        logs.owners.insert(fence, true);
        Self {
            cell,
            ended: false,
            next: logs.end(),
            batch: None,
            batches: 1,
            removal: None,
            removals: 0,
        }
    }

    /// Reads up to `count` records of jobs.
    pub fn read(&mut self, logs: &Logs, count: u64, now: u64) {
        if self.next < logs.first {
            for (key, value, offset) in logs.newest() {
                self.admit(key, &value, offset, now);
            }
            self.next = logs.end();
        }
        let end = logs.end().min(self.next + count);
        while self.next < end {
            let (key, value) = &logs.jobs[self.next as usize];
            self.admit(*key, value, self.next, now);
            self.next += 1;
        }
        self.cell.records_read(self.next);
    }

    fn admit(&mut self, key: Key, value: &[u8], offset: u64, now: u64) {
        if !value.is_empty() {
            self.cell.submission_read(key.job(), offset);
            self.cell.admit(key.job(), decode(value).unwrap(), now, now);
        }
    }

    /// Writes what has changed; returns the starts that may be sent.
    pub fn write(&mut self, logs: &mut Logs, attempt: Attempt, now: u64) -> Vec<Order> {
        self.cell.plan(now);
        let batch = self.batch.take().unwrap_or_else(|| self.cell.batch());
        if batch.is_empty() {
            return Vec::new();
        }
        if attempt == Attempt::Refused {
            self.batch = Some(batch);
            return Vec::new();
        }
        let fence = self.cell.fence;
        match logs.write(fence, self.batches, &batch.records, &batch.owners) {
            Written::Rejected => {
                self.ended = true;
                Vec::new()
            }
            Written::Done(_) if attempt != Attempt::Answered => {
                self.batch = Some(batch);
                Vec::new()
            }
            Written::Done(_) => {
                self.batches += 1;
                self.cell.committed(batch, now)
            }
        }
    }

    /// Removes records of jobs that are over; returns an append that arrives later.
    pub fn remove(&mut self, logs: &mut Logs, attempt: Attempt, now: u64) -> Option<Held> {
        if now.is_multiple_of(FORGET_EVERY) {
            self.cell.remove_expired(now, now);
        }
        let removal = self.removal.take().or_else(|| self.next_removal())?;
        let keys = removal.groups.concat();
        let (fence, number) = (self.cell.fence, removal.number);
        let mut held = None;
        match attempt {
            Attempt::Refused => self.removal = Some(removal),
            Attempt::Late(by) => {
                held = Some((now + by, fence, number, keys));
                self.removal = Some(removal);
            }
            Attempt::Answered | Attempt::Unanswered => match logs.remove(fence, number, &keys) {
                Written::Rejected => self.ended = true,
                Written::Done(_) if attempt == Attempt::Unanswered => self.removal = Some(removal),
                Written::Done(offset) => {
                    self.cell.removals_appended(&removal.groups, offset + keys.len() as u64 - 1);
                    self.cell.records_read(self.next);
                }
            },
        }
        held
    }

    fn next_removal(&mut self) -> Option<Removal> {
        let groups = self.cell.take_removals();
        let removal = Removal { groups, number: self.removals };
        (!removal.groups.is_empty()).then(|| {
            self.removals += 1;
            removal
        })
    }
}
