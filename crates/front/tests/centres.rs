//! Two data centres, each with its own cell, with real processes over loopback.

mod common;

use std::time::Duration;

use serde_json::json;

use myrtle_standin::StoreMode;

use common::{Site, call, until};

/// The job whose tasks fill one of the cells.
const JOB: &str = "00000000000000c1";

/// Defines a test with a site of two data centres with two workers of 32 cores each.
macro_rules! case {
    ($name:ident, $site:ident, $body:block) => {
        #[tokio::test]
        async fn $name() {
            let $site = Site::of_two_centres(Duration::from_secs(60)).await;
            $body
            assert_eq!($site.book.overlapping(), vec![]);
        }
    };
}

/// Submits eight long-running tasks of eight cores and waits until all run in one cell.
async fn fill(site: &Site) {
    let steps = json!([{ "count": 8, "cpu": 8000, "mem_mb": 64, "estimate_ms": 60,
        "long_running": true }]);
    let body = json!({ "spec": "t", "steps": steps }).to_string();
    assert_eq!(call(site.clients("h1"), "POST", &format!("/p/{JOB}"), &body).await.0, 200);
    until(|| async { site.book.runs().len() == 8 }).await;
    let workers: Vec<_> = site.book.runs().into_iter().map(|r| centre(&r.worker)).collect();
    assert!(workers.iter().all(|c| *c == workers[0]), "the job runs in more than one cell");
}

/// The data centre of a worker.
fn centre(worker: &str) -> &'static str {
    if matches!(worker, "i-0" | "i-1") { "d" } else { "e" }
}

/// Lists the worker of the first run as draining; returns its data centre.
fn drain(site: &Site) -> &'static str {
    let first = site.book.runs().remove(0).worker;
    let runner = site.runners.iter().find(|r| r.name == first).unwrap();
    let listing = runner.listing_as(centre(&first), "draining");
    site.store.put("keyed.servers", &first, listing.as_bytes());
    centre(&first)
}

/// The number of active runs in a data centre.
fn running(site: &Site, of: &str) -> usize {
    site.book.runs().iter().filter(|r| r.ended.is_none() && centre(&r.worker) == of).count()
}

case!(tasks_whose_worker_leaves_a_full_data_centre_go_on_in_the_other, site, {
    fill(&site).await;
    let full = drain(&site);
    let other = if full == "d" { "e" } else { "d" };
    until(|| async { running(&site, other) == 4 }).await;
    assert_eq!(running(&site, full), 4);
    assert_eq!(site.state("h1", JOB).await.as_deref(), Some("running"));
    assert_eq!(site.state("h2", JOB).await.as_deref(), Some("running"));
});

case!(a_job_that_is_cancelled_stops_in_both_data_centres, site, {
    fill(&site).await;
    let full = drain(&site);
    let other = if full == "d" { "e" } else { "d" };
    until(|| async { running(&site, other) == 4 }).await;
    assert_eq!(call(site.clients("h2"), "DELETE", &format!("/p/{JOB}"), "").await.0, 200);
    until(|| async { running(&site, "d") + running(&site, "e") == 0 }).await;
    assert_eq!(site.state("h1", JOB).await.as_deref(), Some("cancelled"));
});

// Guards against an append for each job that is handed on: behind one another at a slow store they time out and are
// made again.
#[tokio::test]
async fn jobs_handed_on_together_share_appends() {
    let site = Site::of_two_centres(Duration::from_secs(60)).await;
    let drained = ["i-0", "i-1"].map(|name| site.runners.iter().find(|r| r.name == name).unwrap());
    let steps = json!([{ "count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 60,
        "long_running": true }]);
    let body = json!({ "spec": "t", "steps": steps }).to_string();
    for job in 0..40 {
        let path = format!("/p/{:016x}", 0xd00 + job);
        assert_eq!(call(site.clients("h1"), "POST", &path, &body).await.0, 200);
    }
    until(|| async { site.book.runs().len() == 40 }).await;
    let moved = running(&site, "d");
    assert!(moved >= 10, "{moved} jobs to hand on");
    let before = site.store.appends()["keyed.jobs"];
    site.store.set(StoreMode::Slow(Duration::from_millis(150)));
    for runner in drained {
        let listing = runner.listing_as("d", "draining");
        site.store.put("keyed.servers", &runner.name, listing.as_bytes());
    }
    until(|| async { running(&site, "e") == 40 }).await;
    let appends = site.store.appends()["keyed.jobs"] - before;
    assert!(appends as usize <= moved / 2, "{appends} appends for {moved} jobs");
    assert_eq!(site.book.overlapping(), vec![]);
}
