//! Takes part for cells of other data centres while these have no host left.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::sleep;

use crate::host::Host;
use crate::member;
use crate::names::group;
use crate::owners::address;

/// The time between two looks at the other cells.
const EVERY: Duration = Duration::from_millis(2_500);

/// How long the store may take to answer.
const LIMIT: Duration = Duration::from_millis(800);

/// Looks in a row without an owner before another data centre's host steps in.
const LOOKS: u32 = 2;

/// Watches a cell whose home is another data centre, until the host stops.
pub async fn watch(host: Arc<Host>, cell: u32) {
    let mut without = 0;
    while !host.stopping() {
        sleep(EVERY).await;
        let Ok(rows) = host.store.owners(&group(cell), LIMIT).await else {
            continue;
        };
        let owner = rows.iter().find(|r| r.part == cell);
        if let Some(at) = owner.and_then(|row| address(&row.member)) {
            host.owners.learn(cell, at);
        }
        without = if owner.is_some() { 0 } else { without + 1 };
        if without >= LOOKS {
            info!("event=cell-without-owner cell={cell} looks={without}");
            // Stays until the host stops: a cell changes hands as seldom as possible.
            return member::take_part(host, cell).await;
        }
    }
}
