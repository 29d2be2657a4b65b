//! What runners saw, for the judge.

use std::sync::Mutex;
use std::time::Instant;

/// A run that a runner saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// The task.
    pub task: String,
    /// The run.
    pub run: u32,
    /// The worker.
    pub worker: String,
    /// When it began.
    pub from: Instant,
    /// When it was over, and how.
    pub over: Option<(Instant, &'static str)>,
}

/// All that runners saw.
#[derive(Debug, Default)]
pub struct Book(Mutex<Vec<Seen>>);

impl Book {
    /// Every run.
    pub fn runs(&self) -> Vec<Seen> {
        self.0.lock().expect("no holder panics").clone()
    }

    /// Pairs of runs of one task that went on at the same time.
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
    /// Notes that a run has begun.
    pub(super) fn open(&self, seen: Seen) {
        self.0.lock().expect("no holder panics").push(seen);
    }

    /// Notes how a run was over.
    pub(super) fn close(&self, worker: &str, task: &str, run: u32, how: &'static str) {
        let mut seen = self.0.lock().expect("no holder panics");
        let mine = |s: &&mut Seen| s.task == task && s.run == run && s.worker == worker;
        if let Some(seen) = seen.iter_mut().find(mine) {
            seen.over = Some((Instant::now(), how));
        }
    }
}
