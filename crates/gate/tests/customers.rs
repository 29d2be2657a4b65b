//! What customers may use, and what they pay for.

mod common;

use std::time::Duration;

use common::{Send, Site, case};
use futures::future::join_all;

/// Rounds of the flood.
const ROUNDS: u32 = 40;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_customers_rate_holds_over_all_gates_and_does_not_limit_others() {
    let site = Site::with(2, 3, &common::desired(100, "")).await;
    let began = tokio::time::Instant::now();
    let (mut answered, mut others) = (0, 0);
    for _ in 0..ROUNDS {
        let floods = (0..30).map(|n| {
            let site = &site;
            async move { site.send(n % 3, &Send::new("GET", "flood")).await.unwrap() }
        });
        for got in join_all(floods).await {
            answered += u32::from(got.status == 200);
            assert!(got.status == 200 || got.ran() == "no", "{got:?}");
        }
        let kyma = Send::new("GET", "kyma").with("authorization", "Bearer demo-kyma");
        others += u32::from(site.send(0, &kyma).await.unwrap().status == 200);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // A second's rate may be saved up; three gates that don't share the limit would let far more
    // through.
    let most = 100.0 * (began.elapsed().as_secs_f64() + 1.0);
    assert!(f64::from(answered) <= most, "{answered} of at most {most}");
    assert!(answered > 100, "{answered}");
    assert_eq!(others, ROUNDS);
}

case!(customers_pay_for_slots_and_not_for_waiting, 1, 1, site => {
    // Six waves of eight slots: if waiting were charged, each wave would cost more than the one
    // before.
    let sends = (0..48).map(|n| {
        let send = Send::new("POST", &format!("paid-{n}")).with("x-work-us", "300000");
        let send = send.with("myrtle-deadline-ms", "30000");
        let site = &site;
        async move { site.send(0, &send).await.unwrap().status }
    });
    assert!(join_all(sends).await.iter().all(|status| *status == 200));
    let caller = myrtle_platform::Caller::default();
    let mut used = serde_json::Value::Null;
    for _ in 0..200 {
        let limit = Duration::from_secs(5);
        used = caller.get(site.scheds[0].http, "/usage", limit).await.unwrap();
        if used[0]["requests"] == 48 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(used[0]["requests"], 48, "{used}");
    let busy = used[0]["busy_ms"].as_u64().unwrap();
    assert!((48 * 300..48 * 700).contains(&busy), "{busy}");
});
