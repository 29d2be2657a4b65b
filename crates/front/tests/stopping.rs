//! Requests on connections that clients keep get complete answers, also while a host stops, stands still or is busy,
//! with real processes over loopback.

mod common;

use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;
use rstest::rstest;
use tokio::time::sleep;

use myrtle_standin::StoreMode;

use common::{Kept, KeptAnswer, Site, call};

/// The path of the queue; a GET counts its pending jobs.
const QUEUE_PATH: &str = "/p/";

/// A job of one task.
const JOB: &str = r#"{"spec":"t","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":60}]}"#;

/// The number of connections of a test: each of them may show the failure.
const CONNECTIONS: usize = 24;

/// When a stopping host no longer gets new connections and may close idle ones.
const LEFT: Duration = Duration::from_millis(2_000);

/// Connections to a host on which one request was answered.
async fn used_connections(site: &Site, host: &str) -> Vec<Kept> {
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut kept = Kept::to(site.clients(host)).await;
        kept.send("GET", QUEUE_PATH, "", b"").await;
        assert_eq!(kept.answer().await, Some(KeptAnswer { status: 200, closes: false }));
        connections.push(kept);
    }
    connections
}

/// Sends a request on each connection; returns the number of complete answers that end their connections.
async fn ask_all(connections: &mut [Kept]) {
    join_all(connections.iter_mut().map(|kept| kept.send("GET", QUEUE_PATH, "", b""))).await;
}

/// The number of connections on which a complete answer comes, which tells that they end.
async fn last_answers(connections: &mut [Kept]) -> usize {
    let answers = join_all(connections.iter_mut().map(Kept::answer)).await;
    answers.into_iter().flatten().filter(|answer| answer.closes).count()
}

#[tokio::test]
async fn requests_that_arrive_while_a_stopping_host_stands_still_are_answered() {
    let site = Site::start(Duration::from_millis(60)).await;
    let mut connections = used_connections(&site, "h1").await;
    let host = &site.hosts["h1"];
    host.signal(Signal::SIGTERM);
    sleep(LEFT).await;
    host.signal(Signal::SIGSTOP);
    ask_all(&mut connections).await;
    sleep(Duration::from_millis(2_500)).await;
    host.signal(Signal::SIGCONT);
    assert_eq!(last_answers(&mut connections).await, CONNECTIONS);
}

#[tokio::test]
async fn a_connection_is_kept_for_its_next_request_while_its_host_stops() {
    let site = Site::start(Duration::from_millis(60)).await;
    let mut connections = used_connections(&site, "h1").await;
    site.hosts["h1"].signal(Signal::SIGTERM);
    sleep(LEFT + Duration::from_millis(1_000)).await;
    ask_all(&mut connections).await;
    assert_eq!(last_answers(&mut connections).await, CONNECTIONS);
}

#[tokio::test]
async fn a_connection_is_kept_for_longer_than_the_head_of_a_request_may_take() {
    let site = Site::start(Duration::from_millis(60)).await;
    let mut connections = used_connections(&site, "h1").await;
    sleep(Duration::from_millis(3_500)).await;
    ask_all(&mut connections).await;
    for kept in &mut connections {
        assert_eq!(kept.answer().await, Some(KeptAnswer { status: 200, closes: false }));
    }
}

#[rstest]
#[case::for_a_state("GET", 503)]
#[case::to_cancel("DELETE", 503)]
#[tokio::test]
async fn a_request_in_progress_is_answered_before_its_host_ends(
    #[case] method: &str,
    #[case] status: u16,
) {
    let site = Site::start(Duration::from_millis(60)).await;
    let mut kept = Kept::to(site.clients("h1")).await;
    site.store.set(StoreMode::Silent);
    site.hosts["h1"].signal(Signal::SIGTERM);
    kept.send(method, "/p/00000000000000a1", "deadline-ms: 20000\r\n", b"").await;
    assert_eq!(kept.answer().await, Some(KeptAnswer { status, closes: true }));
}

#[rstest]
#[case::of_an_unknown_queue("/unknown/00000000000000a1", 404)]
#[case::with_a_malformed_name("/p/no-name", 400)]
#[case::over_the_limit("/p/00000000000000a1", 413)]
#[tokio::test]
async fn an_answer_that_needs_no_body_arrives_though_the_body_comes_later(
    #[case] path: &str,
    #[case] status: u16,
) {
    let site = Site::start(Duration::from_millis(60)).await;
    let body = vec![b' '; 200_000];
    let mut kept = Kept::to(site.clients("h1")).await;
    kept.send_head("POST", path, "", body.len()).await;
    for part in body.chunks(50_000) {
        sleep(Duration::from_millis(30)).await;
        kept.write(part).await;
    }
    assert_eq!(kept.answer().await, Some(KeptAnswer { status, closes: false }));
    kept.send("GET", QUEUE_PATH, "", b"").await;
    assert_eq!(kept.answer().await, Some(KeptAnswer { status: 200, closes: false }));
}

#[tokio::test]
async fn a_host_that_is_told_to_reload_as_soon_as_it_listens_goes_on() {
    for attempt in 0..20 {
        let mut site = Site::without_hosts(Duration::from_millis(60)).await;
        site.reloaded_host("h1").await;
        let (status, _) = call(site.clients("h1"), "GET", QUEUE_PATH, "").await;
        assert_ne!(status, 0, "attempt {attempt}: the host has ended");
    }
}

#[rstest]
#[case::of_a_submission("POST", JOB)]
#[case::of_a_count("GET", "")]
#[tokio::test]
async fn a_client_that_closes_its_sending_side_gets_its_answer(
    #[case] method: &str,
    #[case] body: &str,
) {
    let site = Site::start(Duration::from_millis(60)).await;
    for host in ["h1", "h2"] {
        let path = if method == "POST" { "/p/00000000000000a1" } else { QUEUE_PATH };
        let mut kept = Kept::to(site.clients(host)).await;
        kept.send(method, path, "", body.as_bytes()).await;
        kept.finish().await;
        assert_eq!(kept.answer().await.map(|answer| answer.status), Some(200), "at {host}");
    }
}

#[tokio::test]
async fn half_a_head_that_arrives_during_a_stall_is_not_held_against_its_client() {
    let site = Site::start(Duration::from_millis(60)).await;
    let mut kept = Kept::to(site.clients("h1")).await;
    kept.write(b"GET /p/ HTTP/1.1\r\nhost: q.example\r\n").await;
    sleep(Duration::from_millis(200)).await;
    site.hosts["h1"].signal(Signal::SIGSTOP);
    kept.write(b"\r\n").await;
    sleep(Duration::from_millis(3_500)).await;
    site.hosts["h1"].signal(Signal::SIGCONT);
    assert_eq!(kept.answer().await, Some(KeptAnswer { status: 200, closes: false }));
}

#[tokio::test]
async fn a_time_limit_beyond_all_measure_is_taken_for_a_long_one() {
    let site = Site::start(Duration::from_millis(60)).await;
    for host in ["h1", "h2"] {
        let mut kept = Kept::to(site.clients(host)).await;
        let limit = format!("deadline-ms: {}\r\n", 1_u64 << 45);
        kept.send("POST", "/p/00000000000000a1", &limit, JOB.as_bytes()).await;
        assert_eq!(kept.answer().await, Some(KeptAnswer { status: 200, closes: false }));
    }
}
