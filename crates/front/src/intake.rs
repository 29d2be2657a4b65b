//! Writes accepted jobs to the log, many in one call.
//!
//! A host has one call a cell under way: while the store is slow, its partitions take their appends
//! in turn, and each call more would make all of them wait.

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
use myrtle_peer::{FrontPeerClient, Passed};

use crate::ask::left;
use crate::flush::LARGEST;
use crate::hedge::{Outcome, hedged};
use crate::host::Host;
use crate::names::JOBS;
use crate::pace::Pace;
use crate::patience::Patience;

/// How long a job waits for the call before its own; then it is refused, so that its client can
/// try elsewhere. A quarter of the shortest objectives is 300 ms; a slow store needs more.
const QUEUE: Duration = Duration::from_millis(600);

/// The time between two looks for jobs that have waited too long.
const LOOK: Duration = Duration::from_millis(100);

/// How long the owner of a cell is waited for before it is asked whether it still writes, and before this host
/// writes a job itself if it does not: an owner that lives answers within 30 ms, and longer only while the
/// store is slow.
const PASS: Duration = Duration::from_millis(150);

/// How old the store's last answer may be for a job to be sent without a question before, in milliseconds: owners hear
/// from it more often.
const FRESH: u64 = 500;

/// How long the store may take to answer that question: many times a usual answer, and what a slow store needs.
const PROBE: Duration = Duration::from_millis(400);

/// A job that waits to be written.
#[derive(Debug)]
struct Waiting {
    job: JobId,
    record: Vec<u8>,
    since: Instant,
    end: Instant,
    done: oneshot::Sender<Passed>,
}

/// The jobs of one cell that wait to be written.
#[derive(Debug, Default)]
pub struct Intake {
    queue: Mutex<Vec<Waiting>>,
    pace: Mutex<Pace>,
    work: Notify,
}

impl Intake {
    /// Puts a job into the queue and waits for its fate; refuses it at once if its time will not do.
    async fn put(&self, job: JobId, record: Vec<u8>, limit: Duration) -> Passed {
        let (done, fate) = oneshot::channel();
        let since = Instant::now();
        if limit < self.pace.lock().expect("no holder panics").ahead(since) {
            return Passed::Refused;
        }
        let waiting = Waiting { job, record, since, end: since + limit, done };
        self.queue.lock().expect("no holder panics").push(waiting);
        self.work.notify_one();
        match timeout(limit, fate).await {
            Ok(Ok(passed)) => passed,
            // What still waits was not sent; else the call may be under way.
            _ if self.leave(job, since) => Passed::Refused,
            _ => Passed::Unknown,
        }
    }

    /// Takes a job off the queue; false if it waits there no more.
    fn leave(&self, job: JobId, since: Instant) -> bool {
        let mut queue = self.queue.lock().expect("no holder panics");
        let at = queue.iter().position(|w| w.job == job && w.since == since);
        at.map(|at| queue.remove(at)).is_some()
    }

    /// Notes that a call begins.
    fn begin(&self) {
        self.pace.lock().expect("no holder panics").began = Some(Instant::now());
    }

    /// Notes that a call has ended, and what calls take by now.
    fn finish(&self, usual: Duration) {
        *self.pace.lock().expect("no holder panics") = Pace { usual, began: None };
    }

    /// Takes as many jobs off the queue as one append holds.
    fn take(&self) -> Vec<Waiting> {
        let mut queue = self.queue.lock().expect("no holder panics");
        let mut size = 0;
        let fit = queue.iter().take_while(|w| {
            size += w.record.len() + 32;
            size <= LARGEST
        });
        let count = fit.count().max(1).min(queue.len());
        queue.drain(..count).collect()
    }

    /// Refuses jobs that have waited too long, or all while the store is out of reach; they surely were not
    /// sent.
    fn purge(&self, lost: bool) {
        let mut queue = self.queue.lock().expect("no holder panics");
        let (old, rest) =
            queue.drain(..).partition(|w: &Waiting| lost || w.since.elapsed() > QUEUE);
        *queue = rest;
        drop(queue);
        settle(old, Passed::Refused);
    }
}

/// Writes the jobs of one cell, for good.
pub async fn run(host: Arc<Host>, cell: u32) {
    let intake = host.intake(cell);
    let mut patience = Patience::new();
    loop {
        intake.purge(host.store_gone());
        let batch = intake.take();
        if batch.is_empty() {
            intake.work.notified().await;
            continue;
        }
        intake.begin();
        let passed = {
            let write = write(&host, cell, &batch, &mut patience);
            tokio::pin!(write);
            let mut looks = interval(LOOK);
            loop {
                tokio::select! {
                    passed = &mut write => break passed,
                    _ = looks.tick() => {}
                }
                intake.purge(host.store_gone());
                // Its clients have time to try elsewhere.
                if host.store_gone() {
                    break Passed::Unknown;
                }
            }
        };
        intake.finish(patience.usual());
        settle(batch, passed);
    }
}

/// Tells those who wait what came of their jobs.
fn settle(batch: Vec<Waiting>, passed: Passed) {
    for waiting in batch {
        // Its client may have gone.
        let _ = waiting.done.send(passed);
    }
}

/// Appends a batch until the store has it; a refusal is surely one, whatever went before.
async fn write(host: &Host, cell: u32, batch: &[Waiting], patience: &mut Patience) -> Passed {
    let mut body = BytesMut::new();
    for waiting in batch {
        frame_keyed(&mut body, &waiting.job.to_string(), &waiting.record);
    }
    let body: Bytes = body.freeze();
    let end = batch.iter().map(|w| w.end).max().unwrap_or_else(Instant::now);
    // A repeat writes the same records under the same keys, so it does no harm.
    let append = |left| host.store.append(JOBS, cell, None, body.clone(), left);
    match hedged(patience, end, append, |_| false, |seen| host.note(seen)).await {
        Outcome::Done(_) => Passed::Kept,
        Outcome::Refused(_) => Passed::Refused,
        Outcome::Unknown => Passed::Unknown,
    }
}

/// Writes a job here, without asking anybody else.
async fn keep(host: &Host, cell: u32, job: JobId, record: Vec<u8>, limit: Duration) -> Passed {
    host.intake(cell).put(job, record, limit).await
}

/// Accepts a job: the cell's owner writes it, or this host if the owner does not answer soon.
///
/// A partition takes its appends in turn, so while the store is slow 29 hosts that write by
/// themselves wait for each other.
///
/// A record that both write is the same under the same key, so it does no harm.
pub async fn accept(
    host: &Host,
    cell: u32,
    job: JobId,
    record: Vec<u8>,
    limit: Duration,
) -> Passed {
    let Some(at) = host.owners.known(cell).filter(|at| *at != host.peer()) else {
        return write_here(host, cell, job, record, limit).await;
    };
    let end = Instant::now() + limit;
    // What is sent and not answered may have been taken, and its client can't try elsewhere; a question does no harm.
    if !writes(host, cell, at).await {
        host.owners.doubt(cell);
        return write_here(host, cell, job, record, left(end)).await;
    }
    let mut by_owner = pin!(pass_on(host, cell, at, job, record.clone(), left(end)));
    let early = loop {
        match timeout(PASS, &mut by_owner).await {
            Ok(passed) => break Some(passed),
            Err(_) if writes(host, cell, at).await => {}
            Err(_) => break None,
        }
    };
    if early == Some(Passed::Kept) {
        return Passed::Kept;
    }
    let here = write_here(host, cell, job, record, left(end));
    match early {
        Some(passed) => passed.or(here.await),
        // The owner does not say that it writes, so it is not waited for much longer than this host needs.
        None => either(by_owner, pin!(here)).await,
    }
}

/// Whether the owner of a cell lives and goes on writing.
async fn writes(host: &Host, cell: u32, at: SocketAddr) -> bool {
    let ask = |c: FrontPeerClient, context| async move { c.writes(context, cell).await };
    // A connection to a host that is cut off takes longer than any call.
    timeout(PASS, host.owners.call(at, PASS, ask)).await == Ok(Some(true))
}

/// Writes a job here; while the store is out of reach nothing is sent, so that the refusal is sure
/// and comes at once.
///
/// Load pattern: a data centre is cut off, and each of its hosts is handed a job before it has noticed. A store that
/// has not answered lately is asked something harmless first.
pub async fn write_here(
    host: &Host,
    cell: u32,
    job: JobId,
    record: Vec<u8>,
    limit: Duration,
) -> Passed {
    let end = Instant::now() + limit;
    if host.store_gone() || host.store_age() > FRESH && !answers(host, cell).await {
        return Passed::Refused;
    }
    keep(host, cell, job, record, left(end)).await
}

/// Whether the store answers this host by now.
async fn answers(host: &Host, cell: u32) -> bool {
    // An append of nothing goes the way of the job, whenever it arrives.
    match host.store.append(JOBS, cell, None, Bytes::new(), PROBE).await {
        Ok(_) => {
            host.store_reached();
            true
        }
        Err(e) => {
            host.store_silent(&e);
            false
        }
    }
}

/// Lets the cell's owner write a job.
async fn pass_on(
    host: &Host,
    cell: u32,
    at: SocketAddr,
    job: JobId,
    record: Vec<u8>,
    limit: Duration,
) -> Passed {
    if !host.owners.reach(at).await {
        host.owners.doubt(cell);
        return Passed::Refused;
    }
    let call =
        |c: FrontPeerClient, context| async move { c.pass(context, cell, job, record).await };
    match host.owners.call(at, limit, call).await {
        Some(passed) => passed,
        None => {
            host.owners.doubt(cell);
            warn!("event=job-in-doubt job={job} cell={cell} peer={at}");
            Passed::Unknown
        }
    }
}

/// What an owner that may be gone and this host came to with a job, as soon as that is sure, or the owner has been
/// silent for a while beyond.
async fn either(
    by_owner: impl Future<Output = Passed> + Unpin,
    here: impl Future<Output = Passed> + Unpin,
) -> Passed {
    match select(by_owner, here).await {
        Either::Left((Passed::Kept, _)) | Either::Right((Passed::Kept, _)) => Passed::Kept,
        Either::Left((first, here)) => first.or(here.await),
        Either::Right((first, by_owner)) => {
            first.or(timeout(PASS, by_owner).await.unwrap_or(Passed::Unknown))
        }
    }
}
