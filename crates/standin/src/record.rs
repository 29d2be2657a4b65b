//! The record of runs and requests at the stand-ins, from which tests check promises.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use myrtle_base::Millis;
use myrtle_platform::RunState;

/// One attempt of a task on a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The name of the worker.
    pub worker: String,
    /// The task's name, with its data centre.
    pub task: String,
    /// The number of the attempt.
    pub attempt: u16,
    /// When it started.
    pub from: Millis,
    /// When it ended; `None` while it runs.
    pub to: Option<Millis>,
    /// The checkpoint at which it started.
    pub first: u32,
    /// The checkpoint at which it ended.
    pub last: u32,
    /// The final state; `None` while it runs.
    pub end: Option<RunState>,
    /// Whether it ended because its lease expired or its worker died.
    pub lapsed: bool,
}

/// The end of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct RunEnd {
    /// When it ended.
    pub at: Millis,
    /// The final state.
    pub state: RunState,
    /// The last checkpoint.
    pub checkpoint: u32,
    /// Whether the lease expired or the worker died.
    pub lapsed: bool,
}

/// The requests and connections at one upstream.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSeen {
    /// The maximum number of concurrent requests.
    pub most_busy: u32,
    /// The maximum number of concurrent connections.
    pub most_open: u32,
    /// The number of requests begun.
    pub begun: u64,
    /// When the newest request arrived.
    pub newest: Millis,
}

/// The record of all stand-ins.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    runs: Mutex<Vec<Run>>,
    requests: Mutex<HashMap<String, u32>>,
    upstreams: Mutex<BTreeMap<String, UpstreamSeen>>,
    overcommits: Mutex<Vec<String>>,
}

/// A summary of a record.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The number of attempts started.
    pub started: usize,
    /// The number of attempts stopped.
    pub stopped: usize,
    /// The number of later attempts that started from a checkpoint above 0.
    pub resumed: usize,
    /// The number of attempts that completed.
    pub done: usize,
    /// Tasks of which two attempts ran concurrently.
    pub doubled_tasks: Vec<String>,
    /// Tasks that completed more than once.
    pub done_twice: Vec<String>,
    /// Tasks with an attempt that did not start from the checkpoint of the confirmed stop before it.
    pub lost_work: Vec<String>,
    /// Descriptions of workers whose attempts exceeded their room.
    pub overcommits: Vec<String>,
    /// The number of times that upstreams began each request, by its id.
    pub requests: HashMap<String, u32>,
    /// The requests and connections by upstream.
    pub upstreams: BTreeMap<String, UpstreamSeen>,
    /// The number of appends to the log.
    pub appends: u64,
    /// The number of bytes appended to the log.
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
    /// The time since the record was created.
    pub fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    /// Records the start of an attempt.
    pub fn begin_run(&self, run: Run) {
        self.runs.lock().expect("no holder panics").push(run);
    }

    /// Records the end of an attempt.
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

    /// Records that the attempts on a worker exceed its room.
    pub fn overcommit(&self, text: String) {
        self.overcommits.lock().expect("no holder panics").push(text);
    }

    /// Records that a request begins at an upstream.
    pub fn begin_request(&self, upstream: &str, id: &str, busy: u32) {
        *self.requests.lock().expect("no holder panics").entry(id.into()).or_default() += 1;
        let now = self.now();
        self.update(upstream, |seen| {
            seen.most_busy = seen.most_busy.max(busy);
            seen.begun += 1;
            seen.newest = now;
        });
    }

    /// Records that `open` connections to an upstream are open.
    pub fn open(&self, upstream: &str, open: u32) {
        self.update(upstream, |seen| seen.most_open = seen.most_open.max(open));
    }

    /// The attempts recorded so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no holder panics").clone()
    }

    /// Summarizes the record.
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
            check_task(task, &runs, &mut summary);
        }
        summary
    }

    fn update(&self, upstream: &str, change: impl FnOnce(&mut UpstreamSeen)) {
        let mut upstreams = self.upstreams.lock().expect("no holder panics");
        change(upstreams.entry(upstream.into()).or_default());
    }
}

/// Checks the attempts of one task for overlaps, repeated completion and lost work.
fn check_task(task: &str, runs: &[&Run], summary: &mut Summary) {
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
