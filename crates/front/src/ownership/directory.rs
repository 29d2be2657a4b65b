//! Reads the topic in which hosts announce the owners of cells, and writes this host's announcements to it.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{StoreError, frame_keyed, unframe_keyed};
use myrtle_job::{decode, encode};

use super::entry::Entry;
use super::member::{CALL_LIMIT, RETRY_PAUSE};
use super::owners::address;
use crate::backoff::Backoff;
use crate::clock::now;
use crate::host::Host;
use crate::names::DIRECTORY;
use crate::newest::newest;
use crate::owned::Owned;
use crate::renewal::ttl;

/// How long a read waits for new records; a host that misses some in a network partition still asks the store for
/// owners.
const READ_WAIT: Duration = Duration::from_secs(10);

/// The time allowed for the reply to a waiting read beyond its wait.
const REPLY_MARGIN: Duration = Duration::from_millis(1_000);

/// The longest pause after failed reads.
const MAX_PAUSE: Duration = Duration::from_millis(2_400);

/// The suffix of the keys that record up to which fencing token the owners of a cell have ended.
const ENDED_SUFFIX: &str = ".over";

/// The time limit for one page of the newest records.
const NEWEST_LIMIT: Duration = Duration::from_millis(2_000);

/// Follows the directory until the process ends.
pub async fn follow(host: Arc<Host>) {
    let mut from = None;
    let mut backoff = Backoff::new(RETRY_PAUSE, MAX_PAUSE);
    loop {
        let step = match from {
            None => read_newest(&host).await,
            Some(at) => read_next(&host, at).await,
        };
        match step {
            Ok(next) => {
                host.store_reached();
                backoff.reset();
                from = Some(next);
            }
            Err(StoreError::Gone { first }) => {
                info!("event=directory-cut first={first}");
                from = None;
            }
            Err(e) => {
                host.store_failed(&e);
                sleep(backoff.pause()).await;
            }
        }
    }
}

/// Reads the newest record of each cell; returns the next offset.
async fn read_newest(host: &Arc<Host>) -> Result<u64, StoreError> {
    newest(host, DIRECTORY, 0, NEWEST_LIMIT, |item| apply(host, &item.key, &item.value)).await
}

/// Reads the records from an offset, and waits if there are none; returns the next offset.
async fn read_next(host: &Arc<Host>, from: u64) -> Result<u64, StoreError> {
    let page = host.store.read(DIRECTORY, 0, from, READ_WAIT, READ_WAIT + REPLY_MARGIN).await?;
    let next = from + page.records.len() as u64;
    for record in page.records {
        match unframe_keyed(record) {
            Ok(framed) => apply(host, &framed.key, &framed.value),
            Err(e) => warn!("event=directory-unread reason=\"{e}\""),
        }
    }
    Ok(next)
}

/// Applies a record to the directory and to the cached owners.
fn apply(host: &Arc<Host>, key: &str, value: &[u8]) {
    if let Some((cell, fence)) = parse_end(key, value) {
        return host.directory.note_end(cell, fence + 1, now());
    }
    let (Ok(cell), Ok(entry)) = (key.parse::<u32>(), decode::<Entry>(value)) else {
        return warn!("event=directory-unread key={key} bytes={}", value.len());
    };
    // The store may assign a cell again at once; the previous owner learns of it at its next join.
    host.directory.note_end(cell, entry.fence, now() + ttl(host));
    if !host.directory.apply(cell, entry.clone()) {
        return;
    }
    match address(&entry.member) {
        Some(at) => host.owners.learn(cell, at),
        None => host.owners.remove(cell),
    }
    let held = host.owned(cell).filter(|o| !o.closed() && o.fence >= entry.fence);
    if let Some(owned) = held.filter(|_| entry.member != host.member()) {
        // Another host found the cell free while this host's membership had lapsed; this host still owns it.
        tokio::spawn(announce_owner(host.clone(), owned));
    }
}

/// Announces that this host owns a cell; retries until that is written or the owner is closed.
pub async fn announce_owner(host: Arc<Host>, owned: Arc<Owned>) {
    let entry = Entry { fence: owned.fence, member: host.member() };
    while !owned.closed() {
        match write(&host, owned.cell, &entry).await {
            Ok(()) => return,
            Err(e) => {
                host.store_failed(&e);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Announces that a cell last owned under a token is free; a failure only delays the next owner.
pub async fn announce_free(host: &Host, cell: u32, fence: u64) {
    let entry = Entry { fence, member: String::new() };
    if let Err(e) = write(host, cell, &entry).await {
        warn!("event=notice-failed cell={cell} reason=\"{e}\"");
    }
}

/// Announces that this host's ownership under a token has ended and that the cell is free; a failure only delays the
/// next owner.
pub async fn announce_end(host: &Host, cell: u32, fence: u64) {
    host.directory.note_end(cell, fence + 1, now());
    let entry = Entry { fence, member: String::new() };
    let mut body = BytesMut::new();
    frame_keyed(&mut body, &format!("{cell}{ENDED_SUFFIX}"), &encode(&fence));
    frame_keyed(&mut body, &cell.to_string(), &encode(&entry));
    if let Err(e) = host.store.append(DIRECTORY, 0, None, body.freeze(), CALL_LIMIT).await {
        warn!("event=notice-failed cell={cell} reason=\"{e}\"");
    }
}

/// Parses a record of an owner's end into the cell and the owner's token.
fn parse_end(key: &str, value: &[u8]) -> Option<(u32, u64)> {
    let cell = key.strip_suffix(ENDED_SUFFIX)?.parse().ok()?;
    Some((cell, decode(value).ok()?))
}

async fn write(host: &Host, cell: u32, entry: &Entry) -> Result<(), StoreError> {
    let mut body = BytesMut::new();
    frame_keyed(&mut body, &cell.to_string(), &encode(entry));
    host.store.append(DIRECTORY, 0, None, body.freeze(), CALL_LIMIT).await.map(drop)
}
