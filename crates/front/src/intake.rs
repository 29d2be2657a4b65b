//! Writes accepted jobs to the log.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use log::{info, warn};
use tokio::time::{Instant, sleep};

use myrtle_adapter::frame_keyed;
use myrtle_job::JobId;
use myrtle_peer::Passed;

use crate::host::Host;
use crate::names::JOBS;

/// The first time that an append may take; doubled while the store is slow.
const FIRST_LIMIT: Duration = Duration::from_millis(200);

/// The pause before an append is tried again.
const PAUSE: Duration = Duration::from_millis(20);

/// How long a job whose fate is open is passed on to a peer.
const PASS: Duration = Duration::from_millis(1_000);

/// Appends a job until the store has it; a refusal is surely one, whatever went before.
pub async fn write(host: &Host, cell: u32, job: JobId, record: &[u8], limit: Duration) -> Passed {
    let end = Instant::now() + limit;
    let mut body = BytesMut::new();
    frame_keyed(&mut body, &job.to_string(), record);
    let body: Bytes = body.freeze();
    let mut doubt = false;
    let mut time = FIRST_LIMIT;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return if doubt { Passed::Unknown } else { Passed::Refused };
        }
        // A repeat writes the same record under the same key, so it does no harm.
        match host.store.append(JOBS, cell, None, body.clone(), time.min(left)).await {
            Ok(_) => {
                host.store_reached();
                return Passed::Kept;
            }
            Err(e) => {
                doubt |= e.unknown();
                host.store_missed(&e);
                if !doubt {
                    return Passed::Refused;
                }
                time *= 2;
                sleep(PAUSE).await;
            }
        }
    }
}

/// Accepts a job: writes it here, or by way of the cell's owner if the store turns this host away.
pub async fn accept(
    host: &Host,
    cell: u32,
    job: JobId,
    record: Vec<u8>,
    limit: Duration,
) -> Passed {
    let end = Instant::now() + limit;
    let first = write(host, cell, job, &record, limit.mul_f64(0.4)).await;
    if first == Passed::Kept {
        return first;
    }
    let owner = host.owners.known(cell).filter(|at| *at != host.peer());
    let left = end.saturating_duration_since(Instant::now()).min(PASS);
    let Some(at) = owner else {
        return first;
    };
    info!("event=job-passed job={job} cell={cell} to={at} own=\"{first:?}\"");
    let passed = host
        .owners
        .call(at, left, |c, context| async move { c.pass(context, cell, job, record).await });
    match (first, passed.await) {
        (_, Some(Passed::Kept)) => Passed::Kept,
        (Passed::Refused, Some(Passed::Refused)) => Passed::Refused,
        (_, answer) => {
            warn!("event=job-in-doubt job={job} cell={cell} own={first:?} peer={answer:?}");
            Passed::Unknown
        }
    }
}
