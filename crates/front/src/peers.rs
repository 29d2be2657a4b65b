//! Answers the calls of other front hosts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tarpc::context::Context;
use tokio::time::{sleep, timeout};

use myrtle_job::{JobId, Load, RunEnd};
use myrtle_peer::{FrontPeer, Passed, Seen};

use crate::clock::{now, wall};
use crate::host::Host;
use crate::owned::Owned;
use crate::takeover::read_on;
use crate::{intake, unlogged};

/// How long a host that passes a job on waits for the store.
const PASS: Duration = Duration::from_millis(2_500);

/// What is kept of a passing host's time for the way back, so that it hears what came of its job.
const WAY_BACK: Duration = Duration::from_millis(30);

/// How long a question waits for an owner that is still reading the log; less than its asker gives it.
const LOADING: Duration = Duration::from_millis(500);

/// The time between two looks whether it has read the log.
const LOOK: Duration = Duration::from_millis(20);

/// How long the log may take to hold a cancellation.
const CANCEL: Duration = Duration::from_millis(2_500);

/// The service towards other front hosts.
#[derive(Debug, Clone)]
pub struct Server(pub Arc<Host>);

impl FrontPeer for Server {
    async fn state(self, _: Context, cell: u32, job: JobId) -> Seen {
        state(&self.0, cell, job).await
    }

    async fn cancel(self, _: Context, cell: u32, job: JobId) -> Seen {
        cancel(&self.0, cell, job).await
    }

    async fn pending(self, _: Context, cell: u32) -> Option<BTreeMap<String, u64>> {
        pending(&self.0, cell)
    }

    async fn pass(self, context: Context, cell: u32, job: JobId, record: Vec<u8>) -> Passed {
        let left = context.deadline.saturating_duration_since(Instant::now());
        let limit = left.saturating_sub(WAY_BACK).min(PASS);
        intake::write_here(&self.0, cell, job, record, limit).await
    }

    async fn relieve(self, _: Context, cell: u32) {
        self.0.ask_for(cell);
    }

    async fn load(self, _: Context, cell: u32) -> Option<Load> {
        load(&self.0, cell)
    }

    async fn writes(self, _: Context, cell: u32) -> bool {
        self.0.owned(cell).is_some_and(|owned| !owned.closed()) && !self.0.store_gone()
    }

    async fn ended(self, _: Context, cell: u32, fence: u64, ends: Vec<RunEnd>) -> bool {
        unlogged::take(&self.0, cell, fence, &ends)
    }

    async fn explain(self, _: Context, cell: u32, job: JobId) -> Vec<String> {
        self.0.owned(cell).map_or_else(Vec::new, |o| o.state().explain(job, now()))
    }
}

/// What this host knows of a job, if it owns the cell.
pub async fn state(host: &Host, cell: u32, job: JobId) -> Seen {
    let Some(owned) = host.owned(cell).filter(|o| !o.closed()) else {
        return Seen::Elsewhere;
    };
    if !loaded(&owned).await {
        return Seen::Elsewhere;
    }
    if let Some(seen) = known(&owned, job) {
        return seen;
    }
    if !current(host, &owned).await {
        return Seen::Elsewhere;
    }
    known(&owned, job).unwrap_or(Seen::Unknown)
}

/// Whether an owner has read the log, which is waited for: before that it knows jobs, and not how far they have come.
async fn loaded(owned: &Owned) -> bool {
    let read = async {
        while !owned.state().loaded {
            sleep(LOOK).await;
        }
    };
    timeout(LOADING, read).await.is_ok()
}

/// What an owner has in memory of a job.
fn known(owned: &Owned, job: JobId) -> Option<Seen> {
    let cell = owned.state();
    let moved = cell.moved(job).map(Seen::Moved);
    moved.or_else(|| cell.state(job).map(Seen::Job))
}

/// How full a cell is, if this host owns it.
pub fn load(host: &Host, cell: u32) -> Option<Load> {
    let owned = host.owned(cell).filter(|o| !o.closed())?;
    let state = owned.state();
    state.loaded.then(|| state.load(now()))
}

/// Takes a job back, if this host owns the cell; answers once that is in the log.
pub async fn cancel(host: &Host, cell: u32, job: JobId) -> Seen {
    let Some(owned) = host.owned(cell).filter(|o| !o.closed()) else {
        return Seen::Elsewhere;
    };
    if !loaded(&owned).await {
        return Seen::Elsewhere;
    }
    let known = owned.state().jobs.contains_key(&job);
    if !known && !current(host, &owned).await {
        return Seen::Elsewhere;
    }
    if let Some(to) = owned.state().moved(job) {
        return Seen::Moved(to);
    }
    let mut commits = owned.committed.subscribe();
    let known = owned.state().cancel(job, now(), wall());
    if !known {
        owned.state().bar(job, now(), wall());
    }
    owned.work.notify_one();
    let written = async {
        loop {
            if let Some(seen) = taken_back(&owned, job) {
                return Some(seen);
            }
            if commits.changed().await.is_err() || owned.deposed() {
                return None;
            }
        }
    };
    match timeout(CANCEL, written).await {
        Ok(Some(seen)) => seen,
        _ => Seen::Elsewhere,
    }
}

/// What a client may be told of a cancellation, once it is in the log.
fn taken_back(owned: &Owned, job: JobId) -> Option<Seen> {
    let cell = owned.state();
    match cell.state(job) {
        Some(state) => state.over().then_some(Seen::Job(state)),
        None => cell.bar_logged(job).then_some(Seen::Unknown),
    }
}

/// How many jobs of each queue have not begun, if this host owns the cell.
pub fn pending(host: &Host, cell: u32) -> Option<BTreeMap<String, u64>> {
    let owned = host.owned(cell).filter(|o| !o.closed())?;
    let state = owned.state();
    if !state.loaded {
        return None;
    }
    Some(state.pending().into_iter().map(|(queue, n)| (queue.to_string(), n)).collect())
}

/// Whether every job accepted before now has been read.
async fn current(host: &Host, owned: &Owned) -> bool {
    owned.state().loaded && read_on(host, owned, Duration::ZERO).await.is_ok() && {
        // The owner may have been replaced without a word while it was cut off.
        !owned.closed() && owned.may_lease()
    }
}
