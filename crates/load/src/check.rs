//! Checks a run against the records of the stand-ins.

use std::collections::BTreeMap;

use serde::Serialize;

use myrtle_standin::{Run, Summary};

use crate::callers::{Log, Outcome};

/// Slots of an upstream.
const SLOTS: u32 = 8;

/// Most connections to an upstream.
const CONNECTIONS: u32 = 64;

/// Latency percentiles of a class, in microseconds.
#[derive(Debug, Default, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The 99.9th percentile.
    pub p999: u64,
}

/// Figures of a run and the guarantees that it violated.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Requests answered in full.
    pub answered: u64,
    /// Refusals by kind.
    pub refused: BTreeMap<String, u64>,
    /// Requests without any answer.
    pub unanswered: u64,
    /// Attempts of tasks that workers started.
    pub started: usize,
    /// Attempts that were stopped before their end.
    pub evicted: usize,
    /// Attempts that resumed from a checkpoint.
    pub resumed: usize,
    /// Answered requests that no upstream ran, and work lost after a confirmed stop.
    pub lost: usize,
    /// Unsafe requests that ran twice, and tasks that ran or ended twice.
    pub doubled: usize,
    /// Time until the configuration was in force everywhere.
    pub in_force_ms: u64,
    /// Latencies by class.
    pub latency_us: BTreeMap<String, Percentiles>,
    /// Appends to the log.
    pub appends: u64,
    /// The peak number of slots in use at any upstream.
    pub most_busy: u32,
    /// The peak number of open connections at any upstream.
    pub most_open: u32,
    /// Violated guarantees, with the evidence.
    pub broken: Vec<String>,
}

/// Checks a run and returns its figures.
pub fn judge(log: &Log, summary: &Summary, in_force_ms: u64) -> Report {
    let mut report = Report { in_force_ms, ..Report::default() };
    report.refused = log.refused.lock().expect("lock not poisoned").clone();
    report.started = summary.started;
    report.evicted = summary.stopped;
    report.resumed = summary.resumed;
    report.appends = summary.appends;
    requests(log, summary, &mut report);
    tasks(summary, &mut report);
    upstreams(summary, &mut report);
    for (class, h) in log.latency.lock().expect("lock not poisoned").iter() {
        let p = |q| h.value_at_quantile(q);
        let line = Percentiles { p50: p(0.5), p99: p(0.99), p999: p(0.999) };
        report.latency_us.insert(class.clone(), line);
    }
    report
}

/// Returns whether the next attempt of a stopped task resumed where the stopped request ended.
pub fn resumed(runs: &[Run], task: &str) -> bool {
    let of: Vec<&Run> = runs.iter().filter(|r| r.task == task).collect();
    of.windows(2).any(|w| w[1].attempt == w[0].attempt + 1 && w[1].first == w[0].last)
}

fn requests(log: &Log, summary: &Summary, report: &mut Report) {
    for text in log.broken.lock().expect("lock not poisoned").iter() {
        report.broken.push(format!("answer incomplete or for another request: {text}"));
    }
    // A keyed request may have been sent several times; its outcomes are checked together.
    let mut by_id: BTreeMap<&str, (bool, Vec<Outcome>)> = BTreeMap::new();
    let seen = log.seen.lock().expect("lock not poisoned");
    for request in seen.iter() {
        by_id.entry(&request.id).or_insert((request.safe, Vec::new())).1.push(request.outcome);
    }
    for (id, (safe, outcomes)) in by_id {
        let ran = summary.requests.get(id).copied().unwrap_or_default();
        if outcomes.contains(&Outcome::Answered) {
            report.answered += 1;
            if ran == 0 {
                report.lost += 1;
                report.broken.push(format!("{id} was answered but never ran"));
            }
        }
        if outcomes.iter().all(|s| *s == Outcome::NoAnswer) {
            report.unanswered += 1;
        }
        if !safe && ran > 1 {
            report.doubled += 1;
            report.broken.push(format!("{id} is unsafe and ran {ran} times"));
        }
        let all_not_run = outcomes.iter().all(|s| *s == Outcome::NotRun);
        if all_not_run && ran > 0 {
            report.broken.push(format!("{id} was refused as not run but ran {ran} times"));
        }
    }
}

fn tasks(summary: &Summary, report: &mut Report) {
    let doubled = summary.doubled_tasks.iter().chain(&summary.done_twice);
    for task in doubled {
        report.doubled += 1;
        report.broken.push(format!("task {task} ran or ended twice"));
    }
    for task in &summary.lost_work {
        report.lost += 1;
        report.broken.push(format!("task {task} lost work after a confirmed stop"));
    }
    for text in &summary.overcommits {
        report.broken.push(format!("a worker was given more than its room: {text}"));
    }
}

fn upstreams(summary: &Summary, report: &mut Report) {
    for (name, seen) in &summary.upstreams {
        report.most_busy = report.most_busy.max(seen.most_busy);
        report.most_open = report.most_open.max(seen.most_open);
        if seen.most_busy > SLOTS {
            report.broken.push(format!("{name} ran {} requests at once", seen.most_busy));
        }
        if seen.most_open > CONNECTIONS {
            report.broken.push(format!("{name} had {} connections at once", seen.most_open));
        }
    }
}
