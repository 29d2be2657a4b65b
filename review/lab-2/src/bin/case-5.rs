//! All workers of a kind in one data centre are lost for good; others of that kind are sound and idle elsewhere.
//!
//! Exits with 1 if, `finish_s` after the end of the traffic, a job has nothing running for 3 s though a task's turn has
//! come and there is room for it twice over.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::time::sleep;

use myrtle_standin::{RunLog, WorkerStandin};
use review_lab_2::{Bounds, Lab, no_hook, not_run, trouble};

/// The data centres, with the workers of each; the first rack of each is of the kind that the jobs require.
const CENTRES: [&str; 3] = ["d", "e", "f"];
const WORKERS: usize = 80;
const RACK: usize = 12;

/// The front hosts, two in each data centre.
const FRONTS: usize = 6;

/// The jobs, and the time between two.
const JOBS: u64 = 24;
const EVERY: Duration = Duration::from_millis(200);

/// `finish_s` of the site, and the time in the rule.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

/// A worker and where it is.
#[derive(Clone)]
struct Placed {
    worker: Arc<WorkerStandin>,
    centre: &'static str,
    rack: usize,
}

impl Placed {
    fn entry(&self) -> Vec<u8> {
        let mut entry: Value =
            serde_json::from_str(&self.worker.listing_as(self.centre, "ready")).unwrap();
        let kind = if self.rack == 0 { "big" } else { "a" };
        entry["labels"] = json!([kind, format!("r-{}-{}", self.centre, self.rack)]);
        entry.to_string().into_bytes()
    }
}

#[tokio::main]
async fn main() {
    let centres = CENTRES.map(String::from).to_vec();
    let bounds = Bounds {
        centres,
        hold: 6_000,
        stop_harm_contact: [400, 4_500, 4_000],
        capacity: (0.12, 10.0),
        ..Bounds::default()
    };
    let mut lab = Lab::start(bounds, no_hook()).await;
    let book = Arc::new(RunLog::default());
    let mut workers = Vec::new();
    for centre in CENTRES {
        for n in 0..WORKERS {
            let id = format!("i-{centre}-{n}");
            let worker = WorkerStandin::start(&id, Duration::from_millis(1_000), book.clone())
                .await
                .unwrap();
            workers.push(Placed { worker, centre, rack: n / RACK });
        }
    }
    let lost = |placed: &Placed| placed.centre == CENTRES[0] && placed.rack == 0;
    let gone = Arc::new(std::sync::Mutex::new(false));
    let (listed, store, flag) = (workers.clone(), lab.store.clone(), gone.clone());
    for placed in &workers {
        lab.store.put("keyed.servers", &placed.worker.name, &placed.entry());
    }
    tokio::spawn(async move {
        loop {
            sleep(Duration::from_millis(1_500)).await;
            let gone = *flag.lock().unwrap();
            let alive = listed.iter().filter(|p| !(gone && p.centre == CENTRES[0] && p.rack == 0));
            alive.for_each(|p| store.put("keyed.servers", &p.worker.name, &p.entry()));
        }
    });
    lab.configure(1, |_| {});
    for n in 1..=FRONTS {
        lab.begin_front(&format!("front-{n}"));
    }
    for n in 1..=FRONTS {
        lab.wait_ready(&format!("front-{n}")).await;
    }
    lab.wait_owner().await;
    sleep(Duration::from_secs(5)).await;

    if trouble() {
        for placed in workers.iter().filter(|p| lost(p)) {
            placed.worker.mute(true);
            lab.record.note(format!("worker: {} crashes and is lost for good", placed.worker.name));
        }
        *gone.lock().unwrap() = true;
        // Their entries go after three liveness reports of silence.
        sleep(Duration::from_millis(4_500)).await;
        for placed in workers.iter().filter(|p| lost(p)) {
            lab.store.put("keyed.servers", &placed.worker.name, b"");
        }
        sleep(Duration::from_secs(8)).await;
    }
    let mut jobs = Vec::new();
    for n in 0..JOBS {
        let job = format!("{:016x}", (n + 1).wrapping_mul(0x5c0e_7a21_d94b_36f9));
        let step = json!({ "count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1000, "requires": "big" });
        let body = json!({ "spec": "t", "steps": [step] }).to_string();
        let front = format!("front-{}", n as usize % FRONTS + 1);
        if lab.consumer(&front, "POST", &format!("/p/{job}"), &body).await.0 != 200 {
            not_run(&lab.record, "a job was not accepted");
        }
        jobs.push(job);
        sleep(EVERY).await;
    }
    lab.record.note("consumers: the traffic has ended");
    let traffic_ended = Instant::now();
    sleep(FINISH).await;
    let ran = |job: &String| book.runs().iter().any(|run| run.task.starts_with(job.as_str()));
    let before: Vec<String> = jobs.iter().filter(|job| !ran(job)).cloned().collect();
    sleep(IDLE + Duration::from_millis(200)).await;
    let idle: Vec<String> = before.into_iter().filter(|job| !ran(job)).collect();
    lab.record.note(format!("checked {:?} after the traffic", traffic_ended.elapsed()));
    for job in &jobs {
        lab.consumer("front-2", "GET", &format!("/p/{job}"), "").await;
    }
    for run in book.runs() {
        lab.record.note(format!(
            "run: {} {} on {} ended {:?}",
            run.task,
            run.run,
            run.worker,
            run.ended.map(|e| e.1)
        ));
    }
    for job in &idle {
        let sound = workers.iter().filter(|p| p.rack == 0 && !(trouble() && lost(p))).count();
        lab.record.note(format!(
            "BROKEN: job {job} never ran; {sound} sound workers of its kind are idle"
        ));
    }
    let verdict = i32::from(!idle.is_empty());
    lab.record.note(format!("verdict: {verdict}, {} of {JOBS} jobs never ran", idle.len()));
    lab.end();
    std::process::exit(verdict);
}
