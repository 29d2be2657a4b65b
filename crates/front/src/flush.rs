//! Plans, writes what changed to the log, and lets go what waited for that.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use log::{info, warn};
use tokio::time::{Instant, sleep, timeout};

use myrtle_adapter::{StoreError, Writer, frame_keyed};
use myrtle_job::Key;
use myrtle_owner::{Batch, Order, Question};

use crate::busy::Work;
use crate::clock::now;
use crate::hedge::{Outcome, hedged};
use crate::host::Host;
use crate::names::{JOBS, OWNER, PROGRESS, owner_key, worker_key};
use crate::owned::Owned;
use crate::patience::Patience;
use crate::{balance, permits, takeover, unlogged};

/// How long changes are gathered before they are written; adds little to the store's own time.
const GATHER: Duration = Duration::from_millis(2);

/// The longest rest after a pass over the waiting tasks, which is as long as the pass took: reports,
/// renewals and joins need the other half of the host.
const REST: Duration = Duration::from_millis(100);

/// How long an idle owner sleeps before it looks for tasks that may be tried again.
const IDLE: Duration = Duration::from_millis(100);

/// The largest append, in bytes; below the platform's bound of 2 MB a call.
pub const LARGEST: usize = 1 << 20;

/// How long the store may take to drop forgotten jobs; a failure does no harm.
const DROP: Duration = Duration::from_millis(1_000);

/// How long an append and its repeats are waited for before new ones are made: longer than the
/// platform's store keeps a call waiting.
const ROUND: Duration = Duration::from_millis(2_500);

/// The pause after an append that was refused.
const PAUSE: Duration = Duration::from_millis(40);

/// Runs until the cell is another host's; what was planned last is written before it ends.
pub async fn run(host: Arc<Host>, owned: Arc<Owned>) {
    write_all(&host, &owned).await;
    unlogged::hand_on(&host, &owned);
}

/// Plans and writes until the cell is another host's.
async fn write_all(host: &Arc<Host>, owned: &Arc<Owned>) {
    let mut number = takeover::FIRST_BATCH;
    let mut patience = Patience::new();
    let mut rest = GATHER;
    while !owned.deposed() {
        if owned.closed() && owned.state().idle() {
            return;
        }
        if timeout(IDLE, owned.work.notified()).await.is_ok() {
            sleep(rest).await;
        }
        let planned = Instant::now();
        let (orders, questions, batch) = plan(owned);
        rest = planned.elapsed().clamp(GATHER, REST);
        owned.dispatch(orders);
        permits::ask_all(host, owned, questions);
        if batch.is_empty() {
            continue;
        }
        let began = now();
        for body in bodies(&batch) {
            if !append(host, owned, number, body, &mut patience).await {
                return;
            }
            number += 1;
        }
        drop_jobs(host, owned, &batch.drops).await;
        let took = now() - began;
        host.meter.took("myrtle_commit_micros", "", Duration::from_millis(took));
        let (starts, deliveries) = {
            let mut cell = owned.state();
            (cell.committed(batch, now()), cell.deliveries())
        };
        balance::deliver_all(host, owned, deliveries);
        if !owned.closed() {
            owned.dispatch(starts);
        }
        owned.write(false);
        owned.committed.send_modify(|n| *n += 1);
        tell_restarts(host, owned);
    }
}

/// Brings the figure on restarts of workers up to date.
fn tell_restarts(host: &Host, owned: &Owned) {
    let restarts = owned.state().counts.restarts;
    let label = format!("cell {}", owned.cell);
    host.meter.level("myrtle_worker_restarts", &label, restarts as i64);
}

/// Plans, and gathers what has to go out.
fn plan(owned: &Owned) -> (Vec<Order>, Vec<Question>, Batch) {
    let mut cell = owned.state();
    if !owned.closed() && owned.busy.spend(Work::Plan, || cell.plan(now())) {
        // The pass goes on after this slice is written.
        owned.work.notify_one();
    }
    let batch = owned.busy.spend(Work::Batch, || cell.batch());
    owned.write(!batch.is_empty());
    (cell.orders(), cell.questions(), batch)
}

/// Records framed for appends, each below the bound.
fn bodies(batch: &Batch) -> Vec<Bytes> {
    let traces = batch.traces.iter().map(|(life, value)| (worker_key(life), value.as_slice()));
    // A record without a value drops its key.
    let owners = batch.owners.iter().map(|fence| (owner_key(*fence), &[][..]));
    let records = batch.records.iter().map(|(id, value)| (id.to_string(), value.as_slice()));
    let mut bodies = Vec::new();
    let mut body = BytesMut::new();
    for (key, value) in owners.chain(traces).chain(records) {
        if body.len() + value.len() > LARGEST {
            bodies.push(body.split().freeze());
        }
        frame_keyed(&mut body, &key, value);
    }
    if !body.is_empty() {
        bodies.push(body.freeze());
    }
    bodies
}

/// Appends until the store has taken it; false if a later owner has written.
async fn append(
    host: &Host,
    owned: &Owned,
    number: u64,
    body: Bytes,
    patience: &mut Patience,
) -> bool {
    let writer = Writer { name: OWNER, epoch: owned.fence, number };
    let append = |left| host.store.append(PROGRESS, owned.cell, Some(writer), body.clone(), left);
    let last = |e: &StoreError| matches!(e, StoreError::Fenced | StoreError::Sequence { .. });
    while !owned.deposed() {
        let end = Instant::now() + ROUND;
        match hedged(patience, end, append, last, |seen| host.note(seen)).await {
            Outcome::Done(_) => return true,
            Outcome::Refused(StoreError::Fenced) => owned.depose("the log"),
            Outcome::Refused(StoreError::Sequence { wanted }) => {
                // Another process with this token has written: the token was given out twice.
                warn!(
                    "event=append-out-of-order cell={} number={number} wanted={wanted}",
                    owned.cell
                );
                owned.depose("the log's numbering");
            }
            Outcome::Refused(e) => {
                info!("event=append-again cell={} number={number} reason=\"{e}\"", owned.cell);
                sleep(PAUSE).await;
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

/// Drops what was handed in for jobs that are forgotten; a failure leaves some records more.
async fn drop_jobs(host: &Host, owned: &Owned, drops: &[Key]) {
    let mut body = BytesMut::new();
    drops.iter().for_each(|key| frame_keyed(&mut body, &key.to_string(), &[]));
    if body.is_empty() {
        return;
    }
    if let Err(e) = host.store.append(JOBS, owned.cell, None, body.freeze(), DROP).await {
        warn!("event=drop-failed cell={} reason=\"{e}\"", owned.cell);
    }
}
