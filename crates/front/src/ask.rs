//! Calls the owners of cells on behalf of clients.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use myrtle_job::{JobId, State};
use myrtle_peer::JobReport;

use crate::hedge::with_backup;
use crate::host::Host;
use crate::peers;

/// The time limit for one call to an owner.
const CALL_LIMIT: Duration = Duration::from_millis(700);

/// The pause before the owner is searched for again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Gets or cancels a job at its owner; returns nothing if none answers before `end`.
pub async fn ask(host: &Host, job: JobId, cancel: bool, end: Instant) -> Option<JobReport> {
    let cell = cell_of(host, job);
    match ask_cell(host, cell, job, cancel, end).await {
        Some(JobReport::Moved(to)) => ask_moved(host, to, job, cancel, end).await,
        seen => seen,
    }
}

/// Calls the owner of the cell to which a job was moved.
async fn ask_moved(
    host: &Host,
    cell: u32,
    job: JobId,
    cancel: bool,
    end: Instant,
) -> Option<JobReport> {
    loop {
        match ask_cell(host, cell, job, cancel, end).await {
            // The job is still on its way, or ended long ago.
            Some(JobReport::Unknown) if !cancel => return Some(JobReport::Job(State::Queued)),
            Some(JobReport::Unknown) => sleep(RETRY_PAUSE.min(left(end))).await,
            seen => return seen,
        }
    }
}

/// Calls the owner of a cell until it answers or `end` is reached.
async fn ask_cell(
    host: &Host,
    cell: u32,
    job: JobId,
    cancel: bool,
    end: Instant,
) -> Option<JobReport> {
    while Instant::now() < end {
        let here = match cancel {
            true => peers::cancel(host, cell, job).await,
            false => peers::state(host, cell, job).await,
        };
        if here != JobReport::Elsewhere {
            return Some(here);
        }
        if let Some(at) = host.owners.find(host, cell).await.filter(|at| *at != host.peer()) {
            let limit = if cancel { 4 * CALL_LIMIT } else { CALL_LIMIT };
            let call = || {
                host.owners.call(at, limit.min(left(end)), |c, context| async move {
                    match cancel {
                        true => c.cancel(context, cell, job).await,
                        false => c.state(context, cell, job).await,
                    }
                })
            };
            // A commit may take long, but a dead connection must not use up the client's time.
            let answer = match cancel {
                true => with_backup(CALL_LIMIT, call).await,
                false => call().await,
            };
            match answer {
                Some(JobReport::Elsewhere) | None => {}
                seen => return seen,
            }
        }
        host.owners.suspect(cell);
        sleep(RETRY_PAUSE.min(left(end))).await;
    }
    None
}

/// The number of pending jobs of each queue in a cell; nothing if no owner answers before `end`.
pub async fn counts(host: &Host, cell: u32, end: Instant) -> Option<BTreeMap<String, u64>> {
    while Instant::now() < end {
        if let Some(counts) = peers::pending(host, cell) {
            return Some(counts);
        }
        if let Some(at) = host.owners.find(host, cell).await.filter(|at| *at != host.peer()) {
            let limit = CALL_LIMIT.min(left(end));
            let call = host
                .owners
                .call(at, limit, |c, context| async move { c.pending(context, cell).await });
            if let Some(Some(counts)) = call.await {
                return Some(counts);
            }
        }
        host.owners.suspect(cell);
        sleep(RETRY_PAUSE.min(left(end))).await;
    }
    None
}

/// The cell of a job.
pub fn cell_of(host: &Host, job: JobId) -> u32 {
    host.layout().map_or(0, |l| l.job_cell(job))
}

/// The time left until `end`.
pub fn left(end: Instant) -> Duration {
    end.saturating_duration_since(Instant::now())
}
