//! Workers that start again under the id that they had, with real processes over loopback.
//!
//! Done tasks ran once more, since the ends of a worker that had come back were taken for those of before by
//! their numbers, and the worker was told to forget them. The platform's calls name a worker's id only, so a call on
//! a new connection reached whichever process was there. Now each new connection is asked who is there.

mod common;

use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;
use serde_json::Value;
use tokio::time::sleep;

use common::{Site, owner, until};

/// How long workers are away.
const AWAY: Duration = Duration::from_millis(300);

/// Names a case and gives it a site with two hosts and four workers, each of which has told of some ends.
macro_rules! case {
    ($(#[$doc:meta])* $name:ident, $site:ident, $body:block) => {
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            #[allow(unused_mut)]
            let mut $site = Site::start(Duration::from_millis(200)).await;
            for id in ["00000000000000d0", "00000000000000d1"] {
                assert_eq!($site.submit("h1", id, 12).await, 200);
                $site.completed("h1", id).await;
            }
            $body
            assert_eq!($site.book.doubled(), vec![]);
            assert_eq!(repeated(&$site), Vec::<String>::new());
            let strayed: Vec<u32> = $site.runners.iter().map(|runner| runner.strayed()).collect();
            assert_eq!(strayed, vec![0; 4], "calls that were meant for the process before");
        }
    };
}

/// Tasks of which more than one run ended well.
fn repeated(site: &Site) -> Vec<String> {
    let done =
        site.book.runs().into_iter().filter(|run| run.over.is_some_and(|(_, how)| how == "done"));
    let mut tasks: Vec<String> = done.map(|run| run.task).collect();
    tasks.sort();
    let pairs = tasks.windows(2).filter(|pair| pair[0] == pair[1]);
    pairs.map(|pair| pair[0].clone()).collect()
}

/// Hands in jobs for a while, one each 150 ms; their names.
async fn busy(site: &Site, from: u32, jobs: u32) -> Vec<String> {
    let names: Vec<String> = (from..from + jobs).map(|n| format!("{n:016x}")).collect();
    for id in &names {
        assert_eq!(site.submit("h1", id, 6).await, 200);
        sleep(Duration::from_millis(150)).await;
    }
    names
}

/// All workers lose power and are back under their ids, with entries that say so.
async fn restart_all(site: &Site) {
    join_all(site.runners.iter().map(|runner| runner.restart(AWAY))).await;
    for runner in &site.runners {
        site.store.put("keyed.servers", &runner.name, runner.listing().as_bytes());
    }
}

case!(what_ended_well_on_workers_that_came_back_runs_once, site, {
    assert_eq!(site.submit("h1", "00000000000000d2", 12).await, 200);
    until(|| async { site.starts("00000000000000d2.0.0.11") > 0 }).await;
    restart_all(&site).await;
    assert_eq!(site.submit("h2", "00000000000000d3", 12).await, 200);
    site.completed("h1", "00000000000000d2").await;
    site.completed("h2", "00000000000000d3").await;
});

// The list goes on to show entries of before, as it does while the store is away; answers tell of the restart.
case!(workers_that_the_list_shows_as_before_are_not_taken_for_those, site, {
    let before = busy(&site, 0xe00, 3).await;
    join_all(site.runners.iter().map(|runner| runner.restart(Duration::from_millis(5)))).await;
    sleep(Duration::from_millis(1_000)).await;
    restart_all(&site).await;
    for id in before.iter().chain(&busy(&site, 0xe10, 3).await) {
        site.completed("h2", id).await;
    }
});

// What the next owner reads of a worker is of the incarnation before.
case!(an_owner_is_killed_while_workers_are_away, site, {
    let before = busy(&site, 0xf00, 3).await;
    let first = owner(&site).await;
    let (_, _) = futures::future::join(restart_all(&site), async {
        site.hosts[&first].signal(Signal::SIGKILL);
    })
    .await;
    site.hosts.remove(&first);
    let other = site.hosts.keys().next().unwrap().clone();
    for id in &before {
        site.completed(&other, id).await;
    }
    assert_eq!(site.submit(&other, "00000000000000d4", 12).await, 200);
    site.completed(&other, "00000000000000d4").await;
});

// The next owner knows workers from the log, which tells of the incarnations before, and reads the list late.
case!(an_owner_that_has_not_read_the_list_asks_who_is_there, site, {
    assert_eq!(site.submit("h1", "00000000000000d5", 12).await, 200);
    until(|| async { site.starts("00000000000000d5.0.0.11") > 0 }).await;
    site.hosts.clear();
    restart_all(&site).await;
    site.store.delay("keyed.servers", Duration::from_millis(1_200));
    site.host("h3").await;
    site.completed("h3", "00000000000000d5").await;
});

// Entries of older workers don't tell when they started, their answers do.
case!(entries_that_tell_no_start_name_the_worker_that_answers, site, {
    for round in 0..3 {
        list_untold(&site);
        join_all(site.runners.iter().map(|runner| runner.restart(AWAY))).await;
        let id = format!("{:016x}", 0xa000 + round);
        assert_eq!(site.submit("h1", &id, 6).await, 200);
        until(|| async {
            // Workers write their entries again and again.
            list_untold(&site);
            site.state("h2", &id).await.as_deref() == Some("completed")
        })
        .await;
    }
});

/// Writes entries that don't tell when their workers started.
fn list_untold(site: &Site) {
    for runner in &site.runners {
        let mut entry: Value = serde_json::from_str(&runner.listing()).unwrap();
        entry.as_object_mut().unwrap().remove("born");
        site.store.put("keyed.servers", &runner.name, entry.to_string().as_bytes());
    }
}
