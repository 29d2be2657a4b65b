//! Workers that start again under the id that they had, with real processes over loopback.
//!
//! Done tasks ran once more, since the ends of a worker that had come back were taken for those of before by
//! their numbers, and the worker was told to forget them.

mod common;

use std::time::Duration;

use futures::future::join_all;

use common::{Site, until};

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
