//! The record of runs on the stand-in workers, for checks by tests.

use std::sync::Mutex;
use std::time::Instant;

/// A recorded run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// The name of the task.
    pub task: String,
    /// The number of the run.
    pub run: u32,
    /// The name of the worker.
    pub worker: String,
    /// When it started.
    pub from: Instant,
    /// When it ended and how; `None` while it runs.
    pub over: Option<(Instant, &'static str)>,
}

/// The recorded runs of all runners.
#[derive(Debug, Default)]
pub struct Book(Mutex<Vec<Seen>>);

impl Book {
    /// All recorded runs.
    pub fn runs(&self) -> Vec<Seen> {
        self.0.lock().expect("no holder panics").clone()
    }

    /// Pairs of runs of the same task that overlapped in time.
    pub fn doubled(&self) -> Vec<(Seen, Seen)> {
        let runs = self.runs();
        let end = |s: &Seen| s.over.map_or_else(Instant::now, |(at, _)| at);
        let pairs =
            runs.iter().enumerate().flat_map(|(i, a)| runs[i + 1..].iter().map(move |b| (a, b)));
        pairs
            .filter(|(a, b)| a.task == b.task && a.from < end(b) && b.from < end(a))
            .map(|(a, b)| (a.clone(), b.clone()))
            .collect()
    }
}

impl Book {
    /// Records the start of a run.
    pub(super) fn open(&self, seen: Seen) {
        self.0.lock().expect("no holder panics").push(seen);
    }

    /// Records the end of a run.
    pub(super) fn close(&self, worker: &str, task: &str, run: u32, how: &'static str) {
        let mut seen = self.0.lock().expect("no holder panics");
        let same = |s: &&mut Seen| s.task == task && s.run == run && s.worker == worker;
        if let Some(seen) = seen.iter_mut().find(same) {
            seen.over = Some((Instant::now(), how));
        }
    }
}
