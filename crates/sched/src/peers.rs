//! Keeps up with the host list and with the other scheds of the data centre.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;

use myrtle_base::Millis;
use myrtle_peer::{Link, SchedPeerClient};
use myrtle_platform::{Host, Role};

use crate::tables::{Peer, Tables};

/// The time between two looks at the host list.
const LIST: Duration = Duration::from_millis(1_000);

/// How long a pulse may take.
const LIMIT: Duration = Duration::from_millis(600);

/// Reads the host list again and again, until the future is dropped.
pub async fn follow_list(tables: Arc<Tables>) {
    let mut mark = 0;
    loop {
        if let Ok(part) = tables.list.part(tables.centre(), mark).await {
            mark = part.mark;
            part.hosts.into_iter().for_each(|hosts| take_list(&tables, hosts));
        }
        tokio::time::sleep(LIST).await;
    }
}

/// Asks the other scheds how they are, until the future is dropped.
pub async fn pulse(tables: Arc<Tables>) {
    loop {
        join_all(tables.peer_links().into_iter().map(|(name, link)| {
            let tables = tables.clone();
            async move { ask(&tables, &name, &link).await }
        }))
        .await;
        tokio::time::sleep(tables.pulse_period().std()).await;
    }
}

fn take_list(tables: &Tables, hosts: Vec<Host>) {
    let changed = tables.peers(|peers| {
        let own = |h: &&Host| h.role == Role::Sched && h.data_centre == tables.centre();
        let scheds = hosts.iter().filter(own).filter(|h| h.name != tables.name());
        for host in scheds {
            let known = peers.scheds.get(&host.name).is_some_and(|p| p.link.at() == host.peer);
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
        tables.wake();
    }
}

async fn ask(tables: &Tables, name: &str, link: &Link<SchedPeerClient>) {
    let stamp = tables.ring.clock().tick();
    let call = |c: SchedPeerClient, x| async move { c.pulse(x, stamp).await };
    let answer = link.call(LIMIT, call).await;
    note(tables, name, answer.is_some());
    let Some(pulse) = answer else { return };
    tables.ring.clock().merge(pulse.stamp);
    let now = tables.now();
    tables.peers(|p| {
        if let Some(peer) = p.scheds.get_mut(name) {
            peer.pulse = Some((pulse, now));
        }
    });
}

/// Puts it into the time line when a peer falls silent or answers again.
fn note(tables: &Tables, name: &str, answers: bool) {
    let known = tables.peers(|p| p.scheds.get(name).map(|s| s.answers));
    let Some(mut was) = known else { return };
    tables.note_contact(&mut was, answers, name);
    tables.peers(|p| {
        if let Some(peer) = p.scheds.get_mut(name) {
            peer.answers = was;
        }
    });
}

/// Gates heard of within this time are told to peers.
pub const GATE_AGE: Millis = Millis(6_000);
