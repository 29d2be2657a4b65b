//! Group commit: appends the commands of many callers to the log as one record.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use myrtle_base::{Millis, winner};
use myrtle_cell::{Batch, Op, Record, Verdicts};
use myrtle_peer::{Proposal, SchedPeerClient};
use myrtle_platform::Failure;

use crate::tables::Tables;

/// Minimum time between two appends of this writer.
const APPEND_INTERVAL: Duration = Duration::from_millis(250);

/// How long a first command waits for others to share its record.
const BATCH_DELAY: Duration = Duration::from_millis(15);

/// Number of commands at which a record takes no further request.
const MAX_OPS: usize = 512;

/// How long a batch may take effect after it was created, by the log's clock.
const BATCH_TTL: Millis = Millis(20_000);

/// How long to wait for a batch to be read back before it is appended again.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a caller waits for its verdicts.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(4);

/// Commands of one caller.
#[derive(Debug)]
pub struct CommitRequest {
    /// The commands.
    pub ops: Vec<Op>,
    /// Receives the verdicts.
    pub reply: oneshot::Sender<Verdicts>,
}

impl Tables {
    /// Commits commands through the cell's writer, or from here if it does not answer.
    pub async fn propose(&self, ops: Vec<Op>) -> Proposal {
        if ops.is_empty() {
            return Proposal::Folded(Vec::new());
        }
        let live = self.live();
        let writer = winner(live.iter().map(String::as_str), "writer");
        let links = self.peer_links();
        let link = links.into_iter().find(|(name, _)| Some(name.as_str()) == writer);
        if let Some((_, link)) = link {
            let (stamp, ops) = (self.events.clock().tick(), ops.clone());
            let call = |c: SchedPeerClient, x| async move { c.propose(x, stamp, ops).await };
            if let Some(proposal) = link.call(VERDICT_TIMEOUT, call).await {
                return proposal;
            }
        }
        self.commit(ops).await
    }

    /// Appends commands to the log from this host and waits for their verdicts.
    pub async fn commit(&self, ops: Vec<Op>) -> Proposal {
        let (reply, verdicts) = oneshot::channel();
        if self.commits.try_send(CommitRequest { ops, reply }).is_err() {
            return Proposal::Away;
        }
        match timeout(VERDICT_TIMEOUT, verdicts).await {
            Ok(Ok(verdicts)) => Proposal::Folded(verdicts),
            _ => Proposal::Away,
        }
    }
}

/// Appends batches of requests until all senders are dropped.
pub async fn run(tables: Arc<Tables>, mut requests: mpsc::Receiver<CommitRequest>) {
    let mut seq = 0;
    let mut next = Instant::now();
    while let Some(first) = requests.recv().await {
        // A batch whose callers have timed out would delay the following ones.
        if first.reply.is_closed() {
            continue;
        }
        sleep_until(next.max(Instant::now() + BATCH_DELAY)).await;
        let batch = collect_batch(first, &mut requests);
        seq += 1;
        next = Instant::now() + APPEND_INTERVAL;
        append(&tables, seq, batch).await;
    }
}

fn collect_batch(
    first: CommitRequest,
    requests: &mut mpsc::Receiver<CommitRequest>,
) -> Vec<CommitRequest> {
    let mut count = first.ops.len();
    let mut batch = vec![first];
    while count < MAX_OPS {
        let Ok(request) = requests.try_recv() else { break };
        // The caller timed out, as after an outage.
        if request.reply.is_closed() {
            continue;
        }
        count += request.ops.len();
        batch.push(request);
    }
    batch
}

/// Appends one batch and sends its verdicts once it is read back.
///
/// A failed append may have taken effect, so the same batch is appended again and the fold applies
/// it once. After its expiry it can take no effect and is dropped.
async fn append(tables: &Tables, seq: u64, batch: Vec<CommitRequest>) {
    let ops: Vec<Op> = batch.iter().flat_map(|o| o.ops.iter().cloned()).collect();
    let expires = tables.log_now().unwrap_or_default() + BATCH_TTL;
    let stamp = tables.events.clock().tick();
    let record = Record::Batch(Batch { writer: tables.writer, seq, expires, stamp, ops });
    let bytes = record.encode();
    tables.metrics.count("myrtle_log_appends", "cell");
    // Repeats of earlier batches may have left verdicts that no caller waits for.
    tables.cell(|c| c.verdicts.clear());
    loop {
        let appended = tables.log.append(&tables.stream(), bytes.clone()).await;
        if let Err(e) = &appended {
            warn!("log: no successful reply to append {seq}, which may have taken effect: {e}");
        }
        if let Some(verdicts) = read_back(tables, seq, read_back_timeout(&appended)).await {
            return send_verdicts(batch, verdicts);
        }
        if tables.cell(|c| c.cell.now > expires) || batch.iter().all(|o| o.reply.is_closed()) {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Returns how long to wait for a batch to be read back before it is appended again.
fn read_back_timeout(appended: &Result<u64, Failure>) -> Duration {
    match appended {
        // The log most likely rejected the batch; a long wait would outlast the outage.
        Err(Failure::Connect(_) | Failure::Status(..)) => APPEND_INTERVAL,
        _ => READ_BACK_TIMEOUT,
    }
}

async fn read_back(tables: &Tables, seq: u64, limit: Duration) -> Option<Verdicts> {
    let mut changed = tables.changed.subscribe();
    let wait = async {
        loop {
            if let Some(verdicts) = tables.cell(|c| c.verdicts.remove(&seq)) {
                return verdicts;
            }
            if changed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    timeout(limit, wait).await.ok()
}

fn send_verdicts(batch: Vec<CommitRequest>, verdicts: Verdicts) {
    let mut verdicts = verdicts.into_iter();
    for request in batch {
        let own = verdicts.by_ref().take(request.ops.len()).collect();
        let _ = request.reply.send(own);
    }
}
