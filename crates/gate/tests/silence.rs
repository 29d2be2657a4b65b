//! Connections to upstreams that go silent without a reset while new ones work.
//!
//! An attempt that no caller waits for holds its slot until the upstream has finished. If only the
//! wait for an answer's body had a limit, each request on a silent connection would hold its slot
//! for good, and the gate would send the upstream ever fewer requests, in the end none. The test
//! sends requests through a relay that stops forwarding on its open connections.

mod common;
#[path = "../../../platform/tests/common/mod.rs"]
mod relay;

use std::time::Duration;

use futures::future::join_all;
use tokio::time::timeout;

use myrtle_platform::Role;

use common::{Send, Site};
use relay::Relay;

/// The slots of an upstream.
const SLOTS: usize = 8;

/// Far more than a wait takes.
const MINUTE: Duration = Duration::from_secs(60);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_used_on_silent_connections_are_freed() {
    let site = Site::start(1, 1).await;
    let mut worker = site.world.hosts.list().into_iter().find(|h| h.role == Role::Worker).unwrap();
    let relay = Relay::to(worker.peer).await;
    worker.peer = relay.at;
    site.world.hosts.update(worker);
    let warm = async || {
        let sends: Vec<_> = (0..SLOTS).map(|n| Send::new("GET", &format!("warm-{n}"))).collect();
        join_all(sends.iter().map(|send| site.send(0, send))).await;
    };
    let warmed = async {
        while relay.opened() < SLOTS {
            warm().await;
        }
    };
    timeout(MINUTE, warmed).await.expect("all connections of the gate go through the relay");
    relay.silence();
    let late = (0..2 * SLOTS).map(|n| {
        let site = &site;
        async move {
            let id = format!("late-{n}");
            let send = Send::new("GET", &id).with("myrtle-deadline-ms", "300");
            site.send(0, &send).await
        }
    });
    join_all(late).await;
    let next = async || site.send(0, &Send::new("GET", "next")).await.unwrap().status == 200;
    let served = async { while !next().await {} };
    timeout(MINUTE, served).await.expect("the slots are freed within a minute");
}
