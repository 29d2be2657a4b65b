//! Reads the newest records of a partition, page by page.

use std::time::Duration;

use myrtle_adapter::{Item, StoreError};

use crate::host::Host;

/// Hands every newest record of a partition to `take`; returns the offset from which to go on.
///
/// Each page may take as long as `limit`.
pub async fn newest(
    host: &Host,
    topic: &str,
    part: u32,
    limit: Duration,
    mut take: impl FnMut(Item),
) -> Result<u64, StoreError> {
    let mut after = String::new();
    let mut end = None;
    loop {
        let page = host.store.newest(topic, part, &after, limit).await?;
        // Later pages may hold later records; those are read twice, which does no harm.
        let end = *end.get_or_insert(page.end);
        let last = page.items.last().map(|i| i.key.clone());
        page.items.into_iter().for_each(&mut take);
        match last {
            Some(last) if page.more => after = last,
            _ => return Ok(end),
        }
    }
}
