//! Group commit: commands of many callers go into the log as one record.

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

/// The least time between two appends of this writer.
const GAP: Duration = Duration::from_millis(250);

/// How long a first command waits for company.
const LINGER: Duration = Duration::from_millis(15);

/// Commands in one record.
const MAX_OPS: usize = 512;

/// How long after its making a batch may still take effect, by the log's clock.
const EXPIRES: Millis = Millis(20_000);

/// How long an append's record may take to be read back before it is appended again.
const READ_BACK: Duration = Duration::from_millis(1_500);

/// How long a caller waits for a verdict.
const PATIENCE: Duration = Duration::from_secs(4);

/// Commands with whoever waits for their verdicts.
#[derive(Debug)]
pub struct Order {
    /// The commands.
    pub ops: Vec<Op>,
    /// Where the verdicts go.
    pub reply: oneshot::Sender<Verdicts>,
}

impl Tables {
    /// Puts commands into the log by way of the cell's writer and waits for their verdicts.
    pub async fn propose(&self, ops: Vec<Op>) -> Proposal {
        if ops.is_empty() {
            return Proposal::Folded(Vec::new());
        }
        let live = self.live();
        let writer = winner(live.iter().map(String::as_str), "writer");
        let links = self.peer_links();
        let link = links.into_iter().find(|(name, _)| Some(name.as_str()) == writer);
        if let Some((_, link)) = link {
            let (stamp, ops) = (self.ring.clock().tick(), ops.clone());
            let call = |c: SchedPeerClient, x| async move { c.propose(x, stamp, ops).await };
            if let Some(proposal) = link.call(PATIENCE, call).await {
                return proposal;
            }
        }
        self.commit(ops).await
    }

    /// Puts commands into the log from here and waits for their verdicts.
    pub async fn commit(&self, ops: Vec<Op>) -> Proposal {
        let (reply, verdicts) = oneshot::channel();
        if self.orders.try_send(Order { ops, reply }).is_err() {
            return Proposal::Away;
        }
        match timeout(PATIENCE, verdicts).await {
            Ok(Ok(verdicts)) => Proposal::Folded(verdicts),
            _ => Proposal::Away,
        }
    }
}

/// Appends what is ordered until all senders are gone.
pub async fn run(tables: Arc<Tables>, mut orders: mpsc::Receiver<Order>) {
    let mut seq = 0;
    let mut next = Instant::now();
    while let Some(first) = orders.recv().await {
        // A batch for nobody would hold up those that somebody waits for.
        if first.reply.is_closed() {
            continue;
        }
        sleep_until(next.max(Instant::now() + LINGER)).await;
        let waiting = gather(first, &mut orders);
        seq += 1;
        next = Instant::now() + GAP;
        append(&tables, seq, waiting).await;
    }
}

fn gather(first: Order, orders: &mut mpsc::Receiver<Order>) -> Vec<Order> {
    let mut count = first.ops.len();
    let mut waiting = vec![first];
    while count < MAX_OPS {
        let Ok(order) = orders.try_recv() else { break };
        // Nobody waits any more for an order that was held up by an outage.
        if order.reply.is_closed() {
            continue;
        }
        count += order.ops.len();
        waiting.push(order);
    }
    waiting
}

/// Appends one batch and hands out its verdicts once it is read back.
///
/// An append without a good answer may have taken effect. The same batch is appended again; the
/// fold counts it once. After its deadline it can have no effect any more and is given up.
async fn append(tables: &Tables, seq: u64, waiting: Vec<Order>) {
    let ops: Vec<Op> = waiting.iter().flat_map(|o| o.ops.iter().cloned()).collect();
    let expires = tables.log_now().unwrap_or_default() + EXPIRES;
    let stamp = tables.ring.clock().tick();
    let record = Record::Batch(Batch { writer: tables.writer, seq, expires, stamp, ops });
    let bytes = record.encode();
    tables.meter.count("myrtle_log_appends", "cell");
    // Repeats of earlier batches may have left what nobody asks for.
    tables.cell(|c| c.verdicts.clear());
    loop {
        let appended = tables.log.append(&tables.stream(), bytes.clone()).await;
        if let Err(e) = &appended {
            warn!("log: append {seq} failed or its answer was lost: {e}");
        }
        if let Some(verdicts) = read_back(tables, seq, patience(&appended)).await {
            return hand_out(waiting, verdicts);
        }
        if tables.cell(|c| c.cell.now > expires) || waiting.iter().all(|o| o.reply.is_closed()) {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// How long to look for a batch in the log before it is appended again.
fn patience(appended: &Result<u64, Failure>) -> Duration {
    match appended {
        // It was most likely not taken in: looking for long would go on when the log is back.
        Err(Failure::Connect(_) | Failure::Status(..)) => GAP,
        _ => READ_BACK,
    }
}

async fn read_back(tables: &Tables, seq: u64, patience: Duration) -> Option<Verdicts> {
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
    timeout(patience, wait).await.ok()
}

fn hand_out(waiting: Vec<Order>, verdicts: Verdicts) {
    let mut verdicts = verdicts.into_iter();
    for order in waiting {
        let own = verdicts.by_ref().take(order.ops.len()).collect();
        let _ = order.reply.send(own);
    }
}
