//! Requests through real gates to upstreams with faults of every kind.

mod common;

use std::time::Duration;

use common::{Send, Site, case, set_all};
use futures::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use uuid::Uuid;

use myrtle_standin::{Control, LogMode, UpstreamMode, body_mark, until};

case!(an_answer_is_complete_and_reaches_its_caller, 2, 2, site => {
    let sends = (0..200).map(|n| {
        let site = &site;
        async move {
            let body = format!("body of {n}");
            let send = Send::new("GET", &format!("own-{n}")).body(&body);
            let got = site.send(n % 2, &send).await.unwrap();
            let text = String::from_utf8(got.body.to_vec()).unwrap();
            assert!(text.contains(&format!("\"own-{n}\"")), "{text}");
            assert!(text.contains(&body_mark(body.as_bytes())), "{text}");
            assert_eq!(got.ran(), "yes");
        }
    });
    join_all(sends).await;
});

case!(callers_without_a_valid_token_are_refused, 1, 1, site => {
    let got = site.send(0, &Send::new("GET", "a").with("authorization", "Bearer x")).await.unwrap();
    assert_eq!((got.status, got.kind(), got.ran()), (401, "no_token", "no"));
    let kyma = Send::new("GET", "b").with("authorization", "Bearer demo-kyma");
    let got = site.send(0, &kyma.with("myrtle-class", "dear")).await.unwrap();
    assert_eq!((got.status, got.kind()), (403, "no_class"));
    assert_eq!(site.runs("a") + site.runs("b"), 0);
});

case!(bad_headers_and_large_bodies_are_refused, 1, 1, site => {
    let refused = [
        (Send::new("GET", "r").with("myrtle-deadline-ms", "soon"), "bad_request"),
        (Send::new("GET", "r").with("myrtle-deadline-ms", "0"), "bad_request"),
        (Send::new("GET", "r").with("myrtle-repeat", "maybe"), "bad_request"),
        (Send::new("GET", "r").with("myrtle-service", "other"), "no_service"),
        (Send::new("POST", "r").with("idempotency-key", "7"), "bad_key"),
        (Send::new("POST", "r").key(Uuid::new_v4()), "bad_key"),
        (Send::new("POST", "r").body(&"x".repeat(2001)), "too_large"),
    ];
    for (send, kind) in refused {
        let got = site.send(0, &send).await.unwrap();
        assert_eq!((got.kind(), got.ran()), (kind, "no"), "{send:?}");
    }
    assert_eq!(site.runs("r"), 0);
});

case!(a_slow_caller_is_refused_and_holds_no_slot, 1, 1, site => {
    let mut stream = TcpStream::connect(site.gates[0].http).await.unwrap();
    let head = "POST /x HTTP/1.1\r\nhost: a\r\nauthorization: Bearer demo-helios\r\n\
                content-length: 100\r\nx-request-id: slow\r\n\r\nonly this";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4096];
    let n = stream.read(&mut answer).await.unwrap();
    let text = String::from_utf8_lossy(&answer[..n]);
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert_eq!(site.runs("slow"), 0);
});

case!(a_request_that_an_upstream_refused_is_tried_elsewhere, 4, 1, site => {
    for name in site.workers().into_iter().take(2) {
        site.order(Control::Upstream(name, UpstreamMode::Refuse));
    }
    for n in 0..40 {
        let id = format!("moved-{n}");
        let got = site.send(0, &Send::new("POST", &id)).await.unwrap();
        // An unsafe request is tried elsewhere too, since the first upstream certainly did not run
        // it.
        assert!(got.status == 200 || got.kind() == "no_upstream", "{got:?}");
        assert_eq!(site.runs(&id), u32::from(got.status == 200));
    }
});

case!(a_request_refused_as_not_run_did_not_run, 2, 1, site => {
    set_all(&site, UpstreamMode::Refuse);
    let got = site.send(0, &Send::new("GET", "refused")).await.unwrap();
    assert_eq!((got.kind(), got.ran()), ("no_upstream", "no"));
    assert!(got.headers.contains_key("retry-after"));
    assert_eq!(site.runs("refused"), 0);
});

case!(an_unsafe_request_whose_answer_is_lost_is_not_run_again, 3, 1, site => {
    set_all(&site, UpstreamMode::Close);
    for n in 0..5 {
        let id = format!("lost-{n}");
        let got = site.send(0, &Send::new("POST", &id)).await.unwrap();
        assert_eq!((got.kind(), got.ran()), ("outcome_unknown", "unknown"));
        assert_eq!(site.runs(&id), 1);
    }
});

case!(a_truncated_answer_is_never_sent_as_complete, 2, 1, site => {
    set_all(&site, UpstreamMode::Cut);
    let got = site.send(0, &Send::new("POST", "cut")).await.unwrap();
    assert_eq!((got.kind(), got.ran()), ("outcome_unknown", "unknown"));
    let got = site.send(0, &Send::new("GET", "cut-safe")).await.unwrap();
    assert_eq!(got.ran(), "unknown");
});

case!(an_invalid_answer_is_refused, 2, 1, site => {
    set_all(&site, UpstreamMode::Garbage);
    let got = site.send(0, &Send::new("POST", "garbage")).await.unwrap();
    assert!(!got.kind().is_empty(), "{got:?}");
    assert_eq!(site.runs("garbage"), 0);
});

case!(half_of_the_upstreams_failing_loses_hardly_any_safe_request, 8, 2, site => {
    for name in site.workers().into_iter().take(4) {
        site.order(Control::Upstream(name, UpstreamMode::Close));
    }
    let mut good = 0;
    for round in 0..50 {
        let sends = (0..20).map(|n| {
            let id = format!("half-{round}-{n}");
            let site = &site;
            async move { site.send(n % 2, &Send::new("GET", &id)).await }
        });
        let got = join_all(sends).await;
        good += got.iter().flatten().filter(|g| g.status == 200).count();
    }
    assert!(good >= 999, "{good} of 1000");
});

case!(retries_do_not_multiply_when_all_upstreams_fail, 4, 1, site => {
    set_all(&site, UpstreamMode::Fail);
    let count = 300;
    for n in 0..count {
        site.send(0, &Send::new("GET", &format!("fail-{n}"))).await.unwrap();
    }
    let attempts: u32 = (0..count).map(|n| site.runs(&format!("fail-{n}"))).sum();
    assert!(f64::from(attempts) <= 1.2 * f64::from(count), "{attempts} attempts");
});

case!(limits_of_slots_and_connections_hold_while_gates_change, 2, 3, site => {
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let mut loads = Vec::new();
    for gate in &site.gates {
        for n in 0..30 {
            let (http, at, stop) = (site.http.clone(), gate.http, stop.clone());
            loads.push(tokio::spawn(async move {
                let send = Send::new("GET", &format!("load-{n}")).with("x-work-us", "15000");
                while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                    if common::send_to(&http, at, &send).await.is_none() {
                        return;
                    }
                }
            }));
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    // One gate stops abruptly with its allocations, another stops as planned, and a third one
    // starts.
    drop(site.gates.remove(0));
    site.add_gate("g3").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let leaving = site.gates.remove(0);
    let finished = leaving.drain().await;
    until("all resources have a coordinator", || site.gates.iter().all(|g| g.ready())).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    join_all(loads).await;
    assert!(finished);
    let seen = site.world.record.summary().upstreams;
    for (name, seen) in seen {
        assert!(seen.begun > 100, "{name} {seen:?}");
        assert!(seen.most_busy <= 8 && seen.most_open <= 64, "{name} {seen:?}");
    }
});

case!(a_planned_stop_finishes_requests_in_flight, 2, 2, site => {
    let gate = site.gates.remove(0);
    let (at, http) = (gate.http, site.http.clone());
    let running = tokio::spawn(async move {
        let sends = (0..10).map(|n| {
            let send = Send::new("GET", &format!("kept-{n}")).with("x-work-us", "1500000");
            let http = http.clone();
            async move { common::send_to(&http, at, &send).await }
        });
        join_all(sends).await
    });
    until("all run", || (0..10).all(|n| site.runs(&format!("kept-{n}")) == 1)).await;
    assert!(gate.drain().await);
    for got in running.await.unwrap() {
        assert_eq!(got.expect("it was not finished").status, 200);
    }
});

case!(an_upstream_that_announces_leaving_gets_no_new_requests, 3, 2, site => {
    let name = site.workers()[0].clone();
    site.order(Control::Upstream(name.clone(), UpstreamMode::Leaving));
    let send = |n: usize| Send::new("GET", &format!("leaving-{n}"));
    let begun = |site: &Site| site.world.record.summary().upstreams[&name].begun;
    let before = site.world.record.summary().upstreams.get(&name).map_or(0, |u| u.begun);
    for n in 0..200 {
        site.send(n % 2, &send(n)).await.unwrap();
    }
    // Each gate learns this from its first answer, and may have sent a few more requests before.
    assert!(begun(&site) - before <= 2 * 2, "{}", begun(&site) - before);
});

case!(requests_are_served_while_the_log_is_unavailable_longer_than_a_lease, 2, 2, site => {
    // A bucket that is being transferred when the log becomes unavailable has no coordinator until
    // the log is back.
    until("every key has its coordinator", || site.gates.iter().all(|g| g.settled(2))).await;
    site.order(Control::Log(LogMode::Away));
    let end = tokio::time::Instant::now() + Duration::from_secs(12);
    let mut n = 0;
    while tokio::time::Instant::now() < end {
        n += 1;
        let keyed = Send::new("POST", &format!("dark-{n}")).key(Uuid::now_v7());
        let got = site.send(n % 2, &keyed).await.unwrap();
        assert_eq!(got.status, 200, "{got:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!((1..=n).all(|n| site.runs(&format!("dark-{n}")) == 1));
});

case!(an_upstream_listed_as_leaving_gets_no_new_requests, 3, 2, site => {
    let name = site.workers()[0].clone();
    site.order(Control::Leave(name.clone()));
    // The host list lags 0.3 s at this site and is read every second; its changes apply at once.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let begun = || site.world.record.summary().upstreams.get(&name).map_or(0, |u| u.begun);
    let before = begun();
    for n in 0..200 {
        let got = site.send(n % 2, &Send::new("GET", &format!("left-{n}"))).await.unwrap();
        assert_eq!(got.status, 200);
    }
    assert_eq!(begun(), before);
});
