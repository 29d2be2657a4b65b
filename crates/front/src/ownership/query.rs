//! Asks the store for the owner of a cell.

use super::member::CALL_LIMIT;
use super::owners::{address, max_workers};
use super::watch::Holder;
use crate::host::Host;
use crate::layout::Layout;
use crate::names::group;

/// Asks the store for the owner of a cell, and caches its address.
pub async fn query_owner(host: &Host, cell: u32) -> Holder {
    let rows = match host.store.owners(&group(cell), CALL_LIMIT).await {
        Ok(rows) => rows,
        Err(e) => {
            host.store_failed(&e);
            return Holder::Unknown;
        }
    };
    host.store_reached();
    let Some(owner) = rows.into_iter().find(|r| r.part == cell) else {
        return Holder::Vacant;
    };
    if let Some(at) = address(&owner.member) {
        host.owners.learn(cell, at);
    }
    holder_of(host, &owner.member)
}

/// Classifies the member that owns a cell by its capacity.
pub fn holder_of(host: &Host, member: &str) -> Holder {
    let size = host.layout().map_or(0, Layout::max_size);
    let undersized = max_workers(member).is_some_and(|max| max < size);
    match address(member).filter(|_| undersized) {
        Some(at) => Holder::Undersized(at),
        None => Holder::Capable,
    }
}
