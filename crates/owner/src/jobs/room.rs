//! Whether there is room for another job.

use myrtle_job::JobId;

use crate::Cell;

/// The part of what is left that one job may take: the less is left, the smaller a job has to be, so that a crowd of
/// large ones keeps no small one out.
const SHARE: usize = 32;

/// How long a sum over all jobs is used, in milliseconds; what is accepted meanwhile is added.
const COUNT_EVERY: u64 = 100;

/// The memory for jobs.
#[derive(Debug, Clone)]
pub struct JobRoom {
    /// The most bytes for the jobs of a cell.
    pub limit: usize,
    /// What they take, by the last sum.
    counted: usize,
    counted_at: Option<u64>,
}

impl Default for JobRoom {
    fn default() -> Self {
        Self { limit: usize::MAX, counted: 0, counted_at: None }
    }
}

impl Cell {
    /// Whether a job of so many bytes may be accepted; one that is known always may, as it is a repeat.
    pub fn admits(&mut self, id: JobId, bytes: usize, now: u64) -> bool {
        if self.jobs.contains_key(&id) {
            return true;
        }
        if self.job_room.counted_at.is_none_or(|at| now >= at + COUNT_EVERY) {
            let jobs = self.jobs.values().map(|job| job.submission.spec.memory());
            (self.job_room.counted, self.job_room.counted_at) = (jobs.sum(), Some(now));
        }
        let room = &mut self.job_room;
        let fits = bytes <= room.limit.saturating_sub(room.counted) / SHARE;
        room.counted += if fits { bytes } else { 0 };
        fits
    }
}
