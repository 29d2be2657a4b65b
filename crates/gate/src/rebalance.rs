//! Transfers resources to the gates that should coordinate them.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::sleep;

use myrtle_base::winner;
use myrtle_cell::{LeaseHolder, Op, Resource};
use myrtle_peer::Proposal;
use myrtle_route::KeyTable;

use crate::drain::transfer;
use crate::tables::Tables;

/// The time between two checks for better coordinators.
const INTERVAL: Duration = Duration::from_secs(1);

/// Resources that are transferred at a time.
const MAX_MOVES: usize = 16;

/// Transfers resources to better coordinators, a few at a time, until the future is dropped.
pub async fn run(tables: Arc<Tables>) {
    loop {
        sleep(INTERVAL).await;
        let moves: Vec<_> = better_coordinators(&tables).into_iter().take(MAX_MOVES).collect();
        // A transferred resource has no coordinator until the transfer is in the log, so the log
        // has to be available.
        if !moves.is_empty() && log_available(&tables).await {
            transfer(&tables, moves).await;
        }
    }
}

/// Whether every bucket of keys has a coordinator and nothing has to be transferred, according to
/// this gate's view.
pub fn settled(tables: &Tables) -> bool {
    let view = tables.view.load();
    let own = tables.resources(|r| r.resources());
    let coordinated = |bucket| {
        let resource = Resource::Keys(bucket);
        let assigned = view.peering.coordinators.get(&resource);
        assigned.is_some_and(|k| k.gate != tables.name() || own.contains(&resource))
    };
    KeyTable::buckets().all(coordinated) && better_coordinators(tables).is_empty()
}

/// Whether the log is available: writes a command that changes nothing, unless this gate is
/// suspected, and waits until it is read back.
async fn log_available(tables: &Tables) -> bool {
    let holder = LeaseHolder::Gate(tables.name().to_string());
    let folded = matches!(tables.propose(vec![Op::Clear { holder }]).await, Proposal::Folded(_));
    if !folded {
        info!("gate: no resource is transferred while the log is unavailable");
    }
    folded
}

/// Resources of this gate that another gate should coordinate.
fn better_coordinators(tables: &Tables) -> Vec<(Resource, String)> {
    let view = tables.view.load();
    let up = || view.peering.gates.keys().map(String::as_str);
    let better = |resource: &Resource| {
        let best = winner(up(), &resource.to_string())?;
        (best != tables.name()).then(|| best.to_string())
    };
    let resources = tables.resources(|r| r.resources());
    resources.into_iter().filter_map(|u| Some((u.clone(), better(&u)?))).collect()
}
