//! Asks the keepers for slots and rates, and gives up what is not needed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{sleep, timeout};

use myrtle_cell::Unit;
use myrtle_peer::{GatePeerClient, LendReply};
use myrtle_route::Ask;

use crate::core::Core;
use crate::tables::Tables;
use crate::view::{Party, View};

/// The time between two rounds when nothing presses.
const ROUND: Duration = Duration::from_millis(100);

/// The least time between two rounds.
const LEAST: Duration = Duration::from_millis(15);

/// How long a keeper may take to answer.
const WORD: Duration = Duration::from_millis(400);

/// How much more than the recent need is wanted.
const MORE: f64 = 1.3;

/// A party's share at a quiet gate: this part of its rate.
const QUIET_PART: u32 = 16;

/// Keepers that are being asked.
#[derive(Debug, Default)]
struct Asked {
    keepers: Mutex<BTreeSet<String>>,
    seq: AtomicU64,
}

/// Asks again and again until the future is dropped.
pub async fn run(tables: Arc<Tables>) {
    let asked = Arc::new(Asked::default());
    loop {
        let view = tables.view.load_full();
        for keeper in keepers(&view) {
            let free = asked.keepers.lock().expect("no holder panics").insert(keeper.clone());
            if free {
                let (tables, view, asked) = (tables.clone(), view.clone(), asked.clone());
                tokio::spawn(async move {
                    ask(&tables, &view, &keeper, &asked.seq).await;
                    asked.keepers.lock().expect("no holder panics").remove(&keeper);
                });
            }
        }
        sleep(LEAST).await;
        let _ = timeout(ROUND, tables.needy.notified()).await;
    }
}

fn keepers(view: &View) -> BTreeSet<String> {
    view.peering.units.values().map(|k| k.gate.clone()).collect()
}

/// Asks one keeper for all that it keeps and this gate wants.
async fn ask(tables: &Arc<Tables>, view: &View, keeper: &str, seq: &AtomicU64) {
    let asks = asks(tables, view, keeper);
    if asks.is_empty() {
        return;
    }
    let seq = seq.fetch_add(1, Ordering::AcqRel) + 1;
    let sent = tables.now();
    let boot = tables.boot();
    let reply = match keeper == tables.name() {
        true => Some(tables.lend(keeper, boot, seq, asks)),
        false => ask_other(tables, view, keeper, boot, seq, asks).await,
    };
    if let Some(reply) = reply {
        take_reply(tables, sent, reply);
    }
}

async fn ask_other(
    tables: &Tables,
    view: &View,
    keeper: &str,
    boot: u64,
    seq: u64,
    asks: Vec<(Unit, Ask)>,
) -> Option<LendReply> {
    let link = tables.gate_link(view.peer(keeper)?);
    let gate = tables.name().to_string();
    let call = |c: GatePeerClient, x| async move { c.lend(x, gate, boot, seq, asks).await };
    link.call(WORD, call).await
}

/// What to ask of one keeper; from here on no more than `have` of each unit is used.
fn asks(tables: &Tables, view: &View, keeper: &str) -> Vec<(Unit, Ask)> {
    let now = tables.now();
    tables.core(|cores| {
        let mut asks = Vec::new();
        for core in cores.values_mut() {
            let wants = wants(core, view, keeper, now);
            for (unit, (busy, want)) in wants {
                let name = unit.to_string();
                if core.shares.due(&name, want, now) {
                    asks.push((unit, core.shares.ask(&name, busy, want, now)));
                }
            }
            core.set_slots(now);
        }
        asks
    })
}

/// What is in use and what is wanted of each unit of a keeper.
fn wants(core: &mut Core, view: &View, keeper: &str, now: Duration) -> BTreeMap<Unit, (u32, u32)> {
    let kept = |unit: &Unit| view.peering.units.get(unit).is_some_and(|k| k.gate == keeper);
    let mut wants = BTreeMap::new();
    let count = core.places.len().max(1);
    let need = f64::from(core.need(now)) * MORE;
    let each = (need / count as f64).ceil() as u32;
    for (no, place) in core.places.iter().enumerate() {
        let unit = Unit::Upstream(place.name.clone());
        let free = core.upstreams.get(no as u32);
        if !kept(&unit) {
            continue;
        }
        let want = if free.leaving { 0 } else { each.max(free.busy + 1) };
        wants.insert(unit, (free.busy, want));
    }
    for party in view.parties.values() {
        let unit = Unit::Party(party.name.clone());
        if !kept(&unit) {
            continue;
        }
        wants.insert(unit, (0, want_of(core, party, now)));
    }
    wants
}

/// What is wanted of a party's rate.
pub fn want_of(core: &mut Core, party: &Party, now: Duration) -> u32 {
    let demand = core.rates.entry(party.name.clone()).or_default().demand(now);
    let want = (demand * MORE).ceil() as u32;
    let least = (party.rate / QUIET_PART).max(1);
    // Coarse steps, so that small changes of demand cost no message.
    want.max(least).next_multiple_of(least).min(party.rate)
}

fn take_reply(tables: &Tables, sent: Duration, reply: LendReply) {
    let now = tables.now();
    let bound = sent + reply.bound.std();
    tables.core(|cores| {
        for core in cores.values_mut() {
            for (unit, offer) in &reply.offers {
                core.shares.offer(&unit.to_string(), *offer, sent, bound);
            }
            core.set_slots(now);
            core.dispatch(now);
        }
    });
    tables.lent.notify_waiters();
    shrink_pool(tables);
}

/// Closes idle connections above the slots held.
fn shrink_pool(tables: &Tables) {
    tables.core(|cores| {
        tables.pool(|pool| {
            for core in cores.values() {
                for (no, place) in core.places.iter().enumerate() {
                    pool.shrink(place.at, core.upstreams.get(no as u32).held as usize);
                }
            }
        });
    });
}
