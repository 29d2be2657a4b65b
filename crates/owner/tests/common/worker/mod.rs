//! A simulated worker with fencing, leases and runs, which replies as the platform's workers do.

mod calls;

use std::collections::BTreeMap;
use std::sync::Arc;

use myrtle_base::Room;
use myrtle_job::{EndReason, EndedRun, Listing, TaskId};
use myrtle_owner::Outcome;

use super::Judge;

/// How long the larger room still counts after a worker shrinks, in milliseconds: the contact time and a heartbeat.
const SHRINK_GRACE: u64 = 4_000;

/// The rate of the slowest clock that the platform allows, in percent of real time.
const SLOW_PERCENT: u64 = 98;

/// A run on a worker.
#[derive(Clone)]
struct FakeRun {
    number: u32,
    room: Room,
    work: u64,
    worked: u64,
    long_running: bool,
    limit: u32,
    figure: f64,
}

/// An incarnation of a worker.
pub struct FakeWorker {
    pub listing: Listing,
    pub listed: bool,
    pub reachable: bool,
    pub gone: bool,
    /// Whether all its runs fail.
    pub failing: bool,
    /// The share of its runs that fail at their end, in percent.
    pub failing_percent: u64,
    /// How many times as long as usual its runs take.
    pub slowdown: u64,
    /// Whether its runs make no progress.
    pub hanging: bool,
    /// The tail latency that its serving tasks report, in place of the default.
    pub tail: Option<f64>,
    /// Whether an owner has reached it with a lease renewal or an order that was meant for it.
    pub reached: bool,
    /// The outcome of starts sent to it, if it doesn't carry them out.
    pub no_starts: Option<Outcome>,
    /// Whether it starts tasks without regard to its room.
    pub unguarded: bool,
    /// Whether its clock is as slow as the platform allows; set before time passes.
    pub slow: bool,
    /// The rooms that it has had, and since when.
    rooms: Vec<(u64, Room)>,
    /// The number of runs that were started on it.
    pub ever: u32,
    began: u64,
    fence: u64,
    until: u64,
    last: u64,
    runs: BTreeMap<TaskId, FakeRun>,
    ends: Vec<EndedRun>,
    /// The number of runs that ended; ends are numbered from 1 in each incarnation.
    count: u64,
    /// The highest run of each task that has ended or was stopped, and may not start any more.
    max_ended: BTreeMap<TaskId, u32>,
    name: Arc<str>,
}

impl FakeWorker {
    /// An incarnation that begins now.
    pub fn new(listing: Listing, now: u64) -> Self {
        let name = listing.address.to_string().into();
        let rooms = vec![(now, listing.room)];
        Self {
            listing,
            listed: true,
            reachable: true,
            gone: false,
            failing: false,
            failing_percent: 0,
            slowdown: 1,
            hanging: false,
            tail: None,
            reached: false,
            no_starts: None,
            unguarded: false,
            slow: false,
            rooms,
            ever: 0,
            began: now,
            fence: 0,
            until: 0,
            last: now,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            count: 0,
            max_ended: BTreeMap::new(),
            name,
        }
    }

    /// Its clock, in milliseconds since it began.
    fn clock(&self, now: u64) -> u64 {
        let passed = now - self.began;
        if self.slow { passed * SLOW_PERCENT / 100 } else { passed }
    }

    /// Changes its room, and its entry at once.
    pub fn resize(&mut self, room: Room, now: u64) {
        self.listing.room = room;
        self.rooms.push((now, room));
    }

    /// The room that runs may use; the larger room counts for a while after the worker shrinks.
    fn limit(&self, now: u64) -> Room {
        let ends = self.rooms.iter().skip(1).map(|(at, _)| *at).chain([u64::MAX]);
        let recent =
            self.rooms.iter().zip(ends).filter(|(_, end)| now < end.saturating_add(SHRINK_GRACE));
        recent.fold(Room::default(), |most, ((_, room), _)| Room {
            cpu: most.cpu.max(room.cpu),
            mem: most.mem.max(room.mem),
            accel: most.accel.max(room.accel),
        })
    }

    /// The number of active runs.
    pub fn count(&self) -> usize {
        self.runs.len()
    }

    /// The speed limit of a task in percent, if it runs here.
    pub fn pace_of(&self, task: TaskId) -> Option<u32> {
        self.runs.get(&task).map(|r| r.limit)
    }

    /// Whether a task runs here.
    pub fn runs(&self, task: TaskId) -> bool {
        self.runs.contains_key(&task)
    }

    /// Sets the value that a task reports: its tail latency if it serves, otherwise the processors that it uses.
    pub fn figure(&mut self, task: TaskId, figure: f64) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.figure = figure;
        }
    }

    /// Ends the incarnation and all its runs without notice.
    pub fn crash(&mut self, judge: &mut Judge) {
        for task in std::mem::take(&mut self.runs).into_keys() {
            judge.over(&self.name, task, false);
        }
        self.gone = true;
        self.listed = false;
    }

    /// Ends all members of a gang on this worker after one member was lost.
    pub fn break_off(&mut self, step: TaskId, judge: &mut Judge) {
        let of_step = |t: &TaskId| (t.job, t.round, t.step) == (step.job, step.round, step.step);
        let members: Vec<_> = self.runs.keys().copied().filter(of_step).collect();
        members.into_iter().for_each(|t| self.end(t, EndReason::GangEnded, judge));
    }

    /// Every task that runs here.
    pub fn tasks(&self) -> Vec<TaskId> {
        self.runs.keys().copied().collect()
    }

    /// A task that has run here for its delay in `delays`, after which it crashes the worker.
    pub fn culprit(&self, delays: &BTreeMap<TaskId, u64>) -> Option<TaskId> {
        let due = |(task, run): (&TaskId, &FakeRun)| {
            delays.get(task).is_some_and(|&delay| run.worked >= delay).then_some(*task)
        };
        self.runs.iter().find_map(due)
    }

    /// Advances its runs to `now`; they end if they are finished or the lease has expired.
    pub fn work(&mut self, now: u64, judge: &mut Judge) {
        let passed = now - std::mem::replace(&mut self.last, now);
        if self.gone {
            return;
        }
        if self.clock(now) > self.until && !self.runs.is_empty() {
            let tasks: Vec<_> = self.runs.keys().copied().collect();
            tasks.into_iter().for_each(|t| self.end(t, EndReason::Lapsed, judge));
        }
        let mut ended = Vec::new();
        for (&task, run) in &mut self.runs {
            if self.failing {
                ended.push((task, EndReason::Failed));
            } else if !self.hanging {
                run.worked += passed * u64::from(run.limit) / 100;
                if run.worked >= run.work * self.slowdown && !run.long_running {
                    let drawn = draw(task, run.number, self.listing.address.port());
                    let fails = drawn % 100 < self.failing_percent;
                    ended.push((task, if fails { EndReason::Failed } else { EndReason::Done }));
                }
            }
        }
        ended.into_iter().for_each(|(t, reason)| self.end(t, reason, judge));
    }

    /// Ends a run.
    fn end(&mut self, task: TaskId, reason: EndReason, judge: &mut Judge) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        let max = self.max_ended.entry(task).or_default();
        *max = (*max).max(run.number);
        judge.over(&self.name, task, reason == EndReason::Done);
        if reason == EndReason::Failed {
            judge.failed(task, run.number, self.last);
        }
        self.count += 1;
        let seq = self.count;
        self.ends.push(EndedRun { seq, task, run: run.number, reason, checkpoint: String::new() });
    }
}

/// A number drawn from the names of a run, so that a replay repeats it.
fn draw(task: TaskId, run: u32, port: u16) -> u64 {
    let names = task.job.spread() ^ u64::from(task.index) << 8 ^ u64::from(run) << 16;
    names.wrapping_add(u64::from(port)).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32
}
