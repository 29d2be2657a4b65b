//! Open connections of hosts to the store and to workers go silent without a reset while new ones work, with real
//! processes behind relays that drop the data.

mod common;

use std::time::Duration;

use futures::future::join_all;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use common::{Site, call, configuration, owner, status, until};

/// The member name of the owner of the only cell.
fn member(site: &Site) -> Option<String> {
    site.store.owners("cell-0").into_iter().find(|(part, _)| *part == 0).map(|(_, m)| m)
}

#[tokio::test]
async fn silent_connections_lose_neither_the_cell_nor_a_job() {
    let site = Site::relayed(Duration::from_millis(60)).await;
    owner(&site).await;
    let before = member(&site);
    for (n, host) in [(1, "h1"), (2, "h2"), (3, "h1")] {
        // Concurrent calls leave the largest number of kept connections.
        let ids: Vec<_> = (0..24).map(|job| format!("000000000000c{n}{job:02}")).collect();
        let statuses = join_all(ids.iter().map(|id| site.submit(host, id, 1))).await;
        assert_eq!(statuses, vec![200; 24], "round {n} at {host}");
        join_all(ids.iter().map(|id| site.wait_completed(host, id))).await;
        site.silence();
        let id = format!("000000000000d{n}00");
        assert_eq!(site.submit(host, &id, 4).await, 200);
        site.wait_completed(host, &id).await;
        assert_eq!(member(&site), before, "the owner of the cell has changed");
    }
    assert_eq!(site.book.runs().len(), 3 * (24 * 2 + 5));
    assert_eq!(site.book.overlapping(), vec![]);
}

#[tokio::test]
async fn a_configuration_is_applied_by_all_hosts_despite_silent_connections() {
    let site = Site::relayed(Duration::from_millis(60)).await;
    owner(&site).await;
    site.silence();
    let text = configuration(2).to_string().replace("/p/", "/q/");
    site.store.put("keyed.op", "config", text.as_bytes());
    for host in ["h1", "h2"] {
        until(|| async { status(site.clients(host), "/q/").await == 200 }).await;
    }
}

#[tokio::test]
async fn a_job_is_cancelled_despite_silent_connections() {
    let site = Site::relayed(Duration::from_secs(60)).await;
    let id = "00000000000000c9";
    let first = owner(&site).await;
    let other = site.hosts.keys().find(|h| **h != first).unwrap().clone();
    assert_eq!(site.submit(&other, id, 3).await, 200);
    until(|| async { site.book.runs().len() == 3 }).await;
    site.silence();
    assert_eq!(call(site.clients(&other), "DELETE", &format!("/p/{id}"), "").await.0, 200);
    until(|| async { site.book.runs().iter().all(|r| r.ended.is_some()) }).await;
    assert_eq!(site.book.overlapping(), vec![]);
}

/// Guards against a host without free descriptors: clients and readiness checkers that go silent again and again would
/// leave connections open that only they can close.
#[rstest]
#[case::of_a_client(false, "")]
#[case::of_a_client_with_half_a_request(false, "GET /p/ HTTP/1.1\r\nhost: q")]
#[case::of_a_check(true, "")]
#[case::of_a_check_with_half_a_request(true, "GET /api/readiness HTTP/1.1\r\nhost: q")]
#[tokio::test]
async fn a_silent_connection_is_closed(#[case] check: bool, #[case] half: &str) {
    let site = Site::start(Duration::from_millis(60)).await;
    let at = if check { site.hosts["h1"].checks } else { site.clients("h1") };
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(half.as_bytes()).await.unwrap();
    let mut rest = Vec::new();
    let closed = timeout(Duration::from_secs(30), stream.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the connection is still open");
}
