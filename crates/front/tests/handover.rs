//! A cell changes owners while work runs: nothing is lost, started twice or reported wrongly, with real processes over
//! loopback.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;
use serde_json::Value;
use tokio::time::sleep;

use myrtle_standin::{JOINS, StoreMode, WorkerStandin};

use common::{Site, call, owner, until};

/// The job of each test.
const JOB: &str = "00000000000000e1";

/// The topic of the progress of jobs.
const PROGRESS: &str = "keyed.progress";

/// The delay of each page of the log; shorter than the owner's time limit.
const PAGE_DELAY: Duration = Duration::from_millis(1_500);

/// The delay of joins; shorter than their time limit.
const JOIN_DELAY: Duration = Duration::from_millis(400);

/// The number of jobs that an owner has not read; more than two pages of the stand-in.
const BACKLOG: usize = 300;

/// A lease far longer than any wait of a test, in milliseconds.
const LONG_LEASE: u64 = 120_000;

/// The host that is not the owner.
fn other(site: &Site, owner: &str) -> String {
    site.hosts.keys().find(|host| *host != owner).unwrap().clone()
}

/// Waits until all workers have seen an owner; returns the highest fencing token that they have seen.
async fn highest_fence(site: &Site) -> u64 {
    until(|| async { site.runners.iter().all(|runner| runner.fence() > 0) }).await;
    site.runners.iter().map(|runner| runner.fence()).max().unwrap()
}

/// Submits a job and waits until so many of its tasks run.
async fn start_job(site: &Site, host: &str, id: &str, tasks: u32) {
    let before = site.book.runs().len();
    assert_eq!(site.submit(host, id, tasks).await, 200);
    until(|| async { site.book.runs().len() == before + tasks as usize }).await;
}

/// Waits until the owner has received the worker's reports; it calls again only after an answer.
async fn wait_reported(runner: &WorkerStandin) {
    let before = runner.calls();
    until(|| async { runner.calls() > before + 3 }).await;
}

/// Kills the owner and waits until the other host owns the cell, whose log it reads slowly; returns that host.
async fn slow_reader(site: &mut Site) -> String {
    let first = owner(site).await;
    site.store.delay(PROGRESS, PAGE_DELAY);
    site.hosts.remove(&first).unwrap();
    let next = site.hosts.keys().next().unwrap().clone();
    until(|| async { owner(site).await == next }).await;
    next
}

/// The state of a job at a host, if it answers; an accepted job must never be unknown.
async fn state_at(site: &Site, host: &str, id: &str) -> Option<String> {
    let (status, body) = call(site.clients(host), "GET", &format!("/p/{id}"), "").await;
    assert_ne!(status, 410, "{id} was reported as unknown");
    let value: Value = (status == 200).then(|| serde_json::from_str(&body).unwrap())?;
    Some(value["state"].as_str().unwrap().into())
}

#[tokio::test]
async fn an_owner_whose_membership_lapsed_continues_under_a_new_token() {
    let mut site = Site::start(Duration::from_secs(4)).await;
    let first = owner(&site).await;
    // As the only host it becomes the owner again.
    let away = other(&site, &first);
    site.hosts.remove(&away).unwrap();
    let fence = highest_fence(&site).await;
    start_job(&site, &first, JOB, 4).await;
    site.store.set(StoreMode::Away);
    until(|| async { site.store.owners("cell-0").is_empty() }).await;
    site.store.join_briefly("cell-0", "a", 0);
    site.store.set(StoreMode::Ok);
    until(|| async { site.runners.iter().all(|runner| runner.fence() > fence) }).await;
    assert_eq!(owner(&site).await, first);
    site.wait_completed(&first, JOB).await;
    assert_eq!(site.book.runs().len(), 5);
    assert_eq!(site.book.overlapping(), vec![]);
}

#[tokio::test]
async fn ends_that_the_log_did_not_take_are_sent_to_the_successor() {
    let site = Site::with(Duration::from_secs(2), LONG_LEASE).await;
    let first = owner(&site).await;
    let next = other(&site, &first);
    let fence = highest_fence(&site).await;
    start_job(&site, &first, JOB, 1).await;
    site.store.reject_writers(PROGRESS, fence);
    until(|| async { site.book.runs()[0].ended.is_some() }).await;
    let run = site.book.runs()[0].clone();
    assert_eq!(run.ended.map(|(_, how)| how), Some("done"));
    let runner = site.runners.iter().find(|runner| runner.name == run.worker).unwrap();
    wait_reported(runner).await;
    runner.mute(true);
    site.hosts[&first].signal(Signal::SIGTERM);
    site.wait_completed(&next, JOB).await;
    assert_eq!(site.starts(&run.task), 1);
    assert_eq!(site.book.runs().len(), 2);
}

/// An owner that ends before that granted no lease, so its successor need not wait for one.
#[tokio::test]
async fn an_owner_records_that_it_may_grant_leases_once_it_has_read_the_log() {
    const NO_ANSWER: Duration = Duration::from_secs(3_600);
    let mut site = Site::start(Duration::from_secs(60)).await;
    let first = owner(&site).await;
    start_job(&site, &first, JOB, 1).await;
    let lease_records = |site: &Site| -> BTreeSet<String> {
        site.store.keys(PROGRESS).into_iter().filter(|key| key.starts_with("owner.")).collect()
    };
    let before = lease_records(&site);
    assert_eq!(before.len(), 1, "the first owner has not recorded that it may grant leases");
    let next = other(&site, &first);
    site.store.delay(PROGRESS, NO_ANSWER);
    site.hosts.remove(&first).unwrap();
    until(|| async { owner(&site).await == next }).await;
    sleep(PAGE_DELAY).await;
    assert_eq!(
        lease_records(&site),
        before,
        "the successor recorded leases before it read the log"
    );
    site.store.delay(PROGRESS, Duration::ZERO);
    until(|| async { lease_records(&site) != before }).await;
}

#[tokio::test]
async fn a_job_is_cancelled_while_the_owner_reads_its_log() {
    let mut site = Site::start(Duration::from_secs(60)).await;
    start_job(&site, "h1", JOB, 4).await;
    let next = slow_reader(&mut site).await;
    let cancel = async || call(site.clients(&next), "DELETE", &format!("/p/{JOB}"), "").await.0;
    until(|| async {
        let status = cancel().await;
        assert_ne!(status, 410, "an accepted job was reported as unknown");
        status == 200
    })
    .await;
    until(|| async { site.book.runs().iter().all(|run| run.ended.is_some()) }).await;
    let ends: Vec<_> = site.book.runs().iter().filter_map(|run| Some(run.ended?.1)).collect();
    assert_eq!(ends, vec!["stopped"; 4]);
    assert_eq!(state_at(&site, &next, JOB).await.as_deref(), Some("cancelled"));
}

#[tokio::test]
async fn reported_states_stay_valid_while_the_owner_reads_its_log() {
    let mut site = Site::start(Duration::from_secs(3)).await;
    let over = "00000000000000e2";
    assert_eq!(site.submit("h1", over, 1).await, 200);
    site.wait_completed("h1", over).await;
    start_job(&site, "h1", JOB, 4).await;
    until(|| async { state_at(&site, "h2", JOB).await.as_deref() == Some("running") }).await;
    let next = slow_reader(&mut site).await;
    until(|| async {
        let earlier = state_at(&site, &next, over).await;
        assert!(matches!(earlier.as_deref(), None | Some("completed")), "{earlier:?}");
        let later = state_at(&site, &next, JOB).await;
        assert!(matches!(later.as_deref(), None | Some("running" | "completed")), "{later:?}");
        earlier.is_some() && later.as_deref() == Some("completed")
    })
    .await;
    assert_eq!(site.book.runs().len(), 7);
    assert_eq!(site.book.overlapping(), vec![]);
}

#[tokio::test]
async fn a_join_that_is_answered_while_its_host_stops_does_not_make_it_the_owner_again() {
    let mut site = Site::start(Duration::from_millis(60)).await;
    let first = owner(&site).await;
    let next = other(&site, &first);
    site.store.delay(JOINS, JOIN_DELAY);
    until(|| async { site.store.waiting_joins() > 0 }).await;
    let mut host = site.hosts.remove(&first).unwrap();
    host.signal(Signal::SIGTERM);
    // Each owner begins with a record under its token.
    let mut tokens = BTreeSet::new();
    while host.process.try_wait().unwrap().is_none() {
        tokens
            .extend(site.store.keys(PROGRESS).into_iter().filter(|key| key.starts_with("owner.")));
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(tokens.len(), 2, "owners besides {first} and {next}: {tokens:?}");
}

#[tokio::test]
async fn a_job_far_back_in_the_log_is_not_reported_as_unknown() {
    let site = Site::start(Duration::from_millis(60)).await;
    let first = owner(&site).await;
    let next = other(&site, &first);
    let ids: Vec<_> = (0..BACKLOG).map(|n| format!("{:016x}", 0xb000 + n)).collect();
    site.hosts[&first].signal(Signal::SIGSTOP);
    let statuses = join_all(ids.iter().map(|id| site.submit_long(&next, id))).await;
    // What is refused or in doubt while the owner stands still says nothing here.
    let accepted = ids.iter().zip(statuses).filter(|(_, status)| *status == 200);
    let accepted: Vec<_> = accepted.map(|(id, _)| id).collect();
    assert!(accepted.len() > BACKLOG / 2, "{} jobs", accepted.len());
    let states = join_all(accepted.iter().rev().map(|id| state_at(&site, &first, id)));
    let resume = async {
        sleep(Duration::from_millis(200)).await;
        site.hosts[&first].signal(Signal::SIGCONT);
    };
    let (states, ()) = tokio::join!(states, resume);
    assert_eq!(states.len(), accepted.len());
}
