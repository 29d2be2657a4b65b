//! The whole path over loopback: front hosts, the stand-in of the platform's store, workers.

mod common;

use std::process::Command;
use std::time::Duration;

use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use tokio::time::sleep;

use myrtle_standin::StoreMode;

use common::{Site, call, configuration, owner, settings, status, until};

/// The smallest job.
const TINY: &str = r#"{"spec":"t","steps":[{"count":1,"estimate_ms":60}]}"#;

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

case!(a_job_is_accepted_run_and_reported_as_completed_by_every_host, site, {
    assert_eq!(site.submit("h1", "00000000000000a1", 5).await, 200);
    site.wait_completed("h1", "00000000000000a1").await;
    site.wait_completed("h2", "00000000000000a1").await;
    assert_eq!(site.book.runs().len(), 6);
});

case!(a_job_submitted_twice_runs_once, site, {
    let id = "00000000000000a2";
    let twice = futures::future::join(site.submit("h1", id, 3), site.submit("h2", id, 3));
    assert_eq!(twice.await, (200, 200));
    site.wait_completed("h2", id).await;
    assert_eq!(site.book.runs().len(), 4);
});

case!(a_job_that_was_not_submitted_is_unknown, site, {
    assert_eq!(call(site.clients("h1"), "GET", "/p/00000000000000ff", "").await.0, 410);
    assert_eq!(call(site.clients("h2"), "DELETE", "/p/00000000000000ff", "").await.0, 410);
});

case!(a_cancelled_job_is_reported_as_such_and_stops, site, {
    let slow = Site::start(Duration::from_secs(60)).await;
    let id = "00000000000000a3";
    assert_eq!(slow.submit("h1", id, 3).await, 200);
    until(|| async { slow.book.runs().len() == 3 }).await;
    assert_eq!(call(slow.clients("h2"), "DELETE", &format!("/p/{id}"), "").await.0, 200);
    assert_eq!(slow.state("h1", id).await.as_deref(), Some("cancelled"));
    until(|| async { slow.book.runs().iter().all(|r| r.ended.is_some()) }).await;
    assert_eq!(slow.book.overlapping(), vec![]);
    assert!(site.book.runs().is_empty());
});

case!(pending_jobs_are_counted, site, {
    let (status, body) = call(site.clients("h1"), "GET", "/p/", "").await;
    assert_eq!((status, body.as_str()), (200, "{\"pending\":0}"));
});

/// Requests that can't be served get an answer with a reason.
#[rstest]
#[case::no_queue("POST", "/x/00000000000000a1", "{}", 404)]
#[case::no_name("POST", "/p/zz", "{}", 400)]
#[case::no_job("POST", "/p/00000000000000a1", "{", 400)]
#[case::no_steps("POST", "/p/00000000000000a1", "{\"spec\":\"t\"}", 400)]
#[case::no_method("PUT", "/p/00000000000000a1", "", 405)]
#[tokio::test]
async fn bad_requests(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: u16,
) {
    let site = Site::start(Duration::from_millis(50)).await;
    let (got, why) = call(site.clients("h1"), method, path, body).await;
    assert_eq!(got, status, "{why}");
    assert!(!why.is_empty());
}

case!(a_body_over_the_limit_is_refused, site, {
    let body = format!("{{\"spec\":\"{}\"}}", "x".repeat(5000));
    assert_eq!(call(site.clients("h1"), "POST", "/p/00000000000000a1", &body).await.0, 413);
});

case!(a_job_refused_while_the_store_is_unreachable_never_runs, site, {
    site.store.set(StoreMode::Away);
    assert_eq!(site.submit("h1", "00000000000000a4", 2).await, 503);
    site.store.set(StoreMode::Ok);
    sleep(Duration::from_millis(500)).await;
    assert!(site.book.runs().is_empty());
});

case!(a_host_that_lost_the_store_is_not_ready_and_sends_nothing, site, {
    site.store.set(StoreMode::Away);
    let checks = site.hosts["h1"].checks;
    until(|| async { status(checks, "/api/readiness").await == 503 }).await;
    // A host is not ready as soon as the store's last answer is old. It and the cell's owner, to which it passes jobs,
    // may then still probe the store once, by an empty append; after that both know that it is lost.
    assert_eq!(call(site.clients("h1"), "POST", "/p/00000000000000a3", TINY).await.0, 503);
    let before = site.store.appends().get("keyed.jobs").copied();
    let (got, why) = call(site.clients("h1"), "POST", "/p/00000000000000a4", TINY).await;
    assert_eq!(got, 503, "{why}");
    assert_eq!(site.store.appends().get("keyed.jobs").copied(), before);
    site.store.set(StoreMode::Ok);
    until(|| async { status(checks, "/api/readiness").await == 200 }).await;
});

case!(
    /// Guards against hosts that refuse jobs for as long as their own calls don't show that the store is back: here
    /// only the owner's calls do, since reads and queries stay refused.
    a_host_that_lost_the_store_learns_from_an_owner_that_it_is_back, site, {
        let owner = owner(&site).await;
        site.store.set(StoreMode::Away);
        for host in site.hosts.values() {
            until(|| async { status(host.checks, "/api/readiness").await == 503 }).await;
        }
        // Both hosts know of the loss once a job has been refused.
        for name in ["h1", "h2"] {
            assert_eq!(call(site.clients(name), "POST", "/p/00000000000000b1", TINY).await.0, 503);
        }
        site.store.set(StoreMode::NoReads);
        let other = site.hosts.keys().find(|name| **name != owner).unwrap().clone();
        until(|| async { status(site.hosts[&other].checks, "/api/readiness").await == 200 }).await;
        site.store.set(StoreMode::Ok);
        assert_eq!(site.submit(&other, "00000000000000b2", 1).await, 200);
        site.wait_completed(&other, "00000000000000b2").await;
    }
);

case!(a_job_whose_appends_answer_is_lost_is_not_refused, site, {
    site.store.set(StoreMode::Lose);
    assert_eq!(site.submit("h1", "00000000000000a5", 2).await, 504);
    site.store.set(StoreMode::Ok);
    site.wait_completed("h1", "00000000000000a5").await;
    assert_eq!(site.book.runs().len(), 3);
});

case!(a_configuration_of_an_older_version_is_not_applied, site, {
    let mut later = configuration(5);
    later["routes"] = json!([]);
    site.store.put("keyed.op", "config", later.to_string().as_bytes());
    let not_found = || async { call(site.clients("h1"), "GET", "/p/", "").await.0 == 404 };
    until(not_found).await;
    site.store.put("keyed.op", "config", configuration(2).to_string().as_bytes());
    sleep(Duration::from_millis(300)).await;
    assert!(not_found().await);
});

case!(a_cell_reassigned_without_notice_continues, site, {
    assert_eq!(site.submit("h1", "00000000000000a6", 4).await, 200);
    site.store.clear_group("cell-0");
    assert_eq!(site.submit("h2", "00000000000000a7", 4).await, 200);
    site.wait_completed("h1", "00000000000000a6").await;
    site.wait_completed("h2", "00000000000000a7").await;
});

case!(a_killed_owner_gets_a_successor_and_nothing_runs_twice, site, {
    let mut slow = Site::start(Duration::from_millis(1500)).await;
    assert_eq!(slow.submit("h1", "00000000000000a8", 6).await, 200);
    until(|| async { slow.book.runs().len() == 6 }).await;
    let first = owner(&slow).await;
    slow.hosts.remove(&first).unwrap();
    let other = slow.hosts.keys().next().unwrap().clone();
    slow.wait_completed(&other, "00000000000000a8").await;
    assert_ne!(owner(&slow).await, first);
    assert_eq!(slow.book.runs().len(), 7);
    assert_eq!(slow.book.overlapping(), vec![]);
});

case!(every_host_is_replaced_and_what_was_accepted_is_kept, site, {
    assert_eq!(site.submit("h1", "00000000000000a9", 4).await, 200);
    site.hosts.clear();
    site.host("h3").await;
    site.wait_completed("h3", "00000000000000a9").await;
    assert_eq!(site.book.runs().len(), 5);
});

case!(a_planned_stop_hands_over_the_cell_and_ends_in_time, site, {
    let first = owner(&site).await;
    let mut stopped = site.hosts.remove(&first).unwrap();
    stopped.signal(Signal::SIGTERM);
    let other = site.hosts.keys().next().unwrap().clone();
    until(|| async { owner(&site).await == other }).await;
    assert_eq!(site.submit(&other, "00000000000000aa", 4).await, 200);
    site.wait_completed(&other, "00000000000000aa").await;
    let ended = tokio::task::spawn_blocking(move || stopped.process.wait().unwrap());
    assert!(ended.await.unwrap().success());
});

case!(a_small_host_owns_a_large_cell_only_until_a_host_with_the_capacity_starts, site, {
    site.small_host("w").await;
    site.hosts.remove("h1");
    site.hosts.remove("h2");
    until(|| async { owner(&site).await == "w" }).await;
    assert_eq!(site.submit("w", "00000000000000b1", 4).await, 200);
    site.host("h3").await;
    until(|| async { owner(&site).await == "h3" }).await;
    site.wait_completed("w", "00000000000000b1").await;
    assert_eq!(site.submit("w", "00000000000000b2", 4).await, 200);
    site.wait_completed("h3", "00000000000000b2").await;
    assert_eq!(site.book.runs().len(), 10);
});

case!(a_job_is_accepted_while_its_cells_owner_is_paused, site, {
    let first = owner(&site).await;
    let other = site.hosts.keys().find(|h| **h != first).unwrap().clone();
    assert_eq!(site.submit(&other, "00000000000000b3", 4).await, 200);
    site.hosts[&first].signal(Signal::SIGSTOP);
    assert_eq!(site.submit(&other, "00000000000000b4", 4).await, 200);
    site.hosts[&first].signal(Signal::SIGCONT);
    site.wait_completed(&other, "00000000000000b3").await;
    site.wait_completed(&other, "00000000000000b4").await;
    assert_eq!(site.book.runs().len(), 10);
});

case!(a_paused_owner_resumes_after_a_successor_and_starts_nothing, site, {
    let first = owner(&site).await;
    site.hosts[&first].signal(Signal::SIGSTOP);
    let other = site.hosts.keys().find(|h| **h != first).unwrap().clone();
    until(|| async { owner(&site).await == other }).await;
    assert_eq!(site.submit(&other, "00000000000000ab", 4).await, 200);
    site.wait_completed(&other, "00000000000000ab").await;
    site.hosts[&first].signal(Signal::SIGCONT);
    assert_eq!(site.submit(&other, "00000000000000ac", 4).await, 200);
    site.wait_completed(&first, "00000000000000ac").await;
    assert_eq!(site.book.runs().len(), 10);
});

case!(workers_are_used_again_after_a_long_network_partition, site, {
    let cut_off = Site::with(Duration::from_millis(60), 600).await;
    assert_eq!(cut_off.submit("h1", "00000000000000ad", 4).await, 200);
    cut_off.wait_completed("h1", "00000000000000ad").await;
    for runner in &cut_off.runners {
        runner.mute(true);
        cut_off.store.put("keyed.servers", &runner.name, b"");
    }
    // Far longer than every lease, so that the workers count as gone.
    sleep(Duration::from_millis(3_000)).await;
    for runner in &cut_off.runners {
        runner.mute(false);
        cut_off.store.put("keyed.servers", &runner.name, runner.listing().as_bytes());
    }
    assert_eq!(cut_off.submit("h2", "00000000000000ae", 4).await, 200);
    cut_off.wait_completed("h2", "00000000000000ae").await;
    assert_eq!(cut_off.book.overlapping(), vec![]);
});

case!(a_task_that_crashes_its_workers_fails_across_owners, site, {
    let (id, culprit) = ("00000000000000b1", "00000000000000b1.0.0.2");
    site.runners.iter().for_each(|runner| runner.crash_on(culprit));
    assert_eq!(site.submit("h1", id, 5).await, 200);
    until(|| async {
        site.list_incarnations();
        site.starts(culprit) > 0
    })
    .await;
    // The successor has to continue with the count of the first owner.
    let first = owner(&site).await;
    site.hosts.get_mut(&first).unwrap().process.kill().unwrap();
    site.hosts.remove(&first);
    let other = site.hosts.keys().next().unwrap().clone();
    until(|| async {
        site.list_incarnations();
        site.state(&other, id).await.as_deref() == Some("failed")
    })
    .await;
    assert!(site.starts(culprit) <= 5, "{} starts", site.starts(culprit));
    assert_eq!(site.submit(&other, "00000000000000b2", 4).await, 200);
    until(|| async {
        site.list_incarnations();
        site.state(&other, "00000000000000b2").await.as_deref() == Some("completed")
    })
    .await;
});

#[test]
fn wrong_settings_stop_the_process_with_the_place_and_a_hint() {
    let path = std::env::temp_dir().join(format!("myrtle-bad-{}.yaml", std::process::id()));
    let at = ([127, 0, 0, 1], 1).into();
    let text = settings("h", at, [1, 2, 3], 10_000).replace("data_centre: d\n", "data_centre: e\n");
    std::fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_myrtle-front")).arg(&path).output().unwrap();
    std::fs::remove_file(&path).unwrap();
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(error.contains("yaml:2:") && error.contains("hint"), "{error}");
}
