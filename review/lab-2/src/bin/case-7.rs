//! The owner's host is stopped as planned while a copy of a finished task is being stopped; work waits for room.
//!
//! Exits with 1 if a start takes a worker that doesn't guard its capacity over it.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::json;
use tokio::time::{sleep, timeout};

use review_lab_2::worker::Worker;
use review_lab_2::{Bounds, Lab, no_hook, not_run, trouble};

/// The workers, of which the first one is slow.
const WORKERS: usize = 6;

/// The front hosts.
const FRONTS: usize = 4;

/// How often the owner is stopped.
const STOPS: usize = 3;

/// What a task needs, in thousandths of a core: two don't fit on a worker.
const CPU: u64 = 20_000;

#[tokio::main]
async fn main() {
    let mut lab = Lab::start(Bounds::default(), no_hook()).await;
    let over = Arc::new(Mutex::new(Vec::new()));
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        workers.push(Worker::start(&format!("i-{n}"), lab.record.clone(), over.clone()).await);
    }
    workers[0].slow_down();
    lab.record.note("worker: i-0 is slow from now on");
    let (listed, store) = (workers.clone(), lab.store.clone());
    tokio::spawn(async move {
        loop {
            listed.iter().for_each(|w| store.put("keyed.servers", &w.id, w.entry().as_bytes()));
            sleep(Duration::from_millis(1_500)).await;
        }
    });
    lab.configure(1, |config| config["services"][0]["rejects_overload"] = json!(false));
    for n in 1..=FRONTS {
        lab.begin_front(&format!("front-{n}"));
    }
    for n in 1..=FRONTS {
        lab.wait_ready(&format!("front-{n}")).await;
    }
    lab.wait_owner().await;
    sleep(Duration::from_secs(2)).await;

    // Jobs of one task each, whose tasks may have copies, always a few more than there is room for.
    let mut number: u64 = 0x5c0e_7a21_d94b_0000;
    let mut stops = 0;
    let end = Instant::now() + Duration::from_secs(70);
    let mut due = Instant::now();
    let mut stopped: Option<(String, Instant)> = None;
    while Instant::now() < end && stops <= STOPS {
        if !over.lock().unwrap().is_empty() {
            // What comes next is for the record only.
            sleep(Duration::from_secs(2)).await;
            break;
        }
        if Instant::now() >= due {
            due += Duration::from_millis(220);
            number += 1;
            let step = json!({ "count": 1, "cpu": CPU, "mem_mb": 1000, "estimate_ms": 1000, "speculative": true });
            let body = json!({ "spec": format!("{CPU} 1000"), "steps": [step] }).to_string();
            let front = lab.fronts.keys().nth(number as usize % lab.fronts.len()).unwrap().clone();
            lab.consumer(&front, "POST", &format!("/p/{number:016x}"), &body).await;
        }
        // A host that was stopped starts again after its end.
        if stopped.as_ref().is_some_and(|(_, at)| at.elapsed() > Duration::from_secs(7)) {
            let (name, _) = stopped.take().unwrap();
            lab.fronts.remove(&name);
            lab.begin_front(&name);
            lab.wait_ready(&name).await;
            sleep(Duration::from_secs(3)).await;
            due = Instant::now();
        }
        if timeout(Duration::from_millis(20), workers[0].stopped.notified()).await.is_err()
            || stopped.is_some()
        {
            continue;
        }
        stops += 1;
        if stops > STOPS {
            break;
        }
        let Some(owner) = lab.owner() else { not_run(&lab.record, "no front host owns the cell") };
        if trouble() {
            lab.record.note(format!("platform: SIGTERM to {owner}"));
            lab.fronts[&owner].signal(Signal::SIGTERM);
            stopped = Some((owner, Instant::now()));
        }
    }
    if stops == 0 {
        not_run(&lab.record, "no copy was made on another worker");
    }
    let broken = over.lock().unwrap().clone();
    let verdict = i32::from(!broken.is_empty());
    lab.record.note(format!(
        "verdict: {verdict}, {} starts over the capacity, {stops} stops of copies looked at",
        broken.len()
    ));
    lab.end();
    std::process::exit(verdict);
}
