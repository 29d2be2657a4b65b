//! Appends under an owner's token that are repeated until the store confirms them.

use std::time::Duration;

use bytes::Bytes;
use log::info;
use tokio::time::sleep;

use myrtle_adapter::{Appended, StoreError, Writer};

use crate::backoff::Backoff;
use crate::host::Host;
use crate::names::OWNER_WRITER;
use crate::owned::Owned;

/// An append by an owner; a repeat carries the same number, so the records are written once.
#[derive(Debug)]
pub struct OwnerAppend<'a> {
    /// The topic.
    pub topic: &'a str,
    /// The partition.
    pub partition: u32,
    /// The number among this owner's appends to the partition.
    pub number: u64,
    /// The framed records.
    pub body: Bytes,
    /// The time limit for each attempt.
    pub limit: Duration,
}

/// Appends until the store confirms it, with a pause after each failure; nothing if the owner is closed before.
///
/// The first attempt is made in any case, so that an owner that stops still writes what it knows.
pub async fn append(
    host: &Host,
    owned: &Owned,
    append: OwnerAppend<'_>,
    mut backoff: Backoff,
) -> Option<Appended> {
    let OwnerAppend { topic, partition, number, body, limit } = append;
    let writer = Writer { name: OWNER_WRITER, epoch: owned.fence, seq: number };
    loop {
        match host.store.append(topic, partition, Some(writer), body.clone(), limit).await {
            Ok(appended) => return Some(appended),
            Err(StoreError::Fenced) => owned.depose(topic),
            // Another process wrote with this token, so the store issued the token twice.
            Err(StoreError::Sequence { .. }) => owned.depose("the log's numbering"),
            Err(e) => {
                let cell = owned.cell;
                info!(
                    "event=append-again topic={topic} cell={cell} number={number} reason=\"{e}\""
                );
                host.store_failed(&e);
                sleep(backoff.pause()).await;
            }
        }
        if owned.closed() {
            return None;
        }
    }
}
