//! What waits out an outage of the log gets into it soon after; in virtual time.

mod common;

use std::time::Duration;

use rstest::rstest;
use tokio::time::{Instant, sleep};

use common::{Site, job, pace, plan};
use myrtle_standin::{Control, LogMode, until};

/// How soon after it is back all ends are in it.
const SOON: Duration = Duration::from_millis(700);

/// A wait this long counts as one without an end.
const NEVER: Duration = Duration::from_secs(60);

/// Whether the first sched has the ends of all six tasks from the log.
async fn all_noted(site: &Site) -> bool {
    let jobs = site.ask(0, "/jobs").await;
    let done = jobs.as_array().unwrap().iter().filter_map(|j| j["done"].as_u64());
    done.sum::<u64>() == 6
}

/// Symptom: two or three of six ends are not in the log two seconds after it is back.
/// Sequence: tasks end while the log refuses appends; it is back; their ends wait on.
/// Cause: the committer looks 1.5 s for a batch in the log although its append was refused, and
/// the first read after the outage waits up to 0.8 s for a record before it tells that it is over.
/// Settled by: the time lines of a run that took 2.12 s: the log answers at 14.0 s, "in contact with
/// the log" at 14.9 s, the ends of two workers at 15.07 s, those of the third at 16.08 s; so they
/// come late, not never.
#[rstest]
#[tokio::test(start_paused = true)]
async fn ends_are_in_the_log_soon_after_it_is_back(
    #[values(1_000, 2_000, 3_000)] before: u64,
    #[values(
        12_250, 12_500, 12_750, 13_000, 13_250, 13_500, 13_750, 14_000, 14_250, 14_500, 14_750,
        15_000
    )]
    outage: u64,
) {
    pace();
    // The second job's ends come while those of the first one are in a proposal.
    let short = job("a", "cheap", 3, 4, "11s") + &job("b", "cheap", 3, 4, "12s");
    let jobs = short + &job("w", "dear", 3, 1, "");
    let site = Site::start(&plan(3), &jobs).await;
    until("all run", || site.running() == 9).await;
    sleep(Duration::from_millis(before)).await;
    site.order(Control::Log(LogMode::Away));
    sleep(Duration::from_millis(outage)).await;
    assert_eq!(site.done(), 6);
    site.order(Control::Log(LogMode::Ok));
    let back = Instant::now();
    while !all_noted(&site).await {
        assert!(back.elapsed() < NEVER, "never");
        sleep(Duration::from_millis(20)).await;
    }
    assert!(back.elapsed() < SOON, "all were there only after {:?}", back.elapsed());
    assert_eq!(site.judge().started, 9);
}
