//! Connections to upstreams that go silent without a reset while new ones work.
//!
//! Symptom: a gate gave an upstream ever fewer requests, and in the end none. Sequence: connections
//! to it went silent; each request on one was late, and its attempt went on waiting. Cause: an
//! attempt that nobody waits for holds its slot until the upstream is through, and only the wait for
//! a body had an end. What settled it: requests by way of a relay that swallows what its open
//! connections carry; a request was still late after a minute.

mod common;
#[path = "../../../platform/tests/common/mod.rs"]
mod relay;

use std::time::Duration;

use futures::future::join_all;
use tokio::time::timeout;

use myrtle_platform::Role;

use common::{Send, Site};
use relay::Relay;

/// As many as an upstream has slots.
const SLOTS: usize = 8;

/// Far above what a wait takes.
const MINUTE: Duration = Duration::from_secs(60);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_of_requests_on_silent_connections_are_free_again() {
    let site = Site::start(1, 1).await;
    let mut worker = site.world.hosts.list().into_iter().find(|h| h.role == Role::Worker).unwrap();
    let relay = Relay::to(worker.peer).await;
    worker.peer = relay.at;
    site.world.hosts.enter(worker);
    let warm = async || {
        let sends: Vec<_> = (0..SLOTS).map(|n| Send::new("GET", &format!("warm-{n}"))).collect();
        join_all(sends.iter().map(|send| site.send(0, send))).await;
    };
    let warmed = async {
        while relay.opened() < SLOTS {
            warm().await;
        }
    };
    timeout(MINUTE, warmed).await.expect("the gate goes by the relay");
    relay.hush();
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
    timeout(MINUTE, served).await.expect("the slots are never free again");
}
