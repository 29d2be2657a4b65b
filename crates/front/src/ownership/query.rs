//! Asks the store for the owner of a cell.

use super::member::CALL_LIMIT;
use super::owners::{address, max_workers};
use super::watch::OwnerStatus;
use crate::host::Host;
use crate::layout::Layout;
use crate::names::group;

/// Asks the store for the owner of a cell and caches its address; returns the status.
pub async fn query_status(host: &Host, cell: u32) -> OwnerStatus {
    let rows = match host.store.owners(&group(cell), CALL_LIMIT).await {
        Ok(rows) => rows,
        Err(e) => {
            host.store_failed(&e);
            return OwnerStatus::Unknown;
        }
    };
    host.store_reached();
    let Some(owner) = rows.into_iter().find(|r| r.partition == cell) else {
        return OwnerStatus::Vacant;
    };
    if let Some(at) = address(&owner.member) {
        host.owners.learn(cell, at);
    }
    status_of(host, &owner.member)
}

/// The status of a cell with this member as its owner.
pub fn status_of(host: &Host, member: &str) -> OwnerStatus {
    let size = host.layout().map_or(0, Layout::max_size);
    let undersized = max_workers(member).is_some_and(|max| max < size);
    match address(member).filter(|_| undersized) {
        Some(at) => OwnerStatus::Undersized(at),
        None => OwnerStatus::Capable,
    }
}
