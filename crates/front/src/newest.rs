//! Reads the newest records of a partition, page by page.

use std::time::Duration;

use myrtle_adapter::{Item, StoreError};

use crate::host::Host;

/// Applies the newest record of each key of a partition; returns the offset at which to continue.
///
/// `limit` is the time limit for each page.
///
/// # Errors
///
/// Fails with the first page that can't be read.
pub async fn newest(
    host: &Host,
    topic: &str,
    partition: u32,
    limit: Duration,
    mut apply: impl FnMut(Item),
) -> Result<u64, StoreError> {
    let mut after = String::new();
    let mut end = None;
    loop {
        let page = host.store.newest(topic, partition, &after, limit).await?;
        // Later pages may contain later records; reading those twice is harmless.
        let end = *end.get_or_insert(page.end);
        let last = page.items.last().map(|i| i.key.clone());
        page.items.into_iter().for_each(&mut apply);
        match last {
            Some(last) if page.more => after = last,
            _ => return Ok(end),
        }
    }
}
