//! Requests with keys, which run once whichever gates get them.

mod common;

use std::time::Duration;

use common::{Send, case, set_all};
use futures::future::join_all;
use uuid::Uuid;

use myrtle_standin::{UpstreamMode, until};

case!(a_key_sent_to_two_gates_at_once_runs_once, 2, 3, site => {
    for n in 0..30 {
        let id = format!("twin-{n}");
        let send = Send::new("POST", &id).key(Uuid::now_v7()).with("x-work-us", "20000");
        let (a, b) = tokio::join!(site.send(n % 3, &send), site.send((n + 1) % 3, &send));
        let (a, b) = (a.unwrap(), b.unwrap());
        assert_eq!(site.runs(&id), 1, "{a:?} {b:?}");
        assert!(a.status == 200 || b.status == 200, "{a:?} {b:?}");
    }
});

case!(a_repeat_of_an_answered_key_gets_the_first_answer, 2, 3, site => {
    let send = Send::new("POST", "again").key(Uuid::now_v7()).body("once");
    let first = site.send(0, &send).await.unwrap();
    assert_eq!(first.status, 200);
    let mut replayed = 0;
    for gate in [1, 2, 0, 1] {
        let got = site.send(gate, &send).await.unwrap();
        if got.kind() == "running" {
            continue;
        }
        replayed += 1;
        assert_eq!((got.status, &got.body), (200, &first.body));
        assert!(got.headers.contains_key("myrtle-replayed"));
    }
    assert!(replayed > 0);
    let other = send.clone().body("another");
    assert_eq!(site.send(1, &other).await.unwrap().kind(), "key_reused");
    assert_eq!(site.runs("again"), 1);
});

case!(a_key_may_run_after_it_was_refused_as_not_run, 2, 2, site => {
    set_all(&site, UpstreamMode::Refuse);
    let send = Send::new("POST", "later").key(Uuid::now_v7());
    assert_eq!(site.send(0, &send).await.unwrap().ran(), "no");
    set_all(&site, UpstreamMode::Ok);
    let mut got = site.send(1, &send).await.unwrap();
    for _ in 0..100 {
        if got.status == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        got = site.send(1, &send).await.unwrap();
    }
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(site.runs("later"), 1);
});

case!(a_key_is_not_run_again_after_its_gate_and_coordinator_stop, 2, 3, site => {
    let keys: Vec<Uuid> = (0..30).map(|_| Uuid::now_v7()).collect();
    let id = |n: usize| format!("orphan-{n}");
    let send = |n: usize| Send::new("POST", &id(n)).key(keys[n]).with("x-work-us", "400000");
    // All requests go to the gate that stops while they run; it also coordinates a third of the
    // keys.
    let at = site.gates[0].http;
    let http = site.http.clone();
    let sends: Vec<_> = (0..keys.len()).map(send).collect();
    let running = tokio::spawn(async move {
        join_all(sends.iter().map(|s| common::send_to(&http, at, s))).await;
    });
    until("some run", || (0..30).any(|n| site.runs(&id(n)) > 0)).await;
    drop(site.gates.remove(0));
    running.abort();
    for n in 0..keys.len() {
        let got = site.send(n % 2, &send(n)).await.unwrap();
        assert!(site.runs(&id(n)) <= 1, "{got:?}");
    }
    // The cell removes the stopped gate; the new coordinator must not run the old keys either.
    site.add_gate("g3").await;
    site.until_ready().await;
    for n in 0..keys.len() {
        let before = site.runs(&id(n));
        let got = site.send(n % 3, &send(n)).await.unwrap();
        let after = site.runs(&id(n));
        assert!(after <= 1, "{got:?}");
        if got.ran() == "no" {
            assert_eq!(before, 0, "{got:?}");
        }
    }
});
