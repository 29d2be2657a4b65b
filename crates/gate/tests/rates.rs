//! Rates of customers that send a burst after a time without requests.

mod common;

use common::{Send, Site, desired};
use futures::future::join_all;

/// Concurrent requests, about a third of the customer's rate.
const BURST: usize = 30;

/// Guards against refusing a customer that stays below its rate. While the customer sent nothing,
/// its gate requested only a sixteenth of the rate; a burst takes more tokens than that before the
/// gate has asked the coordinator for more. Such requests must wait for the larger allocation
/// instead of being refused as `over_limit`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_burst_is_not_refused_while_the_coordinator_can_allocate_more() {
    let site = Site::with(2, 3, &desired(100, "")).await;
    let sends = (0..BURST).map(|n| {
        let site = &site;
        let kyma = Send::new("GET", &format!("burst-{n}"));
        let kyma = kyma.with("authorization", "Bearer demo-kyma");
        async move { site.send(0, &kyma).await.unwrap() }
    });
    let got = join_all(sends).await;
    let refused: Vec<_> = got.iter().filter(|g| g.status != 200).collect();
    assert!(refused.is_empty(), "{} of {BURST}, one with {:?}", refused.len(), refused[0]);
}
