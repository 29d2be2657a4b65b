//! Early cancellations: jobs that were cancelled before their records arrived.
//!
//! Fault: the record of such a job may still be on its way, and its owner may be replaced before it
//! arrives, so the log holds the cancellation as the progress of a job that is over.

use std::collections::BTreeSet;

use myrtle_job::{JobId, Progress, State, encode};

use crate::Cell;

/// A cancellation that came before its job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EarlyCancel {
    /// When it came or, after a takeover, when this owner read it, by the steady clock.
    since: u64,
    /// The time of day when it came, in milliseconds since 1970.
    wall: u64,
    /// Whether the log holds the cancellation.
    logged: bool,
}

impl Cell {
    /// Cancels a job that is not known: if its record still arrives, it is not started.
    pub fn cancel_early(&mut self, id: JobId, now: u64, wall: u64) {
        self.early_cancels.entry(id).or_insert_with(|| {
            self.dirty.insert(id);
            EarlyCancel { since: now, wall, logged: false }
        });
    }

    /// Whether the log holds the early cancellation of a job; true if there is none.
    pub fn cancel_logged(&self, id: JobId) -> bool {
        self.early_cancels.get(&id).is_none_or(|cancel| cancel.logged)
    }

    /// Restores an early cancellation that an earlier owner wrote.
    pub(crate) fn restore_cancel(&mut self, id: JobId, progress: &Progress, now: u64) {
        self.early_cancels
            .insert(id, EarlyCancel { since: now, wall: progress.ended_at, logged: true });
    }

    /// The record of an early cancellation; empty if there is none.
    pub(crate) fn cancel_record(&self, id: JobId) -> Vec<u8> {
        self.early_cancels.get(&id).map_or_else(Vec::new, |cancel| {
            encode(&Progress {
                state: State::Cancelled,
                ended_at: cancel.wall,
                ..Progress::default()
            })
        })
    }

    /// Marks early cancellations as written to the log.
    pub(crate) fn cancels_logged(&mut self, ids: impl Iterator<Item = JobId>) {
        for id in ids {
            if let Some(cancel) = self.early_cancels.get_mut(&id) {
                cancel.logged = true;
            }
        }
    }

    /// Removes early cancellations that are older than `keep` milliseconds; no record arrives that
    /// late.
    pub(crate) fn expire_cancels(&mut self, keep: u64, now: u64) {
        let expired = self
            .early_cancels
            .iter()
            .filter(|(_, cancel)| now.saturating_sub(cancel.since) >= keep);
        let expired: BTreeSet<_> = expired.map(|(&id, _)| id).collect();
        self.early_cancels.retain(|id, _| !expired.contains(id));
        expired.iter().for_each(|&id| self.remove_recalls(id));
        self.dirty.extend(expired);
    }
}
