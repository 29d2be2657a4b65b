//! Finished jobs leave the store in two appends, with real processes: none of them is run again by the next owner.

mod common;

use std::time::Duration;

use nix::sys::signal::Signal;
use rstest::rstest;
use tokio::time::sleep;

use myrtle_job::{JobSpec, Policy, Progress, State, StepSpec, Submission, encode};

use common::{Site, call, owner, until};

const JOB: &str = "00000000000000a4";

/// A job whose removal shows that the owner has removed what it would.
const OTHER_JOB: &str = "00000000000000a5";

/// A submission in a layout that no build has yet.
const UNREADABLE: &[u8] = &[9, 1, 2];

/// The topics of the records of jobs and of their progress.
const JOBS: &str = "keyed.jobs";
const PROGRESS: &str = "keyed.progress";

/// How long a part of the store is down after a removal was refused, in milliseconds.
const DOWN: u64 = 1_500;

/// The key of an owner's record of an earlier build, and its fencing token.
const EARLIER: (&str, u64) = ("owner.1", 1);

/// A site whose job is finished, and whose store has refused to remove one of its two parts for `down` ms.
async fn refused_removal(topic: &str, down: u64) -> Site {
    let mut site = Site::without_hosts(Duration::from_millis(50)).await;
    site.forgetful_host("h1").await;
    site.forgetful_host("h2").await;
    let host = owner(&site).await;
    assert_eq!(site.submit(&host, JOB, 2).await, 200);
    until(|| async {
        let (_, state) = call(site.clients(&host), "GET", &format!("/p/{JOB}"), "").await;
        state.contains("completed")
    })
    .await;
    site.store.refuse_appends(topic, true);
    let count = || site.store.appends().get(topic).copied().unwrap_or_default();
    let before = count();
    until(|| async { count() > before }).await;
    sleep(Duration::from_millis(down)).await;
    site
}

/// Ends the owner and starts another host.
async fn end_owner(site: &mut Site, signal: Signal) {
    let name = owner(site).await;
    let ended = site.hosts.remove(&name).unwrap();
    ended.signal(signal);
    sleep(Duration::from_millis(500)).await;
    drop(ended);
    site.forgetful_host("h3").await;
}

/// Waits until the store holds nothing of the job, then checks that its tasks ran once and that it is unknown.
async fn check(site: &Site, starts: usize) {
    let holds = |topic: &str| site.store.keys(topic).contains(JOB);
    until(|| async { !holds(JOBS) && !holds(PROGRESS) }).await;
    let host = owner(site).await;
    until(|| async { call(site.clients(&host), "GET", &format!("/p/{JOB}"), "").await.0 == 410 })
        .await;
    for index in 0..2 {
        assert_eq!(site.starts(&format!("{JOB}.0.0.{index}")), starts);
    }
}

// Guards against a finished job that is run again since the removal of its submission was tried only once.
#[tokio::test]
async fn a_removal_that_was_refused_is_repeated() {
    let mut site = refused_removal(JOBS, DOWN).await;
    site.store.refuse_appends(JOBS, false);
    sleep(Duration::from_secs(1)).await;
    end_owner(&mut site, Signal::SIGTERM).await;
    check(&site, 1).await;
}

// The same where the owner is stopped or killed during the outage, at once or later, whichever part is down: the next
// one removes what is left, of the job's records or of its progress.
#[rstest]
#[tokio::test]
async fn a_removal_outlasts_its_owner(
    #[values(JOBS, PROGRESS)] topic: &str,
    #[values(Signal::SIGTERM, Signal::SIGKILL)] signal: Signal,
    #[values(0, DOWN)] down: u64,
) {
    let mut site = refused_removal(topic, down).await;
    end_owner(&mut site, signal).await;
    site.store.refuse_appends(topic, false);
    check(&site, 1).await;
}

// Guards against jobs of which an earlier build removed only the progress.
#[tokio::test]
async fn what_an_earlier_build_left_behind_is_removed() {
    let mut site = Site::without_hosts(Duration::from_millis(50)).await;
    let step = StepSpec { count: 2, estimate_ms: 50, ..StepSpec::default() };
    let spec = JobSpec { body: "t".into(), steps: vec![step], repeat: None };
    let policy =
        Policy { queue: "r".into(), service: "s".into(), max_failures: 3, ..Policy::default() };
    let submission = Submission { policy, spec, accepted_at: 1 };
    site.store.put(JOBS, JOB, &encode(&submission));
    site.store.put(PROGRESS, EARLIER.0, &encode(&EARLIER.1));
    site.store.put(PROGRESS, JOB, &[1]);
    site.store.put(PROGRESS, JOB, &[]);
    site.host("h1").await;
    check(&site, 0).await;
}

// Guards against progress that is removed since this build can't read its job: another build would run that again.
#[tokio::test]
async fn progress_stays_beside_a_submission_that_cannot_be_read() {
    let mut site = Site::without_hosts(Duration::from_millis(50)).await;
    let progress =
        Progress { state: State::Completed, ended_at: 1, next_round: 1, ..Progress::default() };
    site.store.put(JOBS, JOB, UNREADABLE);
    site.store.put(PROGRESS, JOB, &encode(&progress));
    site.forgetful_host("h1").await;
    let host = owner(&site).await;
    assert_eq!(site.submit(&host, OTHER_JOB, 1).await, 200);
    until(|| async { site.store.keys(PROGRESS).contains(OTHER_JOB) }).await;
    until(|| async { !site.store.keys(PROGRESS).contains(OTHER_JOB) }).await;
    assert!(site.store.keys(PROGRESS).contains(JOB), "it stays though others are removed");
    assert!(site.store.keys(JOBS).contains(JOB));
}
