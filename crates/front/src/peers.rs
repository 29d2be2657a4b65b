//! Serves the calls of other front hosts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tarpc::context::Context;
use tokio::time::{sleep, timeout};

use myrtle_job::{CellReport, JobId, Load, RunEnd};
use myrtle_owner::Cell;
use myrtle_peer::{Forwarded, FrontPeer, JobReport};

use crate::clock::{now, wall};
use crate::host::Host;
use crate::job_log::read_new;
use crate::owned::Owned;
use crate::{handoff, intake, job_room};

/// The longest time in which a job from another host is written.
const WRITE_LIMIT: Duration = Duration::from_millis(2_500);

/// The part of the caller's time that is reserved for the reply.
const REPLY_TIME: Duration = Duration::from_millis(30);

/// How long a call waits for an owner that is still reading the log; shorter than the caller's limit.
const LOAD_WAIT: Duration = Duration::from_millis(500);

/// The time between two checks whether the log has been read.
const POLL: Duration = Duration::from_millis(20);

/// The longest wait until the log holds a cancellation.
const CANCEL_LIMIT: Duration = Duration::from_millis(2_500);

/// The service for other front hosts.
#[derive(Debug, Clone)]
pub struct Server(pub Arc<Host>);

impl FrontPeer for Server {
    async fn state(self, _: Context, cell: u32, job: JobId) -> JobReport {
        state(&self.0, cell, job).await
    }

    async fn cancel(self, _: Context, cell: u32, job: JobId) -> JobReport {
        cancel(&self.0, cell, job).await
    }

    async fn pending(self, _: Context, cell: u32) -> Option<BTreeMap<String, u64>> {
        pending(&self.0, cell)
    }

    async fn forward(self, context: Context, cell: u32, job: JobId, record: Vec<u8>) -> Forwarded {
        let left = context.deadline.saturating_duration_since(Instant::now());
        let limit = left.saturating_sub(REPLY_TIME).min(WRITE_LIMIT);
        intake::write_here(&self.0, cell, job, record, limit).await
    }

    async fn release_cell(self, _: Context, cell: u32) {
        self.0.ask_release(cell);
    }

    async fn load(self, _: Context, cell: u32) -> Option<Load> {
        load(&self.0, cell)
    }

    async fn can_write(self, _: Context, cell: u32) -> bool {
        self.0.owned(cell).is_some_and(|owned| !owned.closed()) && !self.0.store_lost()
    }

    async fn report_ends(self, _: Context, cell: u32, fence: u64, ends: Vec<RunEnd>) -> bool {
        handoff::receive(&self.0, cell, fence, &ends)
    }

    async fn cell_report(self, _: Context, cell: u32) -> Option<CellReport> {
        cell_report(&self.0, cell)
    }

    async fn admits(self, _: Context, cell: u32, job: JobId, bytes: u64) -> Option<bool> {
        job_room::answer(&self.0, cell, job, bytes as usize)
    }

    async fn explain(self, _: Context, cell: u32, job: JobId) -> Vec<String> {
        self.0.owned(cell).map_or_else(Vec::new, |o| o.state().explain(job, now()))
    }
}

/// The state of a job, if this host owns the cell.
pub async fn state(host: &Host, cell: u32, job: JobId) -> JobReport {
    let Some(owned) = host.owned(cell).filter(|o| !o.closed()) else {
        return JobReport::Elsewhere;
    };
    if !wait_loaded(&owned).await {
        return JobReport::Elsewhere;
    }
    if let Some(seen) = in_memory(&owned, job) {
        return seen;
    }
    if !caught_up(host, &owned).await {
        return JobReport::Elsewhere;
    }
    in_memory(&owned, job).unwrap_or(JobReport::Unknown)
}

/// Waits until the owner has read the log, and returns whether it has; before that the progress of jobs is missing.
async fn wait_loaded(owned: &Owned) -> bool {
    let read = async {
        while !owned.state().loaded {
            sleep(POLL).await;
        }
    };
    timeout(LOAD_WAIT, read).await.is_ok()
}

/// The state of a job in the owner's memory.
fn in_memory(owned: &Owned, job: JobId) -> Option<JobReport> {
    let cell = owned.state();
    let moved = cell.transferred_to(job).map(JobReport::Moved);
    moved.or_else(|| cell.state(job).map(JobReport::Job))
}

/// The load of a cell, if this host owns it.
pub fn load(host: &Host, cell: u32) -> Option<Load> {
    of_owned(host, cell, |state| state.load(now()))
}

/// What a cell reports to others, if this host owns it.
pub fn cell_report(host: &Host, cell: u32) -> Option<CellReport> {
    of_owned(host, cell, |state| state.report(now()))
}

/// The number of pending jobs of each queue, if this host owns the cell.
pub fn pending(host: &Host, cell: u32) -> Option<BTreeMap<String, u64>> {
    of_owned(host, cell, |state| {
        state.pending().into_iter().map(|(queue, n)| (queue.to_string(), n)).collect()
    })
}

/// A value of a cell, if this host owns it and has read its log.
fn of_owned<T>(host: &Host, cell: u32, value: impl FnOnce(&Cell) -> T) -> Option<T> {
    let owned = host.owned(cell).filter(|o| !o.closed())?;
    let state = owned.state();
    state.loaded.then(|| value(&state))
}

/// Cancels a job, if this host owns the cell; returns once the log holds that.
pub async fn cancel(host: &Host, cell: u32, job: JobId) -> JobReport {
    let Some(owned) = host.owned(cell).filter(|o| !o.closed()) else {
        return JobReport::Elsewhere;
    };
    if !wait_loaded(&owned).await {
        return JobReport::Elsewhere;
    }
    let known = owned.state().jobs.contains_key(&job);
    if !known && !caught_up(host, &owned).await {
        return JobReport::Elsewhere;
    }
    if let Some(to) = owned.state().transferred_to(job) {
        return JobReport::Moved(to);
    }
    let mut commits = owned.committed.subscribe();
    let known = owned.state().cancel(job, now(), wall());
    if !known {
        owned.state().cancel_early(job, now(), wall());
    }
    owned.wake.notify_one();
    let written = async {
        loop {
            if let Some(seen) = logged_cancel(&owned, job) {
                return Some(seen);
            }
            if commits.changed().await.is_err() || owned.deposed() {
                return None;
            }
        }
    };
    match timeout(CANCEL_LIMIT, written).await {
        Ok(Some(seen)) => seen,
        _ => JobReport::Elsewhere,
    }
}

/// The answer to a cancellation, once the log holds it.
fn logged_cancel(owned: &Owned, job: JobId) -> Option<JobReport> {
    let cell = owned.state();
    match cell.state(job) {
        Some(state) => state.over().then_some(JobReport::Job(state)),
        None => cell.cancel_logged(job).then_some(JobReport::Unknown),
    }
}

/// Reads all jobs accepted before now; false if that failed or the ownership is in doubt.
async fn caught_up(host: &Host, owned: &Owned) -> bool {
    if !owned.state().loaded || !read_all_new(host, owned).await {
        return false;
    }
    // The owner may have been replaced unnoticed while it was cut off.
    !owned.closed() && owned.may_lease()
}

/// Reads pages of new accepted jobs until there are no more; false if that failed.
async fn read_all_new(host: &Host, owned: &Owned) -> bool {
    while !owned.closed() {
        let from = *owned.next_offset();
        match read_new(host, owned, Duration::ZERO).await {
            Ok(true) => return true,
            // A page without records before the end would be read for ever.
            Ok(false) if *owned.next_offset() == from => return false,
            Ok(false) => {}
            Err(_) => return false,
        }
    }
    false
}
