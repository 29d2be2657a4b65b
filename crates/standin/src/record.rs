//! What the stand-ins saw, from which promises are judged.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use myrtle_base::Millis;
use myrtle_platform::RunState;

/// One attempt of a task on a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The worker.
    pub worker: String,
    /// The task's name, with its data centre.
    pub task: String,
    /// The attempt.
    pub attempt: u16,
    /// When it began.
    pub from: Millis,
    /// When it ended, if it did.
    pub to: Option<Millis>,
    /// The checkpoint it began at.
    pub first: u32,
    /// The checkpoint it ended at.
    pub last: u32,
    /// How it ended.
    pub end: Option<RunState>,
    /// Whether it ended because its lease did, or its worker died.
    pub lapsed: bool,
}

/// The end of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct RunEnd {
    /// When it was.
    pub at: Millis,
    /// How it was.
    pub state: RunState,
    /// The last checkpoint.
    pub checkpoint: u32,
    /// Whether the lease had ended, or the worker died.
    pub lapsed: bool,
}

/// What one upstream saw.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSeen {
    /// The most requests at once.
    pub most_busy: u32,
    /// The most connections at once.
    pub most_open: u32,
    /// Requests begun.
    pub begun: u64,
    /// The arrival of the newest request.
    pub newest: Millis,
}

/// Everything that was seen.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    runs: Mutex<Vec<Run>>,
    requests: Mutex<HashMap<String, u32>>,
    upstreams: Mutex<BTreeMap<String, UpstreamSeen>>,
    overcommits: Mutex<Vec<String>>,
}

/// The record in numbers.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Attempts that began.
    pub started: usize,
    /// Attempts that were stopped.
    pub stopped: usize,
    /// Later attempts that began at a checkpoint above 0.
    pub resumed: usize,
    /// Tasks done.
    pub done: usize,
    /// Tasks of which two attempts ran at once.
    pub doubled_tasks: Vec<String>,
    /// Tasks that were done twice.
    pub done_twice: Vec<String>,
    /// Attempts that began before the checkpoint at which a confirmed stop had left the task.
    pub lost_work: Vec<String>,
    /// Workers that were given more than they have.
    pub overcommits: Vec<String>,
    /// Requests that an upstream began, with how often.
    pub requests: HashMap<String, u32>,
    /// What each upstream saw.
    pub upstreams: BTreeMap<String, UpstreamSeen>,
    /// Appends to the log.
    pub appends: u64,
    /// Bytes appended to the log.
    pub append_bytes: u64,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            runs: Mutex::default(),
            requests: Mutex::default(),
            upstreams: Mutex::default(),
            overcommits: Mutex::default(),
        }
    }
}

impl Record {
    /// The time since the record began.
    pub fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    /// An attempt begins.
    pub fn begin_run(&self, run: Run) {
        self.runs.lock().expect("no holder panics").push(run);
    }

    /// An attempt ends at `to`.
    pub fn end_run(&self, worker: &str, task: &str, attempt: u16, end: RunEnd) {
        let mut runs = self.runs.lock().expect("no holder panics");
        let mut open = runs.iter_mut().rev();
        let same = |r: &&mut Run| r.worker == worker && r.task == task && r.attempt == attempt;
        if let Some(run) = open.find(|r| same(r) && r.to.is_none()) {
            run.to = Some(end.at);
            run.end = Some(end.state);
            run.last = end.checkpoint;
            run.lapsed = end.lapsed;
        }
    }

    /// A worker was given more than it has.
    pub fn overcommit(&self, text: String) {
        self.overcommits.lock().expect("no holder panics").push(text);
    }

    /// A request begins at an upstream.
    pub fn begin_request(&self, upstream: &str, id: &str, busy: u32) {
        *self.requests.lock().expect("no holder panics").entry(id.into()).or_default() += 1;
        let now = self.now();
        self.touch(upstream, |seen| {
            seen.most_busy = seen.most_busy.max(busy);
            seen.begun += 1;
            seen.newest = now;
        });
    }

    /// A connection to an upstream opens.
    pub fn open(&self, upstream: &str, open: u32) {
        self.touch(upstream, |seen| seen.most_open = seen.most_open.max(open));
    }

    /// The attempts so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no holder panics").clone()
    }

    /// The record in numbers.
    pub fn summary(&self) -> Summary {
        let runs = self.runs();
        let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in &runs {
            by_task.entry(&run.task).or_default().push(run);
        }
        let mut summary = Summary {
            started: runs.len(),
            stopped: runs.iter().filter(|r| r.end == Some(RunState::Stopped)).count(),
            resumed: runs.iter().filter(|r| r.attempt > 1 && r.first > 0).count(),
            done: runs.iter().filter(|r| r.end == Some(RunState::Done)).count(),
            overcommits: self.overcommits.lock().expect("no holder panics").clone(),
            requests: self.requests.lock().expect("no holder panics").clone(),
            upstreams: self.upstreams.lock().expect("no holder panics").clone(),
            ..Summary::default()
        };
        for (task, runs) in by_task {
            judge(task, &runs, &mut summary);
        }
        summary
    }

    fn touch(&self, upstream: &str, change: impl FnOnce(&mut UpstreamSeen)) {
        let mut upstreams = self.upstreams.lock().expect("no holder panics");
        change(upstreams.entry(upstream.into()).or_default());
    }
}

/// Looks for overlaps, double ends and lost work among one task's attempts.
fn judge(task: &str, runs: &[&Run], summary: &mut Summary) {
    let mut runs = runs.to_vec();
    runs.sort_by_key(|r| r.from);
    let end = |r: &Run| r.to.unwrap_or(Millis(u64::MAX));
    let overlap = runs.windows(2).any(|w| end(w[0]) > w[1].from);
    if overlap {
        summary.doubled_tasks.push(task.into());
    }
    if runs.iter().filter(|r| r.end == Some(RunState::Done)).count() > 1 {
        summary.done_twice.push(task.into());
    }
    let stopped = |r: &Run| r.end == Some(RunState::Stopped) && !r.lapsed;
    let lost = |w: &[&Run]| stopped(w[0]) && w[1].first != w[0].last;
    if runs.windows(2).any(lost) {
        summary.lost_work.push(task.into());
    }
}
