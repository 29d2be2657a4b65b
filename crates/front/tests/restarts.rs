//! Workers that restart under the same id, with real processes over loopback.
//!
//! Guards against completed tasks that run again: the platform's calls name only a worker's id, so a call on a new
//! connection may reach another incarnation, whose ends would be taken by number for those of the earlier one. So each
//! new connection asks for the incarnation.

mod common;

use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;
use serde_json::Value;
use tokio::time::sleep;

use common::{Site, owner, until};

/// The downtime of workers.
const DOWNTIME: Duration = Duration::from_millis(300);

/// Defines a test with a site of two hosts and four workers, each of which has reported some ends.
macro_rules! case {
    ($(#[$doc:meta])* $name:ident, $site:ident, $body:block) => {
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            #[allow(unused_mut)]
            let mut $site = Site::start(Duration::from_millis(200)).await;
            for id in ["00000000000000d0", "00000000000000d1"] {
                assert_eq!($site.submit("h1", id, 12).await, 200);
                $site.wait_completed("h1", id).await;
            }
            $body
            assert_eq!($site.book.overlapping(), vec![]);
            assert_eq!(repeated(&$site), Vec::<String>::new());
            let misdirected: Vec<u32> = $site.runners.iter().map(|runner| runner.strayed()).collect();
            assert_eq!(misdirected, vec![0; 4], "calls meant for an earlier incarnation");
        }
    };
}

/// The tasks with more than one completed run.
fn repeated(site: &Site) -> Vec<String> {
    let done =
        site.book.runs().into_iter().filter(|run| run.ended.is_some_and(|(_, how)| how == "done"));
    let mut tasks: Vec<String> = done.map(|run| run.task).collect();
    tasks.sort();
    let pairs = tasks.windows(2).filter(|pair| pair[0] == pair[1]);
    pairs.map(|pair| pair[0].clone()).collect()
}

/// Submits jobs, one every 150 ms; returns their names.
async fn submit_jobs(site: &Site, from: u32, jobs: u32) -> Vec<String> {
    let names: Vec<String> = (from..from + jobs).map(|n| format!("{n:016x}")).collect();
    for id in &names {
        assert_eq!(site.submit("h1", id, 6).await, 200);
        sleep(Duration::from_millis(150)).await;
    }
    names
}

/// Restarts all workers under the same ids, with new entries.
async fn restart_all(site: &Site) {
    join_all(site.runners.iter().map(|runner| runner.restart(DOWNTIME))).await;
    for runner in &site.runners {
        site.store.put("keyed.servers", &runner.name, runner.listing().as_bytes());
    }
}

case!(completed_tasks_of_restarted_workers_run_once, site, {
    assert_eq!(site.submit("h1", "00000000000000d2", 12).await, 200);
    until(|| async { site.starts("00000000000000d2.0.0.11") > 0 }).await;
    restart_all(&site).await;
    assert_eq!(site.submit("h2", "00000000000000d3", 12).await, 200);
    site.wait_completed("h1", "00000000000000d2").await;
    site.wait_completed("h2", "00000000000000d3").await;
});

// The list still has the old entries, as while the store is unreachable; replies show the restart.
case!(restarted_workers_with_old_entries_are_not_taken_for_earlier_incarnations, site, {
    let before = submit_jobs(&site, 0xe00, 3).await;
    join_all(site.runners.iter().map(|runner| runner.restart(Duration::from_millis(5)))).await;
    sleep(Duration::from_millis(1_000)).await;
    restart_all(&site).await;
    for id in before.iter().chain(&submit_jobs(&site, 0xe10, 3).await) {
        site.wait_completed("h2", id).await;
    }
});

// The successor reads records of the earlier incarnations of workers.
case!(an_owner_is_killed_while_workers_are_down, site, {
    let before = submit_jobs(&site, 0xf00, 3).await;
    let first = owner(&site).await;
    let (_, _) = futures::future::join(restart_all(&site), async {
        site.hosts[&first].signal(Signal::SIGKILL);
    })
    .await;
    site.hosts.remove(&first);
    let other = site.hosts.keys().next().unwrap().clone();
    for id in &before {
        site.wait_completed(&other, id).await;
    }
    assert_eq!(site.submit(&other, "00000000000000d4", 12).await, 200);
    site.wait_completed(&other, "00000000000000d4").await;
});

// The successor has the earlier incarnations of workers from the log, and reads the list late.
case!(an_owner_that_has_not_read_the_list_asks_for_the_incarnation, site, {
    assert_eq!(site.submit("h1", "00000000000000d5", 12).await, 200);
    until(|| async { site.starts("00000000000000d5.0.0.11") > 0 }).await;
    site.hosts.clear();
    restart_all(&site).await;
    site.store.delay("keyed.servers", Duration::from_millis(1_200));
    site.host("h3").await;
    site.wait_completed("h3", "00000000000000d5").await;
});

// Entries of older workers have no start time, but their replies have one.
case!(entries_without_a_start_time_refer_to_the_worker_that_answers, site, {
    for round in 0..3 {
        list_without_start(&site);
        join_all(site.runners.iter().map(|runner| runner.restart(DOWNTIME))).await;
        let id = format!("{:016x}", 0xa000 + round);
        assert_eq!(site.submit("h1", &id, 6).await, 200);
        until(|| async {
            // Workers write their entries repeatedly.
            list_without_start(&site);
            site.state("h2", &id).await.as_deref() == Some("completed")
        })
        .await;
    }
});

/// Writes entries without the start times of workers.
fn list_without_start(site: &Site) {
    for runner in &site.runners {
        let mut entry: Value = serde_json::from_str(&runner.listing()).unwrap();
        entry.as_object_mut().unwrap().remove("born");
        site.store.put("keyed.servers", &runner.name, entry.to_string().as_bytes());
    }
}

// Guards against starts without reply that the platform executes at the next process, after their tasks are completed:
// the stops have to arrive there first.
case!(delayed_starts_are_refused_by_the_next_process, site, {
    site.runners.iter().for_each(|runner| runner.delay_starts(true));
    assert_eq!(site.submit("h1", "00000000000000d6", 12).await, 200);
    sleep(Duration::from_millis(300)).await;
    site.runners.iter().for_each(|runner| runner.delay_starts(false));
    site.wait_completed("h1", "00000000000000d6").await;
    restart_all(&site).await;
    until(|| async { site.runners.iter().all(|runner| runner.bars_delayed_starts()) }).await;
    let executed: Vec<_> =
        site.runners.iter().map(|runner| runner.execute_delayed_starts()).collect();
    assert_eq!(executed.iter().map(|(begun, _)| begun).sum::<usize>(), 0);
    assert!(executed.iter().map(|(_, refused)| refused).sum::<usize>() > 0);
});
