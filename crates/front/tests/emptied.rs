//! Evacuated data centres: nothing is started there, and nothing is lost.
//!
//! Guards against starts in a data centre more than 5 s after the operator's record of its evacuation was written.

mod common;

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::sleep;

use common::{Site, owner};

/// How long the operator's record may take to be in force; the platform allows 5 s.
const IN_FORCE: Duration = Duration::from_millis(1_500);

/// The delay of the operator's records for a starting host: longer than a takeover, shorter than the host's time limit.
const READ_DELAY: Duration = Duration::from_millis(1_800);

/// Defines a test with a site of two data centres that share a cell, with two workers each.
macro_rules! case {
    ($name:ident, $site:ident, $body:block) => {
        #[tokio::test]
        async fn $name() {
            #[allow(unused_mut)]
            let mut $site = Site::of_shared_centres(Duration::from_millis(60)).await;
            $body
            assert_eq!($site.book.overlapping(), vec![]);
        }
    };
}

/// Requests the evacuation of a data centre, or withdraws it.
fn evacuate(site: &Site, centre: &str, evacuated: bool) {
    let value: &[u8] = if evacuated { b"{}" } else { b"" };
    site.store.put("keyed.op", &format!("evacuate/{centre}"), value);
}

/// The number of runs started in the data centre `e`.
fn starts_in_e(site: &Site) -> usize {
    let in_e = |worker: &str| matches!(worker, "i-2" | "i-3");
    site.book.runs().iter().filter(|run| in_e(&run.worker)).count()
}

case!(nothing_is_started_in_an_evacuated_data_centre, site, {
    evacuate(&site, "e", true);
    sleep(IN_FORCE).await;
    assert_eq!(site.submit("h1", "00000000000000c1", 8).await, 200);
    assert_eq!(site.submit("h2", "00000000000000c2", 8).await, 200);
    site.wait_completed("h1", "00000000000000c1").await;
    site.wait_completed("h2", "00000000000000c2").await;
    assert_eq!(starts_in_e(&site), 0);
});

case!(work_returns_once_the_evacuation_is_withdrawn, site, {
    evacuate(&site, "e", true);
    sleep(IN_FORCE).await;
    evacuate(&site, "e", false);
    sleep(IN_FORCE).await;
    assert_eq!(site.submit("h1", "00000000000000c1", 48).await, 200);
    site.wait_completed("h1", "00000000000000c1").await;
    assert!(starts_in_e(&site) > 0);
});

case!(the_successor_and_restarted_hosts_apply_the_evacuation, site, {
    evacuate(&site, "e", true);
    sleep(IN_FORCE).await;
    let first = owner(&site).await;
    site.hosts[&first].signal(Signal::SIGKILL);
    site.hosts.remove(&first);
    let other = site.hosts.keys().next().unwrap().clone();
    assert_eq!(site.submit(&other, "00000000000000c1", 8).await, 200);
    site.wait_completed(&other, "00000000000000c1").await;
    site.hosts[&other].signal(Signal::SIGKILL);
    site.hosts.clear();
    site.host_of("h3", "e", "").await;
    assert_eq!(site.submit("h3", "00000000000000c2", 8).await, 200);
    site.wait_completed("h3", "00000000000000c2").await;
    assert_eq!(starts_in_e(&site), 0);
});

case!(jobs_wait_while_all_data_centres_are_evacuated_and_none_is_lost, site, {
    evacuate(&site, "d", true);
    evacuate(&site, "e", true);
    sleep(IN_FORCE).await;
    assert_eq!(site.submit("h1", "00000000000000c1", 8).await, 200);
    sleep(IN_FORCE).await;
    assert_eq!(site.state("h2", "00000000000000c1").await.as_deref(), Some("queued"));
    assert_eq!(site.book.runs().len(), 0);
    evacuate(&site, "d", false);
    site.wait_completed("h1", "00000000000000c1").await;
    assert_eq!(starts_in_e(&site), 0);
});

case!(a_record_without_a_valid_value_or_data_centre_is_harmless, site, {
    site.store.put("keyed.op", "evacuate/e", b"\xff{");
    site.store.put("keyed.op", "evacuate/", b"{}");
    site.store.put("keyed.op", "evacuate/elsewhere", b"[1]");
    site.store.put("keyed.op", "tune/e", b"{}");
    sleep(IN_FORCE).await;
    assert_eq!(site.submit("h1", "00000000000000c1", 48).await, 200);
    site.wait_completed("h1", "00000000000000c1").await;
    assert_eq!(starts_in_e(&site), 0, "a record requests the evacuation whatever its value");
    let metrics = common::call(site.hosts["h1"].checks, "GET", "/metrics", "").await.1;
    assert!(metrics.contains("myrtle_operator_records_unknown"), "{metrics}");
});

case!(a_withdrawal_among_removed_records_is_noticed, site, {
    evacuate(&site, "e", true);
    sleep(IN_FORCE).await;
    site.store.put_compacted("keyed.op", "evacuate/e", b"");
    sleep(IN_FORCE).await;
    assert_eq!(site.submit("h1", "00000000000000c1", 48).await, 200);
    site.wait_completed("h1", "00000000000000c1").await;
    assert!(starts_in_e(&site) > 0);
});

// An owner must not start work after its takeover before it has read the operator's records.
case!(an_owner_that_has_not_read_the_operators_records_starts_nothing, site, {
    evacuate(&site, "d", true);
    evacuate(&site, "e", true);
    sleep(IN_FORCE).await;
    assert_eq!(site.submit("h1", "00000000000000c1", 8).await, 200);
    site.hosts.clear();
    site.store.delay("keyed.op", READ_DELAY);
    site.host_of("h3", "d", "").await;
    sleep(IN_FORCE).await;
    assert!(site.book.runs().is_empty(), "started in an evacuated data centre");
    evacuate(&site, "d", false);
    site.wait_completed("h3", "00000000000000c1").await;
    assert_eq!(starts_in_e(&site), 0);
});
