//! Who holds a cell, by the store.

use super::member::LIMIT;
use super::owners::{address, carries};
use super::watch::Seen;
use crate::host::Host;
use crate::layout::Layout;
use crate::names::group;

/// Asks the store who holds a cell.
pub async fn standing(host: &Host, cell: u32) -> Seen {
    let rows = match host.store.owners(&group(cell), LIMIT).await {
        Ok(rows) => rows,
        Err(e) => {
            host.store_missed(&e);
            return Seen::Unknown;
        }
    };
    host.store_reached();
    let Some(owner) = rows.into_iter().find(|r| r.part == cell) else {
        return Seen::Vacant;
    };
    if let Some(at) = address(&owner.member) {
        host.owners.learn(cell, at);
    }
    held_by(host, &owner.member)
}

/// What it means for this host that a member holds a cell.
pub fn held_by(host: &Host, member: &str) -> Seen {
    let size = host.layout().map_or(0, Layout::size);
    let weak = carries(member).is_some_and(|most| most < size);
    match address(member).filter(|_| weak) {
        Some(at) => Seen::Weak(at),
        None => Seen::Held,
    }
}
