//! Rates of parties that come to a gate out of quiet.

mod common;

use common::{Send, Site, desired};
use futures::future::join_all;

/// Requests at once, a third of the party's rate.
const BURST: usize = 30;

/// Symptom: a party that sends 20 requests a second of its 100 gets `over_limit`, beside busy loops.
/// Sequence: it was quiet, so its gate holds a sixteenth of its rate; it sends more than that
/// before the gate has asked the keeper for more.
/// Cause: the gate refused what found no token in its own share without asking the keeper, which
/// had the rest of the rate unlent.
/// Settled by: the refused answers were 429 `over_limit` with 7 to 75 ms to wait, within 0.85 s of
/// the first request, and none after the share had grown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_party_out_of_quiet_is_not_refused_while_its_keeper_has_more_to_lend() {
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
