//! Data centres that the operator empties: nothing is started there, and nothing is lost.
//!
//! On a day that emptied two data centres in turn, 2,178 tasks were started in them more than 5 s after the
//! operator's record was there: nothing read it.

mod common;

use std::time::Duration;

use tokio::time::sleep;

use common::Site;

/// How long the operator's record may take to be in force; the platform gives 5 s.
const IN_FORCE: Duration = Duration::from_millis(1_500);

/// Names a case and gives it a site of two data centres that share a cell, with two workers each.
macro_rules! case {
    ($name:ident, $site:ident, $body:block) => {
        #[tokio::test]
        async fn $name() {
            #[allow(unused_mut)]
            let mut $site = Site::of_shared_centres(Duration::from_millis(60)).await;
            $body
            assert_eq!($site.book.doubled(), vec![]);
        }
    };
}

/// Asks that a data centre is emptied, or takes that back.
fn empty(site: &Site, centre: &str, emptied: bool) {
    let value: &[u8] = if emptied { b"{}" } else { b"" };
    site.store.put("keyed.op", &format!("evacuate/{centre}"), value);
}

/// How many runs were started in the data centre `e`.
fn started(site: &Site) -> usize {
    let there = |worker: &str| matches!(worker, "i-2" | "i-3");
    site.book.runs().iter().filter(|run| there(&run.worker)).count()
}

case!(nothing_is_started_in_a_data_centre_that_is_emptied, site, {
    empty(&site, "e", true);
    sleep(IN_FORCE).await;
    assert_eq!(site.submit("h1", "00000000000000c1", 8).await, 200);
    assert_eq!(site.submit("h2", "00000000000000c2", 8).await, 200);
    site.completed("h1", "00000000000000c1").await;
    site.completed("h2", "00000000000000c2").await;
    assert_eq!(started(&site), 0);
});
