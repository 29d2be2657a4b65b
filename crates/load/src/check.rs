//! Judges a run by what the stand-ins saw.

use std::collections::BTreeMap;

use serde::Serialize;

use myrtle_standin::{Run, Summary};

use crate::callers::{Book, Said};

/// Slots and connections of an upstream.
const SLOTS: u32 = 8;
const CONNECTIONS: u32 = 64;

/// A percentile line of one class, in microseconds.
#[derive(Debug, Default, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The 99.9th percentile.
    pub p999: u64,
}

/// What came of a run.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Requests answered in full.
    pub answered: u64,
    /// Refusals by kind.
    pub refused: BTreeMap<String, u64>,
    /// Requests without any answer.
    pub unanswered: u64,
    /// Attempts of tasks that workers began.
    pub started: usize,
    /// Attempts that were stopped before their end.
    pub evicted: usize,
    /// Attempts that went on from a checkpoint.
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
    /// The most slots in use at once at any upstream.
    pub most_busy: u32,
    /// The most connections open at once at any upstream.
    pub most_open: u32,
    /// Promises that were broken, with the evidence.
    pub broken: Vec<String>,
}

/// Judges a run.
pub fn judge(book: &Book, summary: &Summary, in_force_ms: u64) -> Report {
    let mut report = Report { in_force_ms, ..Report::default() };
    report.refused = book.refused.lock().expect("no holder panics").clone();
    report.started = summary.started;
    report.evicted = summary.stopped;
    report.resumed = summary.resumed;
    report.appends = summary.appends;
    requests(book, summary, &mut report);
    tasks(summary, &mut report);
    upstreams(summary, &mut report);
    for (class, h) in book.latency.lock().expect("no holder panics").iter() {
        let p = |q| h.value_at_quantile(q);
        let line = Percentiles { p50: p(0.5), p99: p(0.99), p999: p(0.999) };
        report.latency_us.insert(class.clone(), line);
    }
    report
}

/// Whether a stopped task went on in a later attempt, from where the stopped one ended.
pub fn resumed(runs: &[Run], task: &str) -> bool {
    let of: Vec<&Run> = runs.iter().filter(|r| r.task == task).collect();
    of.windows(2).any(|w| w[1].attempt == w[0].attempt + 1 && w[1].first == w[0].last)
}

fn requests(book: &Book, summary: &Summary, report: &mut Report) {
    for text in book.broken.lock().expect("no holder panics").iter() {
        report.broken.push(format!("an answer was not whole or not the caller's own: {text}"));
    }
    // A keyed request may have been sent several times: what counts is what was said at last.
    let mut ends: BTreeMap<&str, (bool, Vec<Said>)> = BTreeMap::new();
    let seen = book.seen.lock().expect("no holder panics");
    for one in seen.iter() {
        ends.entry(&one.id).or_insert((one.safe, Vec::new())).1.push(one.said);
    }
    for (id, (safe, said)) in ends {
        let ran = summary.requests.get(id).copied().unwrap_or_default();
        if said.contains(&Said::Answered) {
            report.answered += 1;
            if ran == 0 {
                report.lost += 1;
                report.broken.push(format!("{id} was answered but never ran"));
            }
        }
        if said.iter().all(|s| *s == Said::Nothing) {
            report.unanswered += 1;
        }
        if !safe && ran > 1 {
            report.doubled += 1;
            report.broken.push(format!("{id} is unsafe and ran {ran} times"));
        }
        let all_not_run = said.iter().all(|s| *s == Said::NotRun);
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
        report.broken.push(format!("a worker was given more than it has: {text}"));
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
