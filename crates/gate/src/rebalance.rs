//! Hands units on to the gates that should keep them.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::sleep;

use myrtle_base::winner;
use myrtle_cell::{Op, Subject, Unit};
use myrtle_peer::Proposal;
use myrtle_route::KeyTable;

use crate::drain::hand_over;
use crate::tables::Tables;

/// The time between two looks for better keepers.
const LOOK: Duration = Duration::from_secs(1);

/// Units handed on at a time when a better keeper is there.
const MOVES: usize = 16;

/// Hands units to better keepers, a few at a time, until the future is dropped.
pub async fn run(tables: Arc<Tables>) {
    loop {
        sleep(LOOK).await;
        let moves: Vec<_> = better_keepers(&tables).into_iter().take(MOVES).collect();
        // What is handed on has no keeper until that is in the log, so the log has to be there.
        if !moves.is_empty() && log_takes(&tables).await {
            hand_over(&tables, moves).await;
        }
    }
}

/// Whether every bucket of keys has a keeper and nothing has to be handed on, as far as this gate
/// knows.
pub fn settled(tables: &Tables) -> bool {
    let view = tables.view.load();
    let own = tables.books(|b| b.units());
    let kept = |bucket| {
        let unit = Unit::Keys(bucket);
        let keep = view.peering.units.get(&unit);
        keep.is_some_and(|k| k.gate != tables.name() || own.contains(&unit))
    };
    KeyTable::buckets().all(kept) && better_keepers(tables).is_empty()
}

/// Whether the log takes commands now: one that changes nothing, unless this gate is suspected, is
/// put there and read back.
async fn log_takes(tables: &Tables) -> bool {
    let subject = Subject::Gate(tables.name().to_string());
    let folded = matches!(tables.propose(vec![Op::Clear { subject }]).await, Proposal::Folded(_));
    if !folded {
        info!("gate: nothing is handed on while the log is away");
    }
    folded
}

/// Units kept here that another gate should keep.
fn better_keepers(tables: &Tables) -> Vec<(Unit, String)> {
    let view = tables.view.load();
    let up = || view.peering.gates.keys().map(String::as_str);
    let better = |unit: &Unit| {
        let best = winner(up(), &unit.to_string())?;
        (best != tables.name()).then(|| best.to_string())
    };
    let units = tables.books(|b| b.units());
    units.into_iter().filter_map(|u| Some((u.clone(), better(&u)?))).collect()
}
