//! Writes accepted jobs to the log, many in one call.
//!
//! A host has one call per cell in progress: a partition takes its appends one after another, so while the store is
//! slow each further call would delay all others.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::future::{Either, select};
use log::warn;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, interval, timeout};

use myrtle_adapter::frame_keyed;
use myrtle_job::JobId;
use myrtle_peer::{Forwarded, FrontPeerClient};

use crate::answer_time::AnswerTime;
use crate::append_time::AppendTime;
use crate::ask::left;
use crate::flush::MAX_APPEND;
use crate::hedge::{Outcome, hedged};
use crate::host::Host;
use crate::names::JOBS;
use crate::probe::probe_store;

/// How long a job waits for the previous call before it is refused, so that its client can try elsewhere. A quarter of
/// the shortest objectives is 300 ms; a slow store needs more.
const QUEUE_LIMIT: Duration = Duration::from_millis(600);

/// The time between two checks for jobs that have waited too long.
const PURGE_EVERY: Duration = Duration::from_millis(100);

/// The wait for the cell's owner before it is asked whether it still writes, and before this host writes the job
/// itself: a live owner answers within 30 ms, and later only while the store is slow.
const OWNER_LIMIT: Duration = Duration::from_millis(150);

/// The largest age of the store's last answer at which a job is sent without a probe, in milliseconds; owners get
/// answers more often.
const RECENT_MS: u64 = 500;

/// A job waiting to be written.
#[derive(Debug)]
struct Waiting {
    job: JobId,
    record: Vec<u8>,
    since: Instant,
    end: Instant,
    done: oneshot::Sender<Forwarded>,
}

/// The queue of jobs of one cell waiting to be written.
#[derive(Debug, Default)]
pub struct Intake {
    queue: Mutex<Vec<Waiting>>,
    append_time: Mutex<AppendTime>,
    work: Notify,
}

impl Intake {
    /// Enqueues a job and waits for the outcome; refuses it at once if its time limit is too short.
    async fn enqueue(&self, job: JobId, record: Vec<u8>, limit: Duration) -> Forwarded {
        let (done, answer) = oneshot::channel();
        let since = Instant::now();
        if limit < self.append_time.lock().expect("no holder panics").estimate(since) {
            return Forwarded::Refused;
        }
        let waiting = Waiting { job, record, since, end: since + limit, done };
        self.queue.lock().expect("no holder panics").push(waiting);
        self.work.notify_one();
        match timeout(limit, answer).await {
            Ok(Ok(passed)) => passed,
            // A job still in the queue was not sent; otherwise the call may be in progress.
            _ if self.withdraw(job, since) => Forwarded::Refused,
            _ => Forwarded::Unknown,
        }
    }

    /// Removes a job from the queue; false if it is no longer there.
    fn withdraw(&self, job: JobId, since: Instant) -> bool {
        let mut queue = self.queue.lock().expect("no holder panics");
        let at = queue.iter().position(|w| w.job == job && w.since == since);
        at.map(|at| queue.remove(at)).is_some()
    }

    /// Records the start of a call.
    fn begin(&self) {
        self.append_time.lock().expect("no holder panics").began = Some(Instant::now());
    }

    /// Records the end of a call and the usual time of calls.
    fn finish(&self, usual: Duration) {
        *self.append_time.lock().expect("no holder panics") = AppendTime { usual, began: None };
    }

    /// Removes and returns as many jobs as fit in one append.
    fn take(&self) -> Vec<Waiting> {
        let mut queue = self.queue.lock().expect("no holder panics");
        let mut size = 0;
        let fit = queue.iter().take_while(|w| {
            size += w.record.len() + 32;
            size <= MAX_APPEND
        });
        let count = fit.count().max(1).min(queue.len());
        queue.drain(..count).collect()
    }

    /// Refuses jobs that have waited too long, or all while the store is lost; none of them was sent.
    fn purge(&self, lost: bool) {
        let mut queue = self.queue.lock().expect("no holder panics");
        let (old, rest) =
            queue.drain(..).partition(|w: &Waiting| lost || w.since.elapsed() > QUEUE_LIMIT);
        *queue = rest;
        drop(queue);
        reply_all(old, Forwarded::Refused);
    }
}

/// Writes the jobs of one cell until the process ends.
pub async fn run(host: Arc<Host>, cell: u32) {
    let intake = host.intake(cell);
    let mut answer_time = AnswerTime::new();
    loop {
        intake.purge(host.store_lost());
        let batch = intake.take();
        if batch.is_empty() {
            intake.work.notified().await;
            continue;
        }
        intake.begin();
        let passed = {
            let write = write(&host, cell, &batch, &mut answer_time);
            tokio::pin!(write);
            let mut ticks = interval(PURGE_EVERY);
            loop {
                tokio::select! {
                    passed = &mut write => break passed,
                    _ = ticks.tick() => {}
                }
                intake.purge(host.store_lost());
                // Ending the call now leaves its clients time to try elsewhere.
                if host.store_lost() {
                    break Forwarded::Unknown;
                }
            }
        };
        intake.finish(answer_time.usual());
        reply_all(batch, passed);
    }
}

/// Sends the outcome to all that wait for their jobs.
fn reply_all(batch: Vec<Waiting>, passed: Forwarded) {
    for waiting in batch {
        // The receiver may be gone.
        let _ = waiting.done.send(passed);
    }
}

/// Appends a batch, with repeats; `Refused` means that no attempt was carried out.
async fn write(
    host: &Host,
    cell: u32,
    batch: &[Waiting],
    answer_time: &mut AnswerTime,
) -> Forwarded {
    let mut body = BytesMut::new();
    for waiting in batch {
        frame_keyed(&mut body, &waiting.job.to_string(), &waiting.record);
    }
    let body: Bytes = body.freeze();
    let end = batch.iter().map(|w| w.end).max().unwrap_or_else(Instant::now);
    // A repeat writes the same records under the same keys, so it is harmless.
    let append = |left| host.store.append(JOBS, cell, None, body.clone(), left);
    match hedged(answer_time, end, append, |_| false, |seen| host.note(seen)).await {
        Outcome::Done(_) => Forwarded::Kept,
        Outcome::Refused(_) => Forwarded::Refused,
        Outcome::Unknown => Forwarded::Unknown,
    }
}

/// Accepts a job: the cell's owner writes it, or this host if the owner does not answer soon.
///
/// A partition takes its appends one after another, so while the store is slow, 29 hosts that write themselves would
/// wait for each other.
///
/// If both write the record, it is the same under the same key, which is harmless.
pub async fn accept(
    host: &Host,
    cell: u32,
    job: JobId,
    record: Vec<u8>,
    limit: Duration,
) -> Forwarded {
    let Some(at) = host.owners.known(cell).filter(|at| *at != host.peer()) else {
        return write_here(host, cell, job, record, limit).await;
    };
    let end = Instant::now() + limit;
    // A job sent without an answer may have been accepted, so its client can't try elsewhere; a question has no such
    // risk.
    if !owner_writes(host, cell, at).await {
        host.owners.suspect(cell);
        return write_here(host, cell, job, record, left(end)).await;
    }
    let mut by_owner = pin!(send_to_owner(host, cell, at, job, record.clone(), left(end)));
    let owner_reply = loop {
        match timeout(OWNER_LIMIT, &mut by_owner).await {
            Ok(passed) => break Some(passed),
            Err(_) if owner_writes(host, cell, at).await => {}
            Err(_) => break None,
        }
    };
    if owner_reply == Some(Forwarded::Kept) {
        return Forwarded::Kept;
    }
    let here = write_here(host, cell, job, record, left(end));
    match owner_reply {
        Some(passed) => passed.or(here.await),
        // The owner did not confirm that it writes, so the wait for it ends soon after this host's own write.
        None => first_kept(by_owner, pin!(here)).await,
    }
}

/// Whether the owner of a cell answers that it writes.
async fn owner_writes(host: &Host, cell: u32, at: SocketAddr) -> bool {
    let ask = |c: FrontPeerClient, context| async move { c.can_write(context, cell).await };
    // Connecting to a host that is cut off takes longer than any call.
    timeout(OWNER_LIMIT, host.owners.call(at, OWNER_LIMIT, ask)).await == Ok(Some(true))
}

/// Writes a job from this host; while the store is lost nothing is sent, so that the refusal is certain and immediate.
///
/// Load pattern: a data centre is cut off, and each of its hosts gets a job before it has noticed. So a store without a
/// recent answer is probed first.
pub async fn write_here(
    host: &Host,
    cell: u32,
    job: JobId,
    record: Vec<u8>,
    limit: Duration,
) -> Forwarded {
    let end = Instant::now() + limit;
    if host.store_lost() || host.store_age() > RECENT_MS && !probe_store(host, cell).await {
        return Forwarded::Refused;
    }
    host.intake(cell).enqueue(job, record, left(end)).await
}

/// Sends a job to the cell's owner, which writes it.
async fn send_to_owner(
    host: &Host,
    cell: u32,
    at: SocketAddr,
    job: JobId,
    record: Vec<u8>,
    limit: Duration,
) -> Forwarded {
    if !host.owners.reach(at).await {
        host.owners.suspect(cell);
        return Forwarded::Refused;
    }
    let call =
        |c: FrontPeerClient, context| async move { c.forward(context, cell, job, record).await };
    match host.owners.call(at, limit, call).await {
        Some(passed) => passed,
        None => {
            host.owners.suspect(cell);
            warn!("event=job-in-doubt job={job} cell={cell} peer={at}");
            Forwarded::Unknown
        }
    }
}

/// Combines the outcomes of this host and of an owner that may be gone, as soon as one is certain or the owner has not
/// answered for some time longer.
async fn first_kept(
    by_owner: impl Future<Output = Forwarded> + Unpin,
    here: impl Future<Output = Forwarded> + Unpin,
) -> Forwarded {
    match select(by_owner, here).await {
        Either::Left((Forwarded::Kept, _)) | Either::Right((Forwarded::Kept, _)) => Forwarded::Kept,
        Either::Left((first, here)) => first.or(here.await),
        Either::Right((first, by_owner)) => {
            first.or(timeout(OWNER_LIMIT, by_owner).await.unwrap_or(Forwarded::Unknown))
        }
    }
}
