//! Requests on connections that clients keep get complete answers, also while a host stops, stands still or is busy,
//! with real processes over loopback.

mod common;

use std::time::Duration;

use common::{Site, call};

/// The path of the queue; a GET counts its pending jobs.
const QUEUE_PATH: &str = "/p/";

#[tokio::test]
async fn a_host_that_is_told_to_reload_as_soon_as_it_listens_goes_on() {
    for attempt in 0..20 {
        let mut site = Site::without_hosts(Duration::from_millis(60)).await;
        site.reloaded_host("h1").await;
        let (status, _) = call(site.clients("h1"), "GET", QUEUE_PATH, "").await;
        assert_ne!(status, 0, "attempt {attempt}: the host has ended");
    }
}
