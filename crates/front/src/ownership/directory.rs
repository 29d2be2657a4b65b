//! Follows the directory, and writes what this host knows of a cell into it.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use log::{info, warn};
use tokio::time::sleep;

use myrtle_adapter::{StoreError, frame_keyed, unframe_keyed};
use myrtle_job::{decode, encode};

use super::entry::Entry;
use super::member::{LIMIT, PAUSE};
use super::owners::address;
use crate::backoff::Backoff;
use crate::clock::now;
use crate::hold::ttl;
use crate::host::Host;
use crate::names::DIRECTORY;
use crate::newest::newest;
use crate::owned::Owned;

/// How long a read waits for news: what a host misses behind a cut it hears from the store when it asks.
const WAIT: Duration = Duration::from_secs(10);

/// What an answer may take beyond that.
const BEYOND: Duration = Duration::from_millis(1_000);

/// The longest pause between reads that fail.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_400);

/// What follows the cell in the keys of records that tell of owners' ends.
const OVER: &str = ".over";

/// How long the newest records may take.
const NEWEST: Duration = Duration::from_millis(2_000);

/// Keeps up with the directory, for good.
pub async fn follow(host: Arc<Host>) {
    let mut from = None;
    let mut backoff = Backoff::new(PAUSE, LONGEST_PAUSE);
    loop {
        let step = match from {
            None => whole(&host).await,
            Some(at) => tail(&host, at).await,
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
                host.store_missed(&e);
                sleep(backoff.pause()).await;
            }
        }
    }
}

/// Reads what was last said of each cell.
async fn whole(host: &Arc<Host>) -> Result<u64, StoreError> {
    newest(host, DIRECTORY, 0, NEWEST, |item| take(host, &item.key, &item.value)).await
}

/// Reads what has been said since; waits for it if there is nothing.
async fn tail(host: &Arc<Host>, from: u64) -> Result<u64, StoreError> {
    let page = host.store.read(DIRECTORY, 0, from, WAIT, WAIT + BEYOND).await?;
    let next = from + page.records.len() as u64;
    for record in page.records {
        match unframe_keyed(record) {
            Ok(framed) => take(host, &framed.key, &framed.value),
            Err(e) => warn!("event=directory-unread reason=\"{e}\""),
        }
    }
    Ok(next)
}

/// Takes in a record.
fn take(host: &Arc<Host>, key: &str, value: &[u8]) {
    if let Some((cell, fence)) = over(key, value) {
        return host.directory.end(cell, fence + 1, now());
    }
    let (Ok(cell), Ok(entry)) = (key.parse::<u32>(), decode::<Entry>(value)) else {
        return warn!("event=directory-unread key={key} bytes={}", value.len());
    };
    // The store may deal a cell anew at once; the owner before hears of it with its next join.
    host.directory.end(cell, entry.fence, now() + ttl(host));
    if !host.directory.take(cell, entry.clone()) {
        return;
    }
    match address(&entry.member) {
        Some(at) => host.owners.learn(cell, at),
        None => host.owners.remove(cell),
    }
    let own = host.owned(cell).filter(|o| !o.closed() && o.fence >= entry.fence);
    if let Some(owned) = own.filter(|_| entry.member != host.member()) {
        // It was found free while the membership had lapsed, and the host went on.
        tokio::spawn(tell_held(host.clone(), owned));
    }
}

/// Tells all hosts that this one owns a cell, until that is written or no longer so.
pub async fn tell_held(host: Arc<Host>, owned: Arc<Owned>) {
    let entry = Entry { fence: owned.fence, member: host.member() };
    while !owned.closed() {
        match write(&host, owned.cell, &entry).await {
            Ok(()) => return,
            Err(e) => {
                host.store_missed(&e);
                sleep(PAUSE).await;
            }
        }
    }
}

/// Tells all hosts that a cell which was owned under a token is free; a failure costs time only.
pub async fn tell_free(host: &Host, cell: u32, fence: u64) {
    let entry = Entry { fence, member: String::new() };
    if let Err(e) = write(host, cell, &entry).await {
        warn!("event=notice-failed cell={cell} reason=\"{e}\"");
    }
}

/// Tells all hosts that this one no longer owns a cell under a token, for good, and that it is free; a failure costs
/// time only.
pub async fn tell_over(host: &Host, cell: u32, fence: u64) {
    host.directory.end(cell, fence + 1, now());
    let entry = Entry { fence, member: String::new() };
    let mut body = BytesMut::new();
    frame_keyed(&mut body, &format!("{cell}{OVER}"), &encode(&fence));
    frame_keyed(&mut body, &cell.to_string(), &encode(&entry));
    if let Err(e) = host.store.append(DIRECTORY, 0, None, body.freeze(), LIMIT).await {
        warn!("event=notice-failed cell={cell} reason=\"{e}\"");
    }
}

/// The cell and the token of a record that tells of an owner's end.
fn over(key: &str, value: &[u8]) -> Option<(u32, u64)> {
    let cell = key.strip_suffix(OVER)?.parse().ok()?;
    Some((cell, decode(value).ok()?))
}

async fn write(host: &Host, cell: u32, entry: &Entry) -> Result<(), StoreError> {
    let mut body = BytesMut::new();
    frame_keyed(&mut body, &cell.to_string(), &encode(entry));
    host.store.append(DIRECTORY, 0, None, body.freeze(), LIMIT).await.map(drop)
}
