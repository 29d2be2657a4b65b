//! Commands delayed by an outage of the log are logged soon after it, in virtual time.

mod common;

use std::time::Duration;

use rstest::rstest;
use tokio::time::{Instant, sleep};

use common::{Site, advance_clock, job, plan};
use myrtle_standin::{Control, LogMode, until};

/// Time after the outage within which all ends are logged.
const MAX_DELAY: Duration = Duration::from_millis(700);

/// Time after which the test gives up.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Whether the first sched has folded the ends of all six tasks.
async fn all_ends_logged(site: &Site) -> bool {
    let jobs = site.get(0, "/jobs").await;
    let done = jobs.as_array().unwrap().iter().filter_map(|j| j["done"].as_u64());
    done.sum::<u64>() == 6
}

/// Guards against ends that are logged up to 2 s late after an outage in which tasks ended.
///
/// The delay arises if the committer waits 1.5 s to read back a batch whose append was refused, or
/// if the first read after the outage waits up to 0.8 s for a record.
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
    advance_clock();
    // The second job's tasks end while a proposal with the ends of the first job is under way.
    let short = job("a", "cheap", 3, 4, "11s") + &job("b", "cheap", 3, 4, "12s");
    let jobs = short + &job("w", "dear", 3, 1, "");
    let site = Site::start(&plan(3), &jobs).await;
    until("all run", || site.running() == 9).await;
    sleep(Duration::from_millis(before)).await;
    site.control(Control::Log(LogMode::Away));
    sleep(Duration::from_millis(outage)).await;
    assert_eq!(site.done(), 6);
    site.control(Control::Log(LogMode::Ok));
    let restored_at = Instant::now();
    while !all_ends_logged(&site).await {
        assert!(restored_at.elapsed() < TIMEOUT, "never");
        sleep(Duration::from_millis(20)).await;
    }
    assert!(
        restored_at.elapsed() < MAX_DELAY,
        "all ends were logged only after {:?}",
        restored_at.elapsed()
    );
    assert_eq!(site.check_runs().started, 9);
}
