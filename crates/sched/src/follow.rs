//! Follows the streams and folds them; starts from snapshots or from a peer.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};

use myrtle_base::Millis;
use myrtle_cell::{Read, Record};
use myrtle_config::{ConfigRecord, Verdict};
use myrtle_peer::SchedPeerClient;
use myrtle_platform::{Entry, Page, ReadError};

use crate::names::CONFIG;
use crate::tables::{CellTable, Tables};

/// How long a read waits for a record; bounds the age of a lease's grounds.
const WAIT: Duration = Duration::from_millis(800);

/// The pause after a read that failed.
const PAUSE: Duration = Duration::from_millis(200);

/// How long a peer may take to tell its state.
const WHOLE: Duration = Duration::from_secs(3);

/// Records folded after which a writer leaves a snapshot.
const SNAPSHOT_EVERY: u64 = 256;

/// Follows the cell's stream until the future is dropped.
pub async fn follow_cell(tables: Arc<Tables>) {
    let stream = tables.stream();
    let mut contact = true;
    loop {
        let from = tables.cell(|c| c.cell.next);
        let sent = tables.now();
        // The first read after an outage waits for no record, or it would tell late that it is over.
        let wait = if contact { WAIT } else { Duration::ZERO };
        match tables.log.read(&stream, from, wait).await {
            Ok(page) => {
                tables.note_contact(&mut contact, true, "the log");
                take_page(&tables, sent, page);
            }
            Err(ReadError::Gone(first)) => catch_up(&tables, &stream, first).await,
            Err(ReadError::Away(e)) => {
                if contact {
                    warn!("log: cannot read {stream}: {e}");
                }
                tables.note_contact(&mut contact, false, "the log");
                if tables.cell(|c| c.cell.next) == 0 {
                    ask_peers(&tables).await;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Follows the configuration until the future is dropped.
pub async fn follow_config(tables: Arc<Tables>) {
    loop {
        let from = tables.config(|c| c.next);
        match tables.log.read(CONFIG, from, WAIT).await {
            Ok(page) => page.entries.iter().for_each(|e| take_change(&tables, e)),
            Err(ReadError::Gone(first)) => catch_up_config(&tables, first).await,
            Err(ReadError::Away(_)) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Leaves snapshots when it is this host's turn, until the future is dropped.
pub async fn leave_snapshots(tables: Arc<Tables>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        if !tables.lit() || !tables.mine("snapshot") {
            continue;
        }
        let cell = tables.cell(|c| {
            let due = c.cell.next >= c.snapshot + SNAPSHOT_EVERY;
            due.then(|| c.cell.clone())
        });
        let Some(cell) = cell else { continue };
        let record = Record::Snapshot(Box::new(myrtle_cell::Snapshot { cell }));
        let _ = tables.log.append(&tables.stream(), record.encode()).await;
    }
}

/// Leaves snapshots of the configuration when it is this host's turn.
pub async fn leave_config_snapshots(tables: Arc<Tables>) {
    let mut done = 0;
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let next = tables.config(|c| c.next);
        if next < done + SNAPSHOT_EVERY || !tables.lit() || !tables.mine("config-snapshot") {
            continue;
        }
        let config = tables.config(|c| c.clone());
        done = next;
        let _ = tables.log.append(CONFIG, ConfigRecord::Snapshot(config).encode()).await;
    }
}

/// Takes in the state of a peer, which may be newer than what the log's snapshots give.
pub async fn ask_peers(tables: &Tables) {
    for (name, link) in tables.peer_links() {
        let call = |c: SchedPeerClient, x| async move { c.whole(x).await };
        let Some(whole) = link.call(WHOLE, call).await else { continue };
        tables.config(|c| c.catch_up(whole.config));
        let newer = tables.cell(|c| {
            let newer = whole.cell.next > c.cell.next;
            if newer {
                c.cell = whole.cell;
            }
            newer
        });
        if newer {
            info!("log: took in the state of {name}");
            tables.ring.add("log", format!("took in the state of {name}"));
            tables.wake();
        }
    }
}

fn take_page(tables: &Tables, sent: Millis, page: Page) {
    let now = tables.now();
    let folded = tables.cell(|table| {
        let mut folded = false;
        for entry in &page.entries {
            if entry.offset > table.cell.next {
                return folded;
            }
            take_entry(tables, table, entry);
            folded = true;
        }
        table.log_time = Some((page.time, now));
        if !page.more {
            table.read = Some(Read { sent });
        }
        folded
    });
    if folded {
        tables.wake();
    }
}

fn take_entry(tables: &Tables, table: &mut CellTable, entry: &Entry) {
    match Record::decode(&entry.data) {
        Some(Record::Batch(batch)) => {
            tables.ring.clock().merge(batch.stamp);
            let verdicts = table.cell.fold(entry.offset, entry.time, &batch);
            let own = batch.writer == tables.writer;
            // A repeat of a batch says nothing about the batch itself.
            if own && !table.verdicts.contains_key(&batch.seq) {
                table.verdicts.insert(batch.seq, verdicts);
            }
        }
        Some(Record::Snapshot(_)) => {
            table.cell.pass(entry.offset, entry.time);
            table.snapshot = entry.offset;
        }
        None => {
            warn!("log: record {} cannot be read, passed over", entry.offset);
            table.cell.pass(entry.offset, entry.time);
        }
    }
}

/// Looks for the newest snapshot from which the kept records lead on.
async fn catch_up(tables: &Tables, stream: &str, first: u64) {
    tables.ring.add("log", format!("records before {first} are gone, looking for a snapshot"));
    let mut from = first;
    let mut found = None;
    while let Ok(page) = tables.log.read(stream, from, Duration::ZERO).await {
        let Some(last) = page.entries.last() else { break };
        from = last.offset + 1;
        let mut snapshots = page.entries.iter().filter_map(|e| match Record::decode(&e.data) {
            Some(Record::Snapshot(s)) if s.cell.next >= first => Some(s),
            _ => None,
        });
        found = snapshots.next_back().or(found);
    }
    let adopted = found.is_some_and(|s| tables.cell(|c| c.cell.adopt(*s)));
    if adopted {
        tables.wake();
        return;
    }
    ask_peers(tables).await;
    tokio::time::sleep(PAUSE).await;
}

async fn catch_up_config(tables: &Tables, first: u64) {
    let mut from = first;
    while let Ok(page) = tables.log.read(CONFIG, from, Duration::ZERO).await {
        let Some(last) = page.entries.last() else { break };
        from = last.offset + 1;
        for entry in &page.entries {
            if let Some(ConfigRecord::Snapshot(config)) = ConfigRecord::decode(&entry.data) {
                tables.config(|c| c.catch_up(config));
            }
        }
    }
    if tables.config(|c| c.next) < first {
        ask_peers(tables).await;
        tokio::time::sleep(PAUSE).await;
    }
}

fn take_change(tables: &Tables, entry: &Entry) {
    match ConfigRecord::decode(&entry.data) {
        Some(ConfigRecord::Change(change)) => {
            let (scope, by) = (change.desired.scope.clone(), change.by.clone());
            let verdict = tables.config(|c| c.fold(entry.offset, change));
            let text = match verdict {
                Verdict::Accepted(version) => format!("{scope} by {by} in force as {version}"),
                Verdict::Refused(refusal) => format!("{scope} by {by} turned down: {refusal}"),
            };
            info!("config: {text}");
            tables.ring.add("config", text);
        }
        Some(ConfigRecord::Snapshot(_)) => tables.config(|c| c.skip(entry.offset)),
        None => {
            warn!("config: record {} cannot be read, passed over", entry.offset);
            tables.config(|c| c.skip(entry.offset));
        }
    }
    tables.wake();
}
