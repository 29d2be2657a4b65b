//! Runs and workers that an owner could miss are still reached, stopped or distinguished, with real processes over
//! loopback.

mod common;

use std::time::Duration;

use tokio::time::sleep;

use myrtle_standin::StoreMode;

use common::{Site, call, owner, until};

/// Defines a test with a site of two hosts and four workers.
macro_rules! case {
    ($(#[$doc:meta])* $name:ident, $site:ident, $body:block) => {
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            #[allow(unused_mut)]
            let mut $site = Site::start(Duration::from_millis(60)).await;
            $body
            assert_eq!($site.book.overlapping(), vec![]);
        }
    };
}

// Guards against tasks of a cancelled job that run until their leases expire: entries of serving workers are removed,
// the owner is killed, and the job is cancelled. The successor needs the addresses of these workers from the log.
case!(a_cancelled_job_stops_on_workers_that_were_not_listed_for_the_successor, site, {
    let mut slow = Site::start(Duration::from_secs(60)).await;
    let id = "00000000000000b5";
    assert_eq!(slow.submit("h1", id, 6).await, 200);
    until(|| async { slow.book.runs().len() == 6 }).await;
    for runner in &slow.runners {
        slow.store.put("keyed.servers", &runner.name, b"");
    }
    let first = owner(&slow).await;
    slow.hosts.remove(&first).unwrap();
    let other = slow.hosts.keys().next().unwrap().clone();
    let cancel = async || call(slow.clients(&other), "DELETE", &format!("/p/{id}"), "").await.0;
    until(|| async { cancel().await == 200 }).await;
    until(|| async { slow.book.runs().iter().all(|r| r.ended.is_some()) }).await;
    let ends: Vec<_> = slow.book.runs().iter().filter_map(|r| Some(r.ended?.1)).collect();
    assert_eq!(ends, vec!["stopped"; 6]);
    assert!(site.book.runs().is_empty());
});

// Guards against runs of a live worker that are taken for over and run twice: a worker restarts at its address under
// another id and gets work while its old entry is still listed, and an owner reads the whole list. Applied in the order
// of ids, the old entry could pass for the newer incarnation, so entries are applied in the order of their writes.
case!(an_old_entry_at_the_same_address_does_not_affect_the_later_incarnation, site, {
    let mut slow = Site::start(Duration::from_millis(4_000)).await;
    for runner in &slow.runners {
        let old = format!("z-{}", runner.name);
        slow.store.put("keyed.servers", &old, runner.listing().as_bytes());
        slow.store.put("keyed.servers", &runner.name, runner.listing().as_bytes());
    }
    let id = "00000000000000b6";
    assert_eq!(slow.submit("h1", id, 4).await, 200);
    until(|| async { slow.book.runs().len() == 4 }).await;
    let first = owner(&slow).await;
    slow.hosts.remove(&first).unwrap();
    let other = slow.hosts.keys().next().unwrap().clone();
    slow.wait_completed(&other, id).await;
    assert_eq!(slow.book.runs().len(), 5);
    assert_eq!(slow.book.overlapping(), vec![]);
    assert!(site.book.runs().is_empty());
});

case!(an_early_cancellation_holds_at_the_successor, site, {
    let id = "00000000000000b8";
    assert_eq!(call(site.clients("h1"), "DELETE", &format!("/p/{id}"), "").await.0, 410);
    let first = owner(&site).await;
    site.hosts.remove(&first).unwrap();
    let other = site.hosts.keys().next().unwrap().clone();
    until(|| async { owner(&site).await == other }).await;
    assert_eq!(site.submit(&other, id, 4).await, 200);
    until(|| async { site.state(&other, id).await.as_deref() == Some("cancelled") }).await;
    assert!(site.book.runs().is_empty());
});

// Guards against a run without an order that continues as long as the store is unreachable: during an append a worker
// carries out a late start of a job that is over. Stops and speed limits need no record, so they are also sent at every
// tick.
case!(a_run_without_an_order_is_stopped_while_the_store_is_unreachable, site, {
    let slow = Site::start(Duration::from_millis(4_000)).await;
    let id = "00000000000000b7";
    assert_eq!(slow.submit("h1", id, 4).await, 200);
    until(|| async { slow.book.runs().len() == 4 }).await;
    slow.store.set(StoreMode::Away);
    // The append of their ends continues until the store is reachable.
    until(|| async { slow.book.runs().iter().all(|r| r.ended.is_some()) }).await;
    sleep(Duration::from_millis(300)).await;
    slow.runners[0].start_late("00000000000000ff.0.0.0");
    until(|| async { slow.book.runs().iter().all(|r| r.ended.is_some()) }).await;
    assert_eq!(slow.book.runs()[4].ended.map(|(_, how)| how), Some("stopped"));
    slow.store.set(StoreMode::Ok);
    slow.wait_completed("h1", id).await;
    assert!(site.book.runs().is_empty());
});

// Guards against a cell that changes owners twice within a second: two hosts find it free, and the one that joins too
// late leaves at once. The partition returns to the owner only for a join with the new generation, so the owner joins
// once more with the generation of the last answer instead of giving up the cell.
case!(an_owner_outlasts_a_host_that_joins_too_late, site, {
    until(|| async { site.runners.iter().all(|r| r.fence() > 0) }).await;
    let (first, fence) = (owner(&site).await, site.runners[0].fence());
    // This name sorts first, so the store assigns the cell to it.
    assert!(site.store.join_briefly("cell-0", "a", 0));
    let owned = async || site.store.assignee("cell-0", 0).is_some_and(|m| m.starts_with(&first));
    until(owned).await;
    assert_eq!(site.submit("h1", "00000000000000b7", 2).await, 200);
    site.wait_completed("h2", "00000000000000b7").await;
    assert!(site.runners.iter().all(|r| r.fence() == fence), "the cell changed owners");
});
