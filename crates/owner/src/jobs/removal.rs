//! Removes jobs that are over from the cell's logs.
//!
//! A job is in two logs: its records (what was submitted, and what other cells transferred) in that of jobs, its
//! progress in that of progress. No append covers both, and an owner may end between the two. So the records go first,
//! and the progress only once they are certainly gone. Each combination has one meaning:
//!
//! | records | progress | meaning |
//! |---|---|---|
//! | present | none | accepted, and nothing has happened yet |
//! | present | present | what the progress says |
//! | none | over, or transferred as a whole | its removal is under way; the progress goes next |
//! | none | a cancellation alone | cancelled before its record arrived |
//!
//! A job is known until both are gone, so that its id is new to clients only when it is new to the log. A record at an
//! offset after the removal belongs to a job that was submitted anew under the same id.
//!
//! Owners of earlier builds removed the progress first. What they left behind looks like a job of which nothing has
//! happened, so it is compared with the history of the log of progress. Their own records stay in the log until that is
//! settled, so that a successor compares as well.

use std::collections::{BTreeMap, BTreeSet};

use log::{info, warn};

use myrtle_job::{JobId, Key, Progress, State, Submission, TransferId};

use crate::{Cell, Job};

/// The records of one job to remove in one append.
pub type RemovalGroup = Vec<Key>;

/// What the history of the log of progress says about jobs that have no progress.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct History {
    /// Those whose progress was removed.
    pub removed: BTreeSet<JobId>,
    /// Whether the history goes back to the beginning.
    pub complete: bool,
}

/// How far the removal of a job's records has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RemovalPhase {
    /// They are to be removed, or may be removed already.
    Ordered,
    /// They are removed; the last of these removals has this offset.
    Appended(u64),
    /// All records up to that offset have been read too, so any other record of the job is a new one.
    Read,
}

/// The removal of a job's records.
#[derive(Debug)]
struct Removal {
    keys: RemovalGroup,
    phase: RemovalPhase,
}

/// The removals of a cell.
#[derive(Debug, Default)]
pub(crate) struct Removals {
    jobs: BTreeMap<JobId, Removal>,
    /// Those that have to be appended to the log.
    queue: Vec<RemovalGroup>,
    /// Jobs that an owner of an earlier build may have removed in part.
    doubtful: BTreeSet<JobId>,
    /// Recalls in the log, by job.
    recalls: BTreeMap<JobId, BTreeSet<TransferId>>,
}

impl Cell {
    /// Begins to remove jobs that have been over for as long as their state has to be kept.
    pub fn remove_expired(&mut self, now: u64, wall: u64) {
        let keep = self.keep();
        self.expire_cancels(keep, now);
        let is_expired = |j: &Job| {
            let ended = j.progress.ended_at;
            let notified = j.progress.outgoing.iter().all(|h| h.recalled);
            // Without its records a job that is not over in the log could never be finished.
            let over = j.progress.state.over() && j.logged_state.over();
            over && wall > ended + keep && !j.progress.has_active() && notified
        };
        let expired: Vec<_> =
            self.jobs.iter().filter(|(_, j)| is_expired(j)).map(|(&id, _)| id).collect();
        expired.into_iter().for_each(|id| self.order_removal(id));
    }

    /// Takes the records to remove from the log of jobs, those of a job together.
    pub fn take_removals(&mut self) -> Vec<RemovalGroup> {
        std::mem::take(&mut self.removals.queue)
    }

    /// The number of jobs that are being removed.
    pub fn open_removals(&self) -> usize {
        self.removals.jobs.len()
    }

    /// Notes that the log holds these removals, the last one at offset `last`.
    pub fn removals_appended(&mut self, groups: &[RemovalGroup], last: u64) {
        for group in groups {
            let id = group.first().map(|key| key.job());
            let removal = id.and_then(|id| self.removals.jobs.get_mut(&id));
            if let Some(removal) = removal.filter(|r| r.keys == *group) {
                removal.phase = RemovalPhase::Appended(last);
            }
        }
    }

    /// Notes that all records of the log of jobs before offset `next` have been read.
    pub fn records_read(&mut self, next: u64) {
        let read = |r: &Removal| matches!(r.phase, RemovalPhase::Appended(last) if last < next);
        let removals = self.removals.jobs.iter().filter(|(_, r)| read(r));
        let read: Vec<JobId> = removals.map(|(&id, _)| id).collect();
        read.into_iter().for_each(|id| self.removal_read(id));
    }

    /// Notes the offset of a submission before it is admitted.
    pub fn submission_read(&mut self, id: JobId, offset: u64) {
        let phase = self.removals.jobs.get(&id).map(|r| r.phase);
        if matches!(phase, Some(RemovalPhase::Appended(last)) if last < offset) {
            self.removal_read(id);
        }
    }

    /// Admits a job that has no progress, of which an owner of an earlier build may have removed it.
    pub fn admit_unproven(
        &mut self,
        id: JobId,
        submission: Submission,
        history: &History,
        now: u64,
        wall: u64,
    ) {
        if self.removing(id) {
            return;
        }
        if history.removed.contains(&id) {
            info!("event=job-left-behind job={id} reason=\"only its submission was not removed\"");
            return self.remove_records(id, vec![Key::Job(id)]);
        }
        let old = wall > submission.accepted_at + self.keep();
        self.admit(id, submission, now, wall);
        if old && !history.complete {
            self.withhold(
                id,
                "an earlier owner may have removed its progress; cancel it, then submit it anew",
            );
            self.removals.doubtful.insert(id);
        }
    }

    /// How long jobs that are over are kept, in milliseconds.
    fn keep(&self) -> u64 {
        self.limits.status_ttl + self.limits.status_ttl / 2
    }

    /// Begins to remove a job; it is known until the log holds nothing of it.
    pub(crate) fn order_removal(&mut self, id: JobId) {
        if self.jobs.contains_key(&id) && !self.removals.jobs.contains_key(&id) {
            self.remove_records(id, self.record_keys(id));
        }
    }

    /// Continues the removal of a job whose records are gone.
    pub(crate) fn continue_removal(&mut self, id: JobId, progress: &Progress) {
        if progress.state.over() || progress.job_transfer.is_some() {
            info!("event=removal-continued job={id} state={}", progress.state);
            self.dirty.insert(id);
        } else {
            warn!("event=orphan job={id} reason=\"the log holds its progress but not the job\"");
        }
    }

    /// Forgets a job whose records are gone, since it was submitted anew; true if so.
    pub(crate) fn supersede(&mut self, id: JobId) -> bool {
        let superseded = self.removals.jobs.get(&id).is_some_and(|r| r.phase == RemovalPhase::Read);
        if superseded {
            self.forget(id);
            // The next record replaces the progress of the one before.
            self.dirty.insert(id);
        }
        superseded
    }

    /// Whether a job's records are being removed.
    pub(crate) fn removing(&self, id: JobId) -> bool {
        self.removals.jobs.contains_key(&id)
    }

    /// Whether only the progress of a job is left to be removed.
    ///
    /// A record that arrived meanwhile has to be removed as well.
    pub(crate) fn removes_progress(&mut self, id: JobId) -> bool {
        let Some(removal) = self.removals.jobs.get(&id).filter(|r| r.phase == RemovalPhase::Read)
        else {
            return false;
        };
        let keys = self.record_keys(id);
        let complete = keys.iter().all(|key| removal.keys.contains(key));
        if !complete {
            self.remove_records(id, keys);
        }
        complete
    }

    /// Forgets a job of which the log holds nothing any more.
    pub(crate) fn progress_removed(&mut self, id: JobId) {
        if !self.removing(id) {
            return;
        }
        if self.removes_progress(id) {
            self.forget(id);
        } else {
            self.dirty.insert(id);
        }
    }

    /// Whether the log still has to name earlier owners, since what they left behind is not settled.
    pub(crate) fn unsettled(&self) -> bool {
        let mut left_behind = self.removals.jobs.keys().filter(|id| !self.jobs.contains_key(id));
        let doubtful = |id| self.jobs.get(id).is_some_and(|job| !job.logged_state.over());
        left_behind.next().is_some() || self.removals.doubtful.iter().any(doubtful)
    }

    /// Notes a recall in the log.
    pub(crate) fn note_recall(&mut self, transfer: TransferId) {
        self.removals.recalls.entry(transfer.job).or_default().insert(transfer);
    }

    /// Removes the recalls of a job that never arrived.
    pub(crate) fn remove_recalls(&mut self, id: JobId) {
        if let Some(recalls) = self.removals.recalls.remove(&id) {
            self.removals.queue.push(recalls.into_iter().map(Key::Recall).collect());
        }
    }

    /// The keys of all records of a job.
    fn record_keys(&self, id: JobId) -> RemovalGroup {
        let Some(job) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let incoming = job.progress.incoming.iter().map(|t| t.transfer);
        let recalls = self.removals.recalls.get(&id).into_iter().flatten().copied();
        let own = (!job.progress.incoming_only).then_some(Key::Job(id));
        let transfers = incoming.clone().map(Key::Transfer);
        let keys = transfers.chain(incoming.chain(recalls).map(Key::Recall)).chain(own);
        keys.collect::<BTreeSet<_>>().into_iter().collect()
    }

    fn remove_records(&mut self, id: JobId, keys: RemovalGroup) {
        self.removals.queue.push(keys.clone());
        self.removals.jobs.insert(id, Removal { keys, phase: RemovalPhase::Ordered });
    }

    /// Notes that no record of a job before its removal will be read any more.
    fn removal_read(&mut self, id: JobId) {
        if !self.jobs.contains_key(&id) {
            // Its progress was removed before.
            self.removals.jobs.remove(&id);
            return;
        }
        if let Some(removal) = self.removals.jobs.get_mut(&id) {
            removal.phase = RemovalPhase::Read;
            self.dirty.insert(id);
        }
    }

    fn forget(&mut self, id: JobId) {
        self.jobs.remove(&id);
        self.removals.jobs.remove(&id);
        self.removals.recalls.remove(&id);
    }
}

/// Whether progress is that of a job, not only of a cancellation that came before it.
pub(crate) fn is_of_job(progress: &Progress) -> bool {
    progress.state != State::Cancelled || progress.next_round > 0 || progress.incoming_only
}
