//! Open connections between hosts go silent without a reset while new ones work.

mod common;

use std::time::Duration;

use serde_json::json;

use common::{Site, call, owner, until};

/// Silences the connections between hosts once there are some.
async fn silence(site: &Site) {
    let links = site.links.as_ref().unwrap();
    until(|| async { links.opened() > 0 }).await;
    links.silence();
}

/// The member name of the owner of the only cell.
fn member(site: &Site) -> Option<String> {
    site.store.owners("cell-0").into_iter().find(|(part, _)| *part == 0).map(|(_, m)| m)
}

#[tokio::test]
async fn a_host_that_is_no_owner_serves_jobs() {
    let site = Site::linked(Duration::from_millis(60)).await;
    let first = owner(&site).await;
    let other = site.hosts.keys().find(|h| **h != first).unwrap().clone();
    let before = member(&site);
    for n in 0..4 {
        let id = format!("000000000000e{n}00");
        assert_eq!(site.submit(&other, &id, 2).await, 200);
        site.wait_completed(&other, &id).await;
        silence(&site).await;
        assert_eq!(site.state(&other, &id).await.as_deref(), Some("completed"), "round {n}");
        let next = format!("000000000000f{n}00");
        assert_eq!(site.submit(&other, &next, 2).await, 200, "round {n}");
        site.wait_completed(&other, &next).await;
        assert_eq!(member(&site), before, "the owner of the cell has changed");
    }
    assert_eq!(site.book.runs().len(), 8 * 3);
    assert_eq!(site.book.overlapping(), vec![]);
}

#[tokio::test]
async fn a_job_is_cancelled_through_another_host() {
    let site = Site::linked(Duration::from_secs(60)).await;
    let first = owner(&site).await;
    let other = site.hosts.keys().find(|h| **h != first).unwrap().clone();
    let id = "00000000000000e9";
    assert_eq!(site.submit(&other, id, 3).await, 200);
    until(|| async { site.book.runs().len() == 3 }).await;
    until(|| async { site.state(&other, id).await.as_deref() == Some("running") }).await;
    silence(&site).await;
    assert_eq!(call(site.clients(&other), "DELETE", &format!("/p/{id}"), "").await.0, 200);
    until(|| async { site.book.runs().iter().all(|r| r.ended.is_some()) }).await;
}

#[tokio::test]
async fn cells_still_get_the_loads_of_others() {
    let site = Site::of_linked_centres(Duration::from_secs(60)).await;
    let steps = json!([{ "count": 8, "cpu": 8000, "mem_mb": 64, "estimate_ms": 60,
        "long_running": true }]);
    let body = json!({ "spec": "t", "steps": steps }).to_string();
    assert_eq!(call(site.clients("h1"), "POST", "/p/00000000000000e1", &body).await.0, 200);
    until(|| async { site.book.runs().len() == 8 }).await;
    silence(&site).await;
    let first = site.book.runs().remove(0).worker;
    let centre = |worker: &str| if matches!(worker, "i-0" | "i-1") { "d" } else { "e" };
    let runner = site.runners.iter().find(|r| r.name == first).unwrap();
    let listing = runner.listing_as(centre(&first), "draining");
    site.store.put("keyed.servers", &first, listing.as_bytes());
    until(|| async {
        let runs = site.book.runs();
        let moved =
            runs.iter().filter(|r| r.ended.is_none() && centre(&r.worker) != centre(&first));
        moved.count() == 4
    })
    .await;
    assert_eq!(site.book.overlapping(), vec![]);
}
