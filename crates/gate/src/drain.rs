//! A planned stop: nothing in flight is cut off, everything kept is handed on.

use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::time::{Instant, sleep};

use myrtle_base::winner;
use myrtle_cell::{Op, Unit};
use myrtle_peer::{GatePeerClient, Proposal};

use crate::life::Event;
use crate::tables::Tables;

/// How long the balancer is given to see that the gate is not ready.
const BALANCER: Duration = Duration::from_millis(1_000);

/// How long another gate may take to take a unit.
const TAKE: Duration = Duration::from_millis(700);

/// How often a hand-over is put into the log before the lease is left to lapse.
const TRIES: u32 = 5;

/// Says that the gate stops, and waits for the balancer to see it.
pub async fn announce(tables: &Tables) {
    info!("gate: draining");
    tables.live(Event::Drain);
    sleep(BALANCER).await;
}

/// Waits until nothing is in flight, or until the settings' limit.
pub async fn finish(tables: &Tables) -> bool {
    let end = Instant::now() + tables.settings.drain.0.std();
    let busy = || {
        tables.core(|cores| cores.values().map(|c| c.upstreams.busy() + c.waiting() as u32).sum())
    };
    while Instant::now() < end {
        let left: u32 = busy();
        if left == 0 {
            return true;
        }
        sleep(Duration::from_millis(20)).await;
    }
    busy() == 0
}

/// Hands on everything that is kept and leaves the cell.
pub async fn leave(tables: &Arc<Tables>) {
    let moves = heirs(tables);
    hand_over(tables, moves).await;
    tables.report_usage().await;
    let (gate, boot) = (tables.name().to_string(), tables.boot());
    // A unit that nobody took must not be free before the loans on it have run out.
    if tables.books(|b| b.units().is_empty()) {
        tables.propose(vec![Op::Leave { gate, boot }]).await;
    }
    tables.live(Event::Emptied);
    info!("gate: left");
}

/// Hands units to other gates; one that is not taken stays here.
pub async fn hand_over(tables: &Arc<Tables>, moves: Vec<(Unit, String)>) {
    let mut ops = Vec::new();
    for (unit, to) in moves {
        if give(tables, &unit, &to).await {
            let from = tables.name().to_string();
            ops.push(Op::Hand { unit, from, to });
        }
    }
    if ops.is_empty() {
        return;
    }
    tables.ring.add("gate", format!("hands {} units on", ops.len()));
    for _ in 0..TRIES {
        if let Proposal::Folded(_) = tables.propose(ops.clone()).await {
            return;
        }
    }
}

/// The gates that should keep each unit when this one is gone.
fn heirs(tables: &Tables) -> Vec<(Unit, String)> {
    let view = tables.view.load();
    let others = || view.peering.gates.keys().filter(|g| *g != tables.name()).map(String::as_str);
    let heir = |unit: Unit| {
        let heir = winner(others(), &unit.to_string())?.to_string();
        Some((unit, heir))
    };
    tables.books(|b| b.units()).into_iter().filter_map(heir).collect()
}

/// Gives what is known of a unit to another gate.
///
/// From here on this gate does not use the unit's book any more; whether the other gate got it is
/// not certain, so it is not taken back.
async fn give(tables: &Tables, unit: &Unit, to: &str) -> bool {
    let Some(at) = tables.view.load().peer(to) else { return false };
    let now = tables.now();
    let Some(over) = tables.books(|b| b.close(unit, now)) else { return false };
    let (unit, from) = (unit.clone(), tables.name().to_string());
    let link = tables.gate_link(at);
    let call = |c: GatePeerClient, x| async move { c.take(x, unit, from, over).await };
    // Without an answer the new keeper may know nothing; it is then cautious by itself.
    link.call(TAKE, call).await;
    true
}
