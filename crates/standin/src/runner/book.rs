//! The record of runs on the stand-in workers, for checks by tests.

use std::sync::Mutex;
use std::time::Instant;

/// A recorded run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// The name of the task.
    pub task: String,
    /// The number of the run.
    pub run: u32,
    /// The name of the worker.
    pub worker: String,
    /// When it started.
    pub started: Instant,
    /// When it ended and how; `None` while it runs.
    pub ended: Option<(Instant, &'static str)>,
}

/// The recorded runs of all runners.
#[derive(Debug, Default)]
pub struct RunLog(Mutex<Vec<RunRecord>>);

impl RunLog {
    /// All recorded runs.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.0.lock().expect("no holder panics").clone()
    }

    /// Pairs of runs of the same task that overlapped in time.
    pub fn overlapping(&self) -> Vec<(RunRecord, RunRecord)> {
        let runs = self.runs();
        let end = |s: &RunRecord| s.ended.map_or_else(Instant::now, |(at, _)| at);
        let pairs =
            runs.iter().enumerate().flat_map(|(i, a)| runs[i + 1..].iter().map(move |b| (a, b)));
        pairs
            .filter(|(a, b)| a.task == b.task && a.started < end(b) && b.started < end(a))
            .map(|(a, b)| (a.clone(), b.clone()))
            .collect()
    }
}

impl RunLog {
    /// Records the start of a run.
    pub(super) fn open(&self, record: RunRecord) {
        self.0.lock().expect("no holder panics").push(record);
    }

    /// Records the end of a run.
    pub(super) fn close(&self, worker: &str, task: &str, run: u32, how: &'static str) {
        let mut runs = self.0.lock().expect("no holder panics");
        let same = |s: &&mut RunRecord| s.task == task && s.run == run && s.worker == worker;
        if let Some(record) = runs.iter_mut().find(same) {
            record.ended = Some((Instant::now(), how));
        }
    }
}
