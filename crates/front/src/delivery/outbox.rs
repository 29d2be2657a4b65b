//! The records for other cells that wait to be appended, and which of them go with the next append.
//!
//! Load pattern: a cell hands on hundreds of jobs at once while the store is slow. A partition takes its appends one
//! after the other, so one a record would time out behind the others and be made again. Each cell's partition gets one
//! append at a time, with all that waits for it by then.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use myrtle_owner::Delivery;

use crate::backoff::Backoff;

/// The most records of an append.
const MAX_RECORDS: usize = 256;

/// The most bytes of an append beyond its first record; below the platform's limit of 2 MB a call.
const MAX_BYTES: usize = 1 << 20;

/// The pause after a first failure; it doubles with each one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// The records for one cell.
#[derive(Debug)]
struct Lane {
    waiting: VecDeque<Delivery>,
    /// The most records of the next append.
    most: usize,
    backoff: Backoff,
}

/// The records for other cells, by cell.
#[derive(Debug, Default)]
pub struct Outbox {
    lanes: BTreeMap<u32, Lane>,
}

impl Outbox {
    /// Adds a record; true if nothing is being appended for its cell, so that it has to be begun.
    pub fn add(&mut self, delivery: Delivery) -> bool {
        let idle = !self.lanes.contains_key(&delivery.to);
        let backoff = || Backoff::new(FIRST_PAUSE, MAX_PAUSE);
        let empty = || Lane { waiting: VecDeque::new(), most: MAX_RECORDS, backoff: backoff() };
        let lane = self.lanes.entry(delivery.to).or_insert_with(empty);
        lane.waiting.push_back(delivery);
        idle
    }

    /// Takes the records of the next append for a cell; none if nothing waits, and appending ends.
    pub fn next(&mut self, cell: u32) -> Vec<Delivery> {
        let Some(lane) = self.lanes.get_mut(&cell) else {
            return Vec::new();
        };
        let mut batch: Vec<Delivery> = Vec::new();
        let mut bytes = 0;
        while let Some(delivery) = lane.waiting.front() {
            bytes += delivery.record.len();
            if batch.len() >= lane.most || !batch.is_empty() && bytes > MAX_BYTES {
                break;
            }
            batch.extend(lane.waiting.pop_front());
        }
        if batch.is_empty() {
            self.lanes.remove(&cell);
        }
        batch
    }

    /// Records that an append for a cell succeeded.
    pub fn succeeded(&mut self, cell: u32) {
        if let Some(lane) = self.lanes.get_mut(&cell) {
            lane.most = (2 * lane.most).min(MAX_RECORDS);
            lane.backoff.reset();
        }
    }

    /// Puts the records of a failed append back; returns the pause before the next one.
    ///
    /// If the store rejects an append for good, one of its records is at fault. Smaller ones find it, and it then goes
    /// behind all others.
    pub fn failed(&mut self, cell: u32, batch: Vec<Delivery>, rejected: bool) -> Duration {
        let Some(lane) = self.lanes.get_mut(&cell) else {
            return Duration::ZERO;
        };
        if rejected && batch.len() == 1 {
            lane.waiting.extend(batch);
        } else {
            if rejected {
                lane.most = (batch.len() / 2).max(1);
            }
            batch.into_iter().rev().for_each(|delivery| lane.waiting.push_front(delivery));
        }
        lane.backoff.pause()
    }
}
