//! The stand-in for a worker of the older half, which runs tasks under a lease and implements the control interface.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Deserialize;

use myrtle_base::{Millis, Room};
use myrtle_platform::{
    HttpRequest, Reply, Report, RunState, Start, Stop, SyncReply, SyncRequest, TaskUse,
    UsageReport, json, text,
};

use crate::{Record, Run, RunEnd, Upstream};

/// The interval at which leases and progress are updated.
const TICK: Duration = Duration::from_millis(20);

/// The amount of work between two checkpoints.
const CHECKPOINT_WORK: Millis = Millis(250);

/// The minimum interval between usage reports.
const USAGE_INTERVAL: Millis = Millis(2_000);

/// The behaviour of a worker.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkerMode {
    /// It works normally.
    #[default]
    Ok,
    /// It is dead; it returns as a new incarnation.
    Down,
    /// It is frozen: it doesn't answer, and its tasks make no progress.
    Paused,
    /// All its tasks fail.
    Failing,
    /// It runs tasks but can't be reached.
    Cut,
}

#[derive(Debug)]
struct Attempt {
    start: Start,
    worked: Millis,
    percent: u8,
    state: RunState,
    number: u64,
}

#[derive(Debug, Default)]
struct State {
    boot: u64,
    mode: WorkerMode,
    lease: Millis,
    number: u64,
    attempts: BTreeMap<String, Attempt>,
    /// The newest ended attempt by task; starts up to it are refused.
    over: BTreeMap<String, u16>,
    usage_at: Millis,
}

/// The stand-in for a worker.
#[derive(Debug)]
pub struct Worker {
    name: String,
    room: Room,
    scale: f64,
    record: Arc<Record>,
    upstream: Arc<Upstream>,
    inner: Mutex<State>,
}

impl Worker {
    /// Creates a worker whose tasks use `scale` times the room allocated to them.
    pub fn new(
        name: &str,
        room: Room,
        scale: f64,
        record: Arc<Record>,
        upstream: Arc<Upstream>,
    ) -> Self {
        let inner = State { boot: 1, ..State::default() };
        Self { name: name.into(), room, scale, record, upstream, inner: Mutex::new(inner) }
    }

    /// Changes the behaviour.
    pub fn set(&self, mode: WorkerMode) {
        let mut inner = self.inner.lock().expect("no holder panics");
        if mode == WorkerMode::Down {
            let tasks: Vec<String> = inner.attempts.keys().cloned().collect();
            for task in tasks {
                self.finish(&mut inner, &task, RunState::Stopped, Some(self.record.now()));
            }
            inner.attempts.clear();
            inner.over.clear();
            inner.lease = Millis(0);
            inner.boot += 1;
        }
        inner.mode = mode;
        if mode == WorkerMode::Ok {
            self.stop_expired(&mut inner);
        }
    }

    /// Advances its tasks until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut last = self.record.now();
        loop {
            tokio::time::sleep(TICK).await;
            let now = self.record.now();
            let mut inner = self.inner.lock().expect("no holder panics");
            if !matches!(inner.mode, WorkerMode::Paused | WorkerMode::Down) {
                self.stop_expired(&mut inner);
                self.advance(&mut inner, now.since(last));
            }
            last = now;
        }
    }

    /// Handles a request to the control interface.
    pub async fn handle(&self, ask: HttpRequest) -> Reply {
        let mode = self.inner.lock().expect("no holder panics").mode;
        if matches!(mode, WorkerMode::Down | WorkerMode::Paused | WorkerMode::Cut) {
            tokio::time::sleep(Duration::from_secs(60)).await;
            return text(503, "worker unavailable");
        }
        let Ok(request) = serde_json::from_slice::<SyncRequest>(&ask.body) else {
            return text(400, "malformed exchange");
        };
        json(&self.sync(&request))
    }

    /// Executes one exchange.
    pub fn sync(&self, request: &SyncRequest) -> SyncReply {
        let mut inner = self.inner.lock().expect("no holder panics");
        self.stop_expired(&mut inner);
        if request.boot == inner.boot {
            self.apply(&mut inner, request);
        }
        let mut reply = SyncReply {
            boot: inner.boot,
            clock: self.record.now(),
            seen: inner.number,
            ..SyncReply::default()
        };
        let seen = if request.boot == inner.boot { request.seen } else { 0 };
        let unseen = inner.attempts.iter().filter(|(_, a)| a.number > seen);
        reply.reports = unseen.map(|(task, a)| report(task, a)).collect();
        if reply.clock.since(inner.usage_at) > USAGE_INTERVAL {
            inner.usage_at = reply.clock;
            reply.usage = Some(self.usage(&inner));
        }
        reply
    }

    fn apply(&self, inner: &mut State, request: &SyncRequest) {
        for noted in &request.noted {
            let same = inner.attempts.get(&noted.task);
            if same
                .is_some_and(|a| a.start.attempt == noted.attempt && a.state != RunState::Running)
            {
                inner.attempts.remove(&noted.task);
            }
        }
        inner.lease = inner.lease.max(request.lease.unwrap_or_default());
        for stop in &request.stop {
            self.stop(inner, stop);
        }
        for start in &request.start {
            self.start(inner, start);
        }
        for throttle in &request.throttle {
            if let Some(attempt) = inner.attempts.get_mut(&throttle.task) {
                attempt.percent = throttle.percent;
            }
        }
    }

    fn start(&self, inner: &mut State, start: &Start) {
        let over = inner.over.get(&start.task).is_some_and(|a| *a >= start.attempt);
        let present = inner.attempts.contains_key(&start.task);
        if over || present || self.record.now() >= inner.lease {
            return;
        }
        let running = inner.attempts.values().filter(|a| a.state == RunState::Running);
        let used = running.fold(start.room, |sum, a| sum + a.start.room);
        if !used.fits(&self.room) {
            self.record.overcommit(format!("{}: {used} of {}", self.name, self.room));
        }
        inner.number += 1;
        let attempt = Attempt {
            start: start.clone(),
            worked: Millis(u64::from(start.checkpoint) * CHECKPOINT_WORK.0),
            percent: 100,
            state: RunState::Running,
            number: inner.number,
        };
        inner.attempts.insert(start.task.clone(), attempt);
        self.record.begin_run(Run {
            worker: self.name.clone(),
            task: start.task.clone(),
            attempt: start.attempt,
            from: self.record.now(),
            to: None,
            first: start.checkpoint,
            last: start.checkpoint,
            end: None,
            lapsed: false,
        });
    }

    fn stop(&self, inner: &mut State, stop: &Stop) {
        let known = inner.attempts.get(&stop.task).map(|a| a.start.attempt);
        match known {
            Some(attempt) if attempt == stop.attempt => {
                self.finish(inner, &stop.task, RunState::Stopped, None);
            }
            Some(_) => {}
            None => self.refuse_start(inner, stop),
        }
    }

    /// Records and reports an attempt that it never received as stopped, so that a late start is refused.
    fn refuse_start(&self, inner: &mut State, stop: &Stop) {
        inner.number += 1;
        let start = Start {
            task: stop.task.clone(),
            attempt: stop.attempt,
            room: Room::default(),
            kind: String::new(),
            run_time: None,
            checkpoint: 0,
            leased: true,
        };
        let (number, state) = (inner.number, RunState::Stopped);
        let attempt = Attempt { start, worked: Millis(0), percent: 100, state, number };
        inner.attempts.insert(stop.task.clone(), attempt);
        inner.over.insert(stop.task.clone(), stop.attempt);
    }

    /// Stops leased attempts if the lease has expired.
    fn stop_expired(&self, inner: &mut State) {
        let end = inner.lease;
        if self.record.now() < end {
            return;
        }
        let leased = |a: &Attempt| a.start.leased && a.state == RunState::Running;
        let tasks: Vec<String> =
            inner.attempts.iter().filter(|(_, a)| leased(a)).map(|(t, _)| t.clone()).collect();
        for task in tasks {
            // A frozen worker did no work after its lease expired, whenever it resumes.
            self.finish(inner, &task, RunState::Stopped, Some(end));
        }
    }

    fn advance(&self, inner: &mut State, elapsed: Millis) {
        let failing = inner.mode == WorkerMode::Failing;
        let mut ended = Vec::new();
        let mut checkpointed = Vec::new();
        for (task, attempt) in &mut inner.attempts {
            if attempt.state != RunState::Running {
                continue;
            }
            let before = attempt.worked.0 / CHECKPOINT_WORK.0;
            attempt.worked += Millis(elapsed.0 * u64::from(attempt.percent) / 100);
            if attempt.worked.0 / CHECKPOINT_WORK.0 > before {
                checkpointed.push(task.clone());
            }
            if failing {
                ended.push((task.clone(), RunState::Failed));
            } else if attempt.start.run_time.is_some_and(|t| attempt.worked >= t) {
                ended.push((task.clone(), RunState::Done));
            }
        }
        for task in checkpointed {
            inner.number += 1;
            let number = inner.number;
            inner.attempts.entry(task).and_modify(|a| a.number = number);
        }
        for (task, state) in ended {
            self.finish(inner, &task, state, None);
        }
    }

    /// Ends an attempt now, or at the time at which its lease expired.
    fn finish(&self, inner: &mut State, task: &str, state: RunState, lapsed: Option<Millis>) {
        inner.number += 1;
        let number = inner.number;
        let Some(attempt) = inner.attempts.get_mut(task) else { return };
        if attempt.state != RunState::Running {
            return;
        }
        attempt.state = state;
        attempt.number = number;
        let no = attempt.start.attempt;
        let end = RunEnd {
            at: lapsed.unwrap_or(self.record.now()),
            state,
            checkpoint: checkpoint(attempt),
            lapsed: lapsed.is_some(),
        };
        inner.over.insert(task.into(), no);
        self.record.end_run(&self.name, task, no, end);
    }

    fn usage(&self, inner: &State) -> UsageReport {
        let running = inner.attempts.iter().filter(|(_, a)| a.state == RunState::Running);
        let used = |room: Room| Room {
            cpu: (f64::from(room.cpu) * self.scale) as u32,
            mem: (f64::from(room.mem) * self.scale) as u32,
            accel: room.accel,
        };
        let tasks = running.map(|(t, a)| TaskUse { task: t.clone(), room: used(a.start.room) });
        UsageReport {
            at: self.record.now(),
            p99_us: self.upstream.take_p99(),
            tasks: tasks.collect(),
        }
    }
}

fn report(task: &str, attempt: &Attempt) -> Report {
    Report {
        task: task.into(),
        attempt: attempt.start.attempt,
        state: attempt.state,
        checkpoint: checkpoint(attempt),
    }
}

fn checkpoint(attempt: &Attempt) -> u32 {
    (attempt.worked.0 / CHECKPOINT_WORK.0) as u32
}
