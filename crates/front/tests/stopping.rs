//! Requests on connections that clients keep get complete answers, also while a host stops, stands still or is busy,
//! with real processes over loopback.

mod common;

use std::time::Duration;

use rstest::rstest;
use tokio::time::sleep;

use common::{Kept, KeptAnswer, Site, call};

/// The path of the queue; a GET counts its pending jobs.
const QUEUE_PATH: &str = "/p/";

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
