//! The two workers that may run a step fail what they start for some seconds; later both are sound and idle.
//!
//! Exits with 1 if, `finish_s` after the end of the traffic, a job has nothing running for 3 s though a task's turn has
//! come and there is room for it twice over.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::time::sleep;

use myrtle_standin::{Plans, RunLog, StepPlan, TaskKind, WorkerStandin};
use review_lab_2::{Bounds, Lab, no_hook, not_run, trouble};

/// The workers of the service, and those of the kind that the step requires.
const WORKERS: usize = 24;
const BIG: usize = 2;

/// How long the runs take: those that start in the grey time end after it, the later pair a moment after the first.
const WORKS: [Duration; 4] = [
    Duration::from_millis(7_000),
    Duration::from_millis(7_000),
    Duration::from_millis(7_400),
    Duration::from_millis(7_400),
];

/// How long the workers fail what they start; `srv_grey` in the site has 6.5 s.
const GREY: Duration = Duration::from_millis(6_500);

/// `finish_s` of the site, and the time in the rule.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() {
    let mut lab = Lab::start(Bounds::default(), no_hook()).await;
    let book = Arc::new(RunLog::default());
    let plans = Arc::new(Plans::default());
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        let worker = WorkerStandin::start(&format!("i-{n}"), WORKS[0], book.clone()).await.unwrap();
        worker.follow(&plans);
        workers.push(worker);
    }
    let list = {
        let (workers, store) = (workers.clone(), lab.store.clone());
        move || {
            for (n, worker) in workers.iter().enumerate() {
                let mut entry: Value = serde_json::from_str(&worker.listing()).unwrap();
                let kind = if n < BIG { "big" } else { "a" };
                entry["labels"] = json!([kind, format!("r{}", n / 8)]);
                store.put("keyed.servers", &worker.name, entry.to_string().as_bytes());
            }
        }
    };
    list();
    tokio::spawn(async move {
        loop {
            sleep(Duration::from_millis(1_500)).await;
            list();
        }
    });
    lab.configure(1, |config| config["routes"][0]["max_attempts"] = json!(2));
    lab.front("front-1").await;
    lab.front("front-2").await;
    lab.wait_owner().await;
    sleep(Duration::from_secs(2)).await;

    let jobs = ["5c0e7a21d94b36f8", "91b36f85c0e7a24d", "0d94b36f8b36f85c", "7a21d94be7a24d91"];
    if trouble() {
        lab.record.note(format!(
            "workers: i-0 and i-1, {BIG} of {WORKERS}, fail what they start for {GREY:?}"
        ));
    }
    let grey_from = Instant::now();
    for (job, work) in jobs.into_iter().zip(WORKS) {
        // Both workers fail the first run of each task; no later one starts in the grey time.
        let failures = u32::from(trouble());
        let plan = StepPlan {
            cpu: 12_000,
            mem_mb: 1_000,
            kind: TaskKind::Short,
            work,
            saves: false,
            failures,
        };
        plans.set(job, vec![plan]);
        let step = json!({ "count": 1, "cpu": 12000, "mem_mb": 1000, "estimate_ms": 60000, "requires": "big" });
        let body = json!({ "spec": "t", "steps": [step] }).to_string();
        if lab.consumer("front-1", "POST", &format!("/p/{job}"), &body).await.0 != 200 {
            not_run(&lab.record, "a job was not accepted");
        }
        // Each task starts before the next one comes, so that the two workers get two each.
        let end = Instant::now() + Duration::from_secs(2);
        while !book.runs().iter().any(|run| run.task.starts_with(job)) {
            if Instant::now() > end {
                not_run(&lab.record, "a task did not start");
            }
            sleep(Duration::from_millis(10)).await;
        }
        sleep(Duration::from_millis(30)).await;
    }
    let traffic_ended = Instant::now();
    lab.record.note("consumers: the traffic has ended");

    // How long each job has had nothing running, looked at every 20 ms.
    let mut idle_since: Vec<Option<Instant>> = vec![None; jobs.len()];
    let mut longest = vec![Duration::ZERO; jobs.len()];
    let mut over = vec![false; jobs.len()];
    while traffic_ended.elapsed() < FINISH + IDLE + Duration::from_millis(300) {
        sleep(Duration::from_millis(20)).await;
        if traffic_ended.elapsed() < FINISH {
            continue;
        }
        let runs = book.runs();
        for (n, job) in jobs.iter().enumerate() {
            let mut of_job = runs.iter().filter(|run| run.task.starts_with(job));
            over[n] |= of_job.clone().any(|run| run.ended.is_some_and(|(_, how)| how == "done"));
            let running = of_job.any(|run| run.ended.is_none());
            if over[n] || running {
                idle_since[n] = None;
            } else {
                let since = *idle_since[n].get_or_insert(Instant::now());
                longest[n] = longest[n].max(since.elapsed());
            }
        }
    }
    let mut broken = false;
    for (n, job) in jobs.iter().enumerate() {
        let (_, state) = lab.consumer("front-2", "GET", &format!("/p/{job}"), "").await;
        let failed = state.contains("failed");
        lab.record.note(format!(
            "job {job}: longest time with nothing running from {FINISH:?} on: {:?}",
            longest[n]
        ));
        if longest[n] >= IDLE && !failed {
            broken = true;
            lab.record.note(format!(
                "BROKEN: job {job} has nothing running for {IDLE:?}, both big workers are idle"
            ));
        }
    }
    // For the record only: when the jobs went on.
    let end = Instant::now() + Duration::from_secs(40);
    while Instant::now() < end
        && book.runs().iter().filter(|run| run.ended.is_some_and(|e| e.1 == "done")).count()
            < jobs.len()
    {
        sleep(Duration::from_millis(100)).await;
    }
    for run in book.runs() {
        let at = run.started.duration_since(grey_from);
        if run.run > 1 && at < GREY {
            not_run(&lab.record, "a second run started while the workers fail all");
        }
        lab.record.note(format!(
            "run: {} {} on {} started {at:?} after the jobs, ended {:?}",
            run.task,
            run.run,
            run.worker,
            run.ended.map(|e| (e.1, e.0.duration_since(grey_from)))
        ));
    }
    let verdict = i32::from(broken);
    lab.record.note(format!("verdict: {verdict}"));
    lab.end();
    std::process::exit(verdict);
}
