//! Asks the owners of cells on behalf of clients.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use myrtle_job::{JobId, State};
use myrtle_peer::Seen;

use crate::hedge::beside;
use crate::host::Host;
use crate::peers;

/// How long one question to an owner may take.
const ASK: Duration = Duration::from_millis(700);

/// The pause before the owner is looked for again.
const PAUSE: Duration = Duration::from_millis(100);

/// Asks the owner of a job's cell until it answers or the client's time is over.
pub async fn ask(host: &Host, job: JobId, take_back: bool, end: Instant) -> Option<Seen> {
    let at_home = home(host, job);
    match ask_cell(host, at_home, job, take_back, end).await {
        Some(Seen::Moved(to)) => ask_moved(host, to, job, take_back, end).await,
        seen => seen,
    }
}

/// Asks the cell that looks after a job in place of its home.
async fn ask_moved(
    host: &Host,
    cell: u32,
    job: JobId,
    take_back: bool,
    end: Instant,
) -> Option<Seen> {
    loop {
        match ask_cell(host, cell, job, take_back, end).await {
            // It is on its way there, or has been over for long.
            Some(Seen::Unknown) if !take_back => return Some(Seen::Job(State::Queued)),
            Some(Seen::Unknown) => sleep(PAUSE.min(left(end))).await,
            seen => return seen,
        }
    }
}

/// Asks the owner of a cell until it answers or the client's time is over.
async fn ask_cell(
    host: &Host,
    cell: u32,
    job: JobId,
    take_back: bool,
    end: Instant,
) -> Option<Seen> {
    while Instant::now() < end {
        let own = match take_back {
            true => peers::cancel(host, cell, job).await,
            false => peers::state(host, cell, job).await,
        };
        if own != Seen::Elsewhere {
            return Some(own);
        }
        if let Some(at) = host.owners.find(host, cell).await.filter(|at| *at != host.peer()) {
            let most = if take_back { 4 * ASK } else { ASK };
            let call = || {
                host.owners.call(at, most.min(left(end)), |c, context| async move {
                    match take_back {
                        true => c.cancel(context, cell, job).await,
                        false => c.state(context, cell, job).await,
                    }
                })
            };
            // A commit may take long; a connection that went silent must not take the client's time.
            let answer = match take_back {
                true => beside(ASK, call).await,
                false => call().await,
            };
            match answer {
                Some(Seen::Elsewhere) | None => {}
                seen => return seen,
            }
        }
        host.owners.doubt(cell);
        sleep(PAUSE.min(left(end))).await;
    }
    None
}

/// How many jobs of each queue have not begun in a cell; nothing if no owner answers in time.
pub async fn counts(host: &Host, cell: u32, end: Instant) -> Option<BTreeMap<String, u64>> {
    while Instant::now() < end {
        if let Some(counts) = peers::pending(host, cell) {
            return Some(counts);
        }
        if let Some(at) = host.owners.find(host, cell).await.filter(|at| *at != host.peer()) {
            let limit = ASK.min(left(end));
            let call = host
                .owners
                .call(at, limit, |c, context| async move { c.pending(context, cell).await });
            if let Some(Some(counts)) = call.await {
                return Some(counts);
            }
        }
        host.owners.doubt(cell);
        sleep(PAUSE.min(left(end))).await;
    }
    None
}

/// The cell of a job.
pub fn home(host: &Host, job: JobId) -> u32 {
    host.layout().map_or(0, |l| l.home(job))
}

/// The time that is left until a moment.
pub fn left(end: Instant) -> Duration {
    end.saturating_duration_since(Instant::now())
}
