//! The owner's host is stopped as planned while a needless copy of a finished task is being stopped; work waits for room.
//!
//! Exits with 1 if a start takes a worker that doesn't guard its capacity over it.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use review_lab_2::worker::Worker;
use review_lab_2::{Bounds, Lab, no_hook, not_run, trouble};

/// The workers.
const WORKERS: usize = 6;

/// The front hosts, of which one is stopped.
const FRONTS: usize = 4;

/// What a task needs, in thousandths of a core: two don't fit on a worker.
const CPU: u64 = 20_000;

/// How long a task takes, and one in `LONG_EVERY`; the client's estimate is `ESTIMATE_MS` for all.
const WORK_MS: u64 = 1_000;
const LONG_MS: u64 = 5_000;
const LONG_EVERY: u64 = 12;
const ESTIMATE_MS: u64 = 1_000;

/// The time between two jobs, which need nine tenths of the room.
const EVERY: Duration = Duration::from_millis(240);

/// How long jobs are handed in.
const TRAFFIC: Duration = Duration::from_secs(20);

#[tokio::main]
async fn main() {
    let mut lab = Lab::start(Bounds::default(), no_hook()).await;
    let over = Arc::new(Mutex::new(Vec::new()));
    let told_to_stop = Arc::new(Notify::new());
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        let (record, over, told) = (lab.record.clone(), over.clone(), told_to_stop.clone());
        workers.push(Worker::start(&format!("i-{n}"), record, over, told).await);
    }
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

    // Jobs of one task each, whose tasks may have copies. Some take longer than their clients guess and get one.
    let (mut number, mut stops) = (0x5c0e_7a21_d94b_0000_u64, 0);
    let began = Instant::now();
    let mut due = began;
    while began.elapsed() < TRAFFIC && over.lock().unwrap().is_empty() {
        if Instant::now() >= due {
            due += EVERY;
            let work = if number % LONG_EVERY == 0 { LONG_MS } else { WORK_MS };
            number += 1;
            let step = json!({ "count": 1, "cpu": CPU, "mem_mb": 1000, "estimate_ms": ESTIMATE_MS,
                "speculative": true });
            let body = json!({ "spec": format!("{CPU} {work}"), "steps": [step] }).to_string();
            let front = lab.fronts.keys().nth(number as usize % FRONTS).unwrap().clone();
            lab.consumer(&front, "POST", &format!("/p/{number:016x}"), &body).await;
        }
        if timeout(Duration::from_millis(20), told_to_stop.notified()).await.is_err() {
            continue;
        }
        stops += 1;
        if stops == 1 && trouble() {
            let Some(owner) = lab.owner() else { not_run(&lab.record, "nobody owns the cell") };
            lab.record.note(format!("platform: SIGTERM to {owner}"));
            lab.fronts[&owner].signal(Signal::SIGTERM);
        }
    }
    // What comes next is for the record only.
    sleep(Duration::from_secs(2)).await;
    if stops == 0 {
        not_run(&lab.record, "no run was stopped beside its copy");
    }
    let broken = over.lock().unwrap().clone();
    let verdict = i32::from(!broken.is_empty());
    lab.record.note(format!(
        "verdict: {verdict}, {} starts over the capacity, {stops} runs told to stop",
        broken.len()
    ));
    lab.end();
    std::process::exit(verdict);
}
