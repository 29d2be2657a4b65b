//! Follows the host list and exchanges pulses with the other scheds of the data centre.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;

use myrtle_base::Millis;
use myrtle_peer::{Link, SchedPeerClient};
use myrtle_platform::{Host, Role};

use crate::tables::{Peer, Tables};

/// Time between two reads of the host list.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Timeout of a pulse.
const PULSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Reads the host list periodically until the future is dropped.
pub async fn follow_list(tables: Arc<Tables>) {
    let mut mark = 0;
    loop {
        if let Ok(part) = tables.list.subset(tables.centre(), mark).await {
            mark = part.mark;
            part.hosts.into_iter().for_each(|hosts| apply_list(&tables, hosts));
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// Sends pulses to the other scheds periodically until the future is dropped.
pub async fn pulse_peers(tables: Arc<Tables>) {
    loop {
        join_all(tables.peer_links().into_iter().map(|(name, link)| {
            let tables = tables.clone();
            async move { pulse_peer(&tables, &name, &link).await }
        }))
        .await;
        tokio::time::sleep(tables.pulse_period().std()).await;
    }
}

fn apply_list(tables: &Tables, hosts: Vec<Host>) {
    let changed = tables.peers(|peers| {
        let own = |h: &&Host| h.role == Role::Sched && h.data_centre == tables.centre();
        let scheds = hosts.iter().filter(own).filter(|h| h.name != tables.name());
        for host in scheds {
            let known = peers.scheds.get(&host.name).is_some_and(|p| p.link.address() == host.peer);
            if !known {
                let link = Arc::new(Link::new(host.peer));
                peers.scheds.insert(host.name.clone(), Peer { link, pulse: None, answers: true });
            }
        }
        let listed = |name: &String| hosts.iter().any(|h| h.name == *name);
        peers.scheds.retain(|name, _| listed(name));
        let changed = peers.hosts != hosts;
        peers.hosts = hosts;
        changed
    });
    if changed {
        tables.notify();
    }
}

async fn pulse_peer(tables: &Tables, name: &str, link: &Link<SchedPeerClient>) {
    let stamp = tables.events.clock().tick();
    let call = |c: SchedPeerClient, x| async move { c.health(x, stamp).await };
    let answer = link.call(PULSE_TIMEOUT, call).await;
    record_reply(tables, name, answer.is_some());
    let Some(pulse) = answer else { return };
    tables.events.clock().advance(pulse.stamp);
    let now = tables.now();
    tables.peers(|p| {
        if let Some(peer) = p.scheds.get_mut(name) {
            peer.pulse = Some((pulse, now));
        }
    });
}

/// Adds an event when a peer stops answering or answers again.
fn record_reply(tables: &Tables, name: &str, answers: bool) {
    let known = tables.peers(|p| p.scheds.get(name).map(|s| s.answers));
    let Some(mut was) = known else { return };
    tables.record_contact(&mut was, answers, name);
    tables.peers(|p| {
        if let Some(peer) = p.scheds.get_mut(name) {
            peer.answers = was;
        }
    });
}

/// Age of a gate's last call up to which pulses report the gate.
pub const MAX_GATE_AGE: Millis = Millis(6_000);
