//! Plans, writes changes to the log, and sends the orders and deliveries that waited for them.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use log::{info, warn};
use tokio::time::{Instant, sleep, timeout};

use myrtle_adapter::{StoreError, Writer, frame_keyed};
use myrtle_owner::{Batch, EndedJob, Order};

use crate::answer_time::AnswerTime;
use crate::busy::Work;
use crate::clock::now;
use crate::hedge::{Outcome, hedged};
use crate::host::Host;
use crate::names::{OWNER_WRITER, PROGRESS, owner_key, worker_key};
use crate::owned::Owned;
use crate::{delivery, handoff, takeover};

/// How long changes are gathered before they are written; this adds little to the store's own time.
const GATHER: Duration = Duration::from_millis(2);

/// The longest rest after planning, which otherwise lasts as long as the planning: reports, lease renewals and joins
/// need the other half of the host.
const MAX_REST: Duration = Duration::from_millis(100);

/// How long an idle owner sleeps before it checks for tasks to retry.
const IDLE_WAIT: Duration = Duration::from_millis(100);

/// The largest append, in bytes; below the platform's limit of 2 MB a call.
pub const MAX_APPEND: usize = 1 << 20;

/// The time limit for one series of append attempts: longer than the platform's store keeps a call waiting.
const APPEND_LIMIT: Duration = Duration::from_millis(2_500);

/// The pause after a refused append.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Runs until the owner is closed; the last plan is still written.
pub async fn run(host: Arc<Host>, owned: Arc<Owned>) {
    write_all(&host, &owned).await;
    handoff::send_unlogged(&host, &owned);
}

/// Plans and writes until the owner is closed and idle, or deposed.
async fn write_all(host: &Arc<Host>, owned: &Arc<Owned>) {
    let mut number = takeover::FIRST_BATCH;
    let mut answer_time = AnswerTime::new();
    let mut rest = GATHER;
    while !owned.deposed() {
        if owned.closed() && owned.state().flushed() {
            return;
        }
        if timeout(IDLE_WAIT, owned.wake.notified()).await.is_ok() {
            sleep(rest).await;
        }
        let planned_at = Instant::now();
        let (orders, batch) = plan(owned);
        rest = planned_at.elapsed().clamp(GATHER, MAX_REST);
        owned.dispatch(orders);
        if owned.state().needs_tickets() {
            host.questions.wake.notify_one();
        }
        if batch.is_empty() {
            continue;
        }
        let started = now();
        for body in bodies(&batch) {
            if !append(host, owned, number, body, &mut answer_time).await {
                return;
            }
            number += 1;
        }
        let took = now() - started;
        host.meter.took("myrtle_commit_micros", "", Duration::from_millis(took));
        let (starts, deliveries) = {
            let mut cell = owned.state();
            (cell.committed(batch, now()), cell.deliveries())
        };
        delivery::deliver_all(host, owned, deliveries);
        if !owned.closed() {
            owned.dispatch(starts);
        }
        owned.set_writing(false);
        owned.committed.send_modify(|n| *n += 1);
        report_restarts(host, owned);
        report_jobs(host, owned);
    }
}

/// Updates the metric of worker restarts.
fn report_restarts(host: &Host, owned: &Owned) {
    let restarts = owned.state().counts.restarts;
    let label = format!("cell {}", owned.cell);
    host.meter.level("myrtle_worker_restarts", &label, restarts as i64);
}

/// Updates the metrics of jobs that are over.
fn report_jobs(host: &Host, owned: &Owned) {
    let reports = owned.state().take_reports();
    for EndedJob { queue, verdict, spans, .. } in reports {
        host.meter.count("myrtle_jobs", &format!("{queue} {}", verdict.key()));
        for (phase, millis) in spans.phases() {
            host.meter.span("myrtle_job_millis", &format!("{queue} {}", phase.key()), millis);
        }
    }
}

/// Plans, and returns the orders and changes.
fn plan(owned: &Owned) -> (Vec<Order>, Batch) {
    let mut cell = owned.state();
    if !owned.closed() && owned.busy.measure(Work::Plan, || cell.plan(now())) {
        // Planning continues after this slice is written.
        owned.wake.notify_one();
    }
    let batch = owned.busy.measure(Work::Batch, || cell.batch());
    owned.set_writing(!batch.is_empty());
    (cell.orders(), batch)
}

/// Frames the records for appends, each below the limit.
fn bodies(batch: &Batch) -> Vec<Bytes> {
    let traces = batch
        .worker_records
        .iter()
        .map(|(incarnation, value)| (worker_key(incarnation), value.as_slice()));
    // A record without a value removes its key.
    let owners = batch.owners.iter().map(|fence| (owner_key(*fence), &[][..]));
    let records = batch.records.iter().map(|(id, value)| (id.to_string(), value.as_slice()));
    let mut bodies = Vec::new();
    let mut body = BytesMut::new();
    for (key, value) in owners.chain(traces).chain(records) {
        if body.len() + value.len() > MAX_APPEND {
            bodies.push(body.split().freeze());
        }
        frame_keyed(&mut body, &key, value);
    }
    if !body.is_empty() {
        bodies.push(body.freeze());
    }
    bodies
}

/// Appends until the log holds the batch; false if there is a later owner.
async fn append(
    host: &Host,
    owned: &Owned,
    number: u64,
    body: Bytes,
    answer_time: &mut AnswerTime,
) -> bool {
    let writer = Writer { name: OWNER_WRITER, epoch: owned.fence, seq: number };
    let append = |left| host.store.append(PROGRESS, owned.cell, Some(writer), body.clone(), left);
    let is_final = |e: &StoreError| matches!(e, StoreError::Fenced | StoreError::Sequence { .. });
    while !owned.deposed() {
        let end = Instant::now() + APPEND_LIMIT;
        match hedged(answer_time, end, append, is_final, |seen| host.note(seen)).await {
            Outcome::Done(_) => return true,
            Outcome::Refused(StoreError::Fenced) => owned.depose("the log"),
            Outcome::Refused(StoreError::Sequence { expected: wanted }) => {
                // Another process wrote with this token, so the store issued the token twice.
                warn!(
                    "event=append-out-of-order cell={} number={number} wanted={wanted}",
                    owned.cell
                );
                owned.depose("the log's numbering");
            }
            Outcome::Refused(e) => {
                info!("event=append-again cell={} number={number} reason=\"{e}\"", owned.cell);
                sleep(RETRY_PAUSE).await;
            }
            Outcome::Unknown => {
                info!(
                    "event=append-again cell={} number={number} reason=\"no answer\"",
                    owned.cell
                );
            }
        }
    }
    false
}
