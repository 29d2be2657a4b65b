//! A cell passes on while work runs: nothing is lost, started twice or told wrongly; with real processes over
//! loopback.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::Value;
use tokio::time::sleep;

use myrtle_standin::{Runner, StoreMode};

use common::{Site, call, owner, until};

/// The job of each test.
const JOB: &str = "00000000000000e1";

/// The topic of how far jobs have come.
const PROGRESS: &str = "keyed.progress";

/// How long an owner waits for each page of the log; less than it gives the store.
const PAGE: Duration = Duration::from_millis(1_500);

/// A lease far longer than any wait of a test, in milliseconds.
const LONG: u64 = 120_000;

/// The host that is not the owner.
fn other(site: &Site, owner: &str) -> String {
    site.hosts.keys().find(|host| *host != owner).unwrap().clone()
}

/// Waits until all workers have seen an owner; the highest fencing token that they have seen.
async fn fenced(site: &Site) -> u64 {
    until(|| async { site.runners.iter().all(|runner| runner.fence() > 0) }).await;
    site.runners.iter().map(|runner| runner.fence()).max().unwrap()
}

/// Hands in a job and waits until so many of its tasks run.
async fn running(site: &Site, host: &str, id: &str, tasks: u32) {
    let before = site.book.runs().len();
    assert_eq!(site.submit(host, id, tasks).await, 200);
    until(|| async { site.book.runs().len() == before + tasks as usize }).await;
}

/// Waits until the owner has heard all that a worker tells now: it calls again only after an answer.
async fn heard(runner: &Runner) {
    let before = runner.calls();
    until(|| async { runner.calls() > before + 3 }).await;
}

/// Kills the owner and waits until the other host holds the cell, whose log it reads slowly; that host.
async fn slow_reader(site: &mut Site) -> String {
    let first = owner(site).await;
    site.store.delay(PROGRESS, PAGE);
    site.hosts.remove(&first).unwrap();
    let next = site.hosts.keys().next().unwrap().clone();
    until(|| async { owner(site).await == next }).await;
    next
}

/// What a host tells of a job, if it tells anything; a job that was accepted is never unknown.
async fn told(site: &Site, host: &str, id: &str) -> Option<String> {
    let (status, body) = call(site.clients(host), "GET", &format!("/p/{id}"), "").await;
    assert_ne!(status, 410, "{id} was told to be unknown");
    let value: Value = (status == 200).then(|| serde_json::from_str(&body).unwrap())?;
    Some(value["state"].as_str().unwrap().into())
}

#[tokio::test]
async fn a_holder_whose_membership_ran_out_goes_on_under_a_new_token() {
    let mut site = Site::start(Duration::from_secs(4)).await;
    let first = owner(&site).await;
    // Alone, it is sure to be the holder again.
    let away = other(&site, &first);
    site.hosts.remove(&away).unwrap();
    let fence = fenced(&site).await;
    running(&site, &first, JOB, 4).await;
    site.store.set(StoreMode::Away);
    until(|| async { site.store.owners("cell-0").is_empty() }).await;
    site.store.visit("cell-0", "a", 0);
    site.store.set(StoreMode::Ok);
    until(|| async { site.runners.iter().all(|runner| runner.fence() > fence) }).await;
    assert_eq!(owner(&site).await, first);
    site.completed(&first, JOB).await;
    assert_eq!(site.book.runs().len(), 5);
    assert_eq!(site.book.doubled(), vec![]);
}

#[tokio::test]
async fn ends_that_the_log_did_not_take_are_told_to_the_next_owner() {
    let site = Site::with(Duration::from_secs(2), LONG).await;
    let first = owner(&site).await;
    let next = other(&site, &first);
    let fence = fenced(&site).await;
    running(&site, &first, JOB, 1).await;
    site.store.shut(PROGRESS, fence);
    until(|| async { site.book.runs()[0].over.is_some() }).await;
    let run = site.book.runs()[0].clone();
    assert_eq!(run.over.map(|(_, how)| how), Some("done"));
    let runner = site.runners.iter().find(|runner| runner.name == run.worker).unwrap();
    heard(runner).await;
    runner.mute(true);
    site.hosts[&first].signal(Signal::SIGTERM);
    site.completed(&next, JOB).await;
    assert_eq!(site.starts(&run.task), 1);
    assert_eq!(site.book.runs().len(), 2);
}

/// Whoever ends sooner has given no lease, and the next owner need not wait for one.
#[tokio::test]
async fn an_owner_says_that_it_may_give_leases_once_it_has_read_the_log() {
    const NEVER: Duration = Duration::from_secs(3_600);
    let mut site = Site::start(Duration::from_secs(60)).await;
    let first = owner(&site).await;
    running(&site, &first, JOB, 1).await;
    let claims = |site: &Site| -> BTreeSet<String> {
        site.store.keys(PROGRESS).into_iter().filter(|key| key.starts_with("owner.")).collect()
    };
    let before = claims(&site);
    assert_eq!(before.len(), 1, "the first owner may have given leases");
    let next = other(&site, &first);
    site.store.delay(PROGRESS, NEVER);
    site.hosts.remove(&first).unwrap();
    until(|| async { owner(&site).await == next }).await;
    sleep(PAGE).await;
    assert_eq!(claims(&site), before, "it has not read the log");
    site.store.delay(PROGRESS, Duration::ZERO);
    until(|| async { claims(&site) != before }).await;
}

#[tokio::test]
async fn a_job_is_taken_back_while_the_owner_reads_its_log() {
    let mut site = Site::start(Duration::from_secs(60)).await;
    running(&site, "h1", JOB, 4).await;
    let next = slow_reader(&mut site).await;
    let cancel = async || call(site.clients(&next), "DELETE", &format!("/p/{JOB}"), "").await.0;
    until(|| async {
        let status = cancel().await;
        assert_ne!(status, 410, "an accepted job was told to be unknown");
        status == 200
    })
    .await;
    until(|| async { site.book.runs().iter().all(|run| run.over.is_some()) }).await;
    let ends: Vec<_> = site.book.runs().iter().filter_map(|run| Some(run.over?.1)).collect();
    assert_eq!(ends, vec!["stopped"; 4]);
    assert_eq!(told(&site, &next, JOB).await.as_deref(), Some("cancelled"));
}

#[tokio::test]
async fn what_was_told_of_a_job_holds_while_the_owner_reads_its_log() {
    let mut site = Site::start(Duration::from_secs(3)).await;
    let over = "00000000000000e2";
    assert_eq!(site.submit("h1", over, 1).await, 200);
    site.completed("h1", over).await;
    running(&site, "h1", JOB, 4).await;
    until(|| async { told(&site, "h2", JOB).await.as_deref() == Some("running") }).await;
    let next = slow_reader(&mut site).await;
    until(|| async {
        let earlier = told(&site, &next, over).await;
        assert!(matches!(earlier.as_deref(), None | Some("completed")), "{earlier:?}");
        let later = told(&site, &next, JOB).await;
        assert!(matches!(later.as_deref(), None | Some("running" | "completed")), "{later:?}");
        earlier.is_some() && later.as_deref() == Some("completed")
    })
    .await;
    assert_eq!(site.book.runs().len(), 7);
    assert_eq!(site.book.doubled(), vec![]);
}
