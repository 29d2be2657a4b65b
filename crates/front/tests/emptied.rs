//! Data centres that the operator empties: nothing is started there, and nothing is lost.
//!
//! On a day that emptied two data centres in turn, 2,178 tasks were started in them more than 5 s after the
//! operator's record was there: nothing read it.

mod common;

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::sleep;

use common::{Site, owner};

/// How long the operator's record may take to be in force; the platform gives 5 s.
const IN_FORCE: Duration = Duration::from_millis(1_500);

/// How long the operator's records are not read by a host that begins: longer than a takeover, shorter than hosts
/// wait for an answer.
const UNREAD: Duration = Duration::from_millis(1_800);

/// Names a case and gives it a site of two data centres that share a cell, with two workers each.
macro_rules! case {
    ($name:ident, $site:ident, $body:block) => {
        #[tokio::test]
        async fn $name() {
            #[allow(unused_mut)]
            let mut $site = Site::of_shared_centres(Duration::from_millis(60)).await;
            $body
            assert_eq!($site.book.doubled(), vec![]);
        }
    };
}

/// Asks that a data centre is emptied, or takes that back.
fn empty(site: &Site, centre: &str, emptied: bool) {
    let value: &[u8] = if emptied { b"{}" } else { b"" };
    site.store.put("keyed.op", &format!("evacuate/{centre}"), value);
}

/// How many runs were started in the data centre `e`.
fn started(site: &Site) -> usize {
    let there = |worker: &str| matches!(worker, "i-2" | "i-3");
    site.book.runs().iter().filter(|run| there(&run.worker)).count()
}

case!(nothing_is_started_in_a_data_centre_that_is_emptied, site, {
    empty(&site, "e", true);
    sleep(IN_FORCE).await;
    assert_eq!(site.submit("h1", "00000000000000c1", 8).await, 200);
    assert_eq!(site.submit("h2", "00000000000000c2", 8).await, 200);
    site.completed("h1", "00000000000000c1").await;
    site.completed("h2", "00000000000000c2").await;
    assert_eq!(started(&site), 0);
});

case!(work_comes_back_once_it_is_taken_back, site, {
    empty(&site, "e", true);
    sleep(IN_FORCE).await;
    empty(&site, "e", false);
    sleep(IN_FORCE).await;
    assert_eq!(site.submit("h1", "00000000000000c1", 48).await, 200);
    site.completed("h1", "00000000000000c1").await;
    assert!(started(&site) > 0);
});

case!(the_next_owner_and_hosts_that_begin_anew_know_of_it, site, {
    empty(&site, "e", true);
    sleep(IN_FORCE).await;
    let first = owner(&site).await;
    site.hosts[&first].signal(Signal::SIGKILL);
    site.hosts.remove(&first);
    let other = site.hosts.keys().next().unwrap().clone();
    assert_eq!(site.submit(&other, "00000000000000c1", 8).await, 200);
    site.completed(&other, "00000000000000c1").await;
    site.hosts[&other].signal(Signal::SIGKILL);
    site.hosts.clear();
    site.host_of("h3", "e", "").await;
    assert_eq!(site.submit("h3", "00000000000000c2", 8).await, 200);
    site.completed("h3", "00000000000000c2").await;
    assert_eq!(started(&site), 0);
});

case!(jobs_wait_where_all_is_emptied_and_none_is_lost, site, {
    empty(&site, "d", true);
    empty(&site, "e", true);
    sleep(IN_FORCE).await;
    assert_eq!(site.submit("h1", "00000000000000c1", 8).await, 200);
    sleep(IN_FORCE).await;
    assert_eq!(site.state("h2", "00000000000000c1").await.as_deref(), Some("queued"));
    assert_eq!(site.book.runs().len(), 0);
    empty(&site, "d", false);
    site.completed("h1", "00000000000000c1").await;
    assert_eq!(started(&site), 0);
});

case!(a_record_that_makes_no_sense_or_names_no_data_centre_does_no_harm, site, {
    site.store.put("keyed.op", "evacuate/e", b"\xff{");
    site.store.put("keyed.op", "evacuate/", b"{}");
    site.store.put("keyed.op", "evacuate/elsewhere", b"[1]");
    site.store.put("keyed.op", "tune/e", b"{}");
    sleep(IN_FORCE).await;
    assert_eq!(site.submit("h1", "00000000000000c1", 48).await, 200);
    site.completed("h1", "00000000000000c1").await;
    assert_eq!(started(&site), 0, "whatever the record holds, it asks");
    let metrics = common::call(site.hosts["h1"].checks, "GET", "/metrics", "").await.1;
    assert!(metrics.contains("myrtle_operator_records_unknown"), "{metrics}");
});

case!(what_was_taken_back_while_the_history_went_is_noticed, site, {
    empty(&site, "e", true);
    sleep(IN_FORCE).await;
    site.store.put_unread("keyed.op", "evacuate/e", b"");
    sleep(IN_FORCE).await;
    assert_eq!(site.submit("h1", "00000000000000c1", 48).await, 200);
    site.completed("h1", "00000000000000c1").await;
    assert!(started(&site) > 0);
});

// An owner that takes over before it has read the operator's records doesn't know what is being emptied.
case!(an_owner_that_has_not_read_the_operators_records_starts_nothing, site, {
    empty(&site, "d", true);
    empty(&site, "e", true);
    sleep(IN_FORCE).await;
    assert_eq!(site.submit("h1", "00000000000000c1", 8).await, 200);
    site.hosts.clear();
    site.store.delay("keyed.op", UNREAD);
    site.host_of("h3", "d", "").await;
    sleep(IN_FORCE).await;
    assert!(site.book.runs().is_empty(), "started in a data centre that is emptied");
    empty(&site, "d", false);
    site.completed("h3", "00000000000000c1").await;
    assert_eq!(started(&site), 0);
});
