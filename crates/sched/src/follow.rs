//! Follows the streams of the cell and the configuration and folds them.
//!
//! State whose records the log has dropped comes from a snapshot or from a peer.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};

use myrtle_base::Millis;
use myrtle_cell::{LogRead, Record};
use myrtle_config::{ConfigRecord, Verdict};
use myrtle_peer::SchedPeerClient;
use myrtle_platform::{Entry, Page, ReadError};

use crate::names::CONFIG_STREAM;
use crate::tables::{CellTable, Tables};

/// How long a read waits for a record; bounds the age of the read that a lease is granted on.
const READ_WAIT: Duration = Duration::from_millis(800);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Timeout of fetching the state of a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of records between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 256;

/// Folds the cell's stream until the future is dropped.
pub async fn follow_cell(tables: Arc<Tables>) {
    let stream = tables.stream();
    let mut connected = true;
    loop {
        let from = tables.cell(|c| c.cell.next);
        let sent = tables.now();
        // After a failure, waiting for a record would delay noticing that the log is back.
        let wait = if connected { READ_WAIT } else { Duration::ZERO };
        match tables.log.read(&stream, from, wait).await {
            Ok(page) => {
                tables.record_contact(&mut connected, true, "the log");
                apply_page(&tables, sent, page);
            }
            Err(ReadError::Gone(first)) => restore_cell(&tables, &stream, first).await,
            Err(ReadError::Unavailable(e)) => {
                if connected {
                    warn!("log: cannot read {stream}: {e}");
                }
                tables.record_contact(&mut connected, false, "the log");
                if tables.cell(|c| c.cell.next) == 0 {
                    fetch_state(&tables).await;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Folds the configuration's stream until the future is dropped.
pub async fn follow_config(tables: Arc<Tables>) {
    loop {
        let from = tables.config(|c| c.next);
        match tables.log.read(CONFIG_STREAM, from, READ_WAIT).await {
            Ok(page) => page.entries.iter().for_each(|e| apply_change(&tables, e)),
            Err(ReadError::Gone(first)) => restore_config(&tables, first).await,
            Err(ReadError::Unavailable(_)) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Appends snapshots of the cell while this host is elected, until the future is dropped.
pub async fn write_snapshots(tables: Arc<Tables>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        if !tables.online() || !tables.elected("snapshot") {
            continue;
        }
        let cell = tables.cell(|c| {
            let due = c.cell.next >= c.snapshot + SNAPSHOT_INTERVAL;
            due.then(|| c.cell.clone())
        });
        let Some(cell) = cell else { continue };
        let record = Record::Snapshot(Box::new(myrtle_cell::Snapshot { cell }));
        let _ = tables.log.append(&tables.stream(), record.encode()).await;
    }
}

/// Appends snapshots of the configuration while this host is elected, until it is dropped.
pub async fn write_config_snapshots(tables: Arc<Tables>) {
    let mut written = 0;
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let next = tables.config(|c| c.next);
        if next < written + SNAPSHOT_INTERVAL
            || !tables.online()
            || !tables.elected("config-snapshot")
        {
            continue;
        }
        let config = tables.config(|c| c.clone());
        written = next;
        let _ = tables.log.append(CONFIG_STREAM, ConfigRecord::Snapshot(config).encode()).await;
    }
}

/// Adopts the state of peers where it is newer, as it may be newer than the log's snapshots.
pub async fn fetch_state(tables: &Tables) {
    for (name, link) in tables.peer_links() {
        let call = |c: SchedPeerClient, x| async move { c.state(x).await };
        let Some(whole) = link.call(FETCH_TIMEOUT, call).await else { continue };
        tables.config(|c| c.catch_up(whole.config));
        let newer = tables.cell(|c| {
            let newer = whole.cell.next > c.cell.next;
            if newer {
                c.cell = whole.cell;
            }
            newer
        });
        if newer {
            info!("log: adopted the state of {name}");
            tables.events.add("log", format!("adopted the state of {name}"));
            tables.notify();
        }
    }
}

fn apply_page(tables: &Tables, sent: Millis, page: Page) {
    let now = tables.now();
    let folded = tables.cell(|table| {
        let mut folded = false;
        for entry in &page.entries {
            if entry.offset > table.cell.next {
                return folded;
            }
            apply_entry(tables, table, entry);
            folded = true;
        }
        table.log_time = Some((page.time, now));
        if !page.more {
            table.read = Some(LogRead { sent_at: sent });
        }
        folded
    });
    if folded {
        tables.notify();
    }
}

fn apply_entry(tables: &Tables, table: &mut CellTable, entry: &Entry) {
    match Record::decode(&entry.data) {
        Some(Record::Batch(batch)) => {
            tables.events.clock().advance(batch.stamp);
            let verdicts = table.cell.fold(entry.offset, entry.time, &batch);
            let own = batch.writer == tables.writer;
            // The verdicts of a repeated batch are not those of the batch itself.
            if own && !table.verdicts.contains_key(&batch.seq) {
                table.verdicts.insert(batch.seq, verdicts);
            }
        }
        Some(Record::Snapshot(_)) => {
            table.cell.skip(entry.offset, entry.time);
            table.snapshot = entry.offset;
        }
        None => {
            warn!("log: cannot decode record {}, skipped", entry.offset);
            table.cell.skip(entry.offset, entry.time);
        }
    }
}

/// Adopts the newest snapshot that the log's remaining records continue, or the state of a peer.
async fn restore_cell(tables: &Tables, stream: &str, first: u64) {
    tables.events.add(
        "log",
        format!("records before {first} are no longer in the log, looking for a snapshot"),
    );
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
    let adopted = found.is_some_and(|s| tables.cell(|c| c.cell.catch_up(*s)));
    if adopted {
        tables.notify();
        return;
    }
    fetch_state(tables).await;
    tokio::time::sleep(RETRY_DELAY).await;
}

async fn restore_config(tables: &Tables, first: u64) {
    let mut from = first;
    while let Ok(page) = tables.log.read(CONFIG_STREAM, from, Duration::ZERO).await {
        let Some(last) = page.entries.last() else { break };
        from = last.offset + 1;
        for entry in &page.entries {
            if let Some(ConfigRecord::Snapshot(config)) = ConfigRecord::decode(&entry.data) {
                tables.config(|c| c.catch_up(config));
            }
        }
    }
    if tables.config(|c| c.next) < first {
        fetch_state(tables).await;
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn apply_change(tables: &Tables, entry: &Entry) {
    match ConfigRecord::decode(&entry.data) {
        Some(ConfigRecord::Change(change)) => {
            let (scope, by) = (change.desired.scope.clone(), change.by.clone());
            let verdict = tables.config(|c| c.fold(entry.offset, change));
            let text = match verdict {
                Verdict::Accepted(version) => format!("{scope} by {by} in force as {version}"),
                Verdict::Refused(refusal) => format!("{scope} by {by} refused: {refusal}"),
            };
            info!("config: {text}");
            tables.events.add("config", text);
        }
        Some(ConfigRecord::Snapshot(_)) => tables.config(|c| c.skip(entry.offset)),
        None => {
            warn!("config: cannot decode record {}, skipped", entry.offset);
            tables.config(|c| c.skip(entry.offset));
        }
    }
    tables.notify();
}
