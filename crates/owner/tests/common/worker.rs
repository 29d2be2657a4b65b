//! A worker: fences, leases, runs, ends; answers as the platform's workers do.

use std::collections::BTreeMap;
use std::sync::Arc;

use myrtle_base::Room;
use myrtle_job::{Ended, Held, How, Listing, Running, StepSpec, TaskId, Told};

use super::Judge;

/// How long a room that has shrunk still counts, in milliseconds: the contact time and a heartbeat.
const SHRINKS: u64 = 4_000;

/// The longest lease, in milliseconds.
const HOLD: u64 = 10_000;

/// What a slow clock shows of the time that has passed, in percent; the platform's figure.
const SLOW: u64 = 98;

/// A run on a worker.
#[derive(Clone)]
struct FakeRun {
    number: u32,
    room: Room,
    work: u64,
    worked: u64,
    lasting: bool,
    pace: u32,
    figure: f64,
}

/// A worker's life.
pub struct FakeWorker {
    pub listing: Listing,
    pub listed: bool,
    pub reachable: bool,
    pub gone: bool,
    /// Fails everything that it runs.
    pub failing: bool,
    /// Lets everything that it runs stand still.
    pub hanging: bool,
    /// The figure that serving tasks tell; by tests that need one.
    pub tail: Option<f64>,
    /// Starts what it is told to, whatever its room.
    pub unguarded: bool,
    /// Whether its clock is as slow as the platform allows; set before time passes.
    pub slow: bool,
    /// What it has had lately, and since when.
    rooms: Vec<(u64, Room)>,
    /// How many runs were ever started here.
    pub ever: u32,
    began: u64,
    fence: u64,
    until: u64,
    last: u64,
    runs: BTreeMap<TaskId, FakeRun>,
    ends: Vec<Ended>,
    /// How many ends there were; they are numbered from 1 in each incarnation.
    count: u64,
    barred: BTreeMap<TaskId, u32>,
    name: Arc<str>,
}

impl FakeWorker {
    /// A life that begins now.
    pub fn new(listing: Listing, now: u64) -> Self {
        let name = listing.address.to_string().into();
        let rooms = vec![(now, listing.room)];
        Self {
            listing,
            listed: true,
            reachable: true,
            gone: false,
            failing: false,
            hanging: false,
            tail: None,
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
            barred: BTreeMap::new(),
            name,
        }
    }

    /// Its clock, which began with its life.
    fn clock(&self, now: u64) -> u64 {
        let passed = now - self.began;
        if self.slow { passed * SLOW / 100 } else { passed }
    }

    /// Its room is another one from now on; its entry says so at once.
    pub fn resize(&mut self, room: Room, now: u64) {
        self.listing.room = room;
        self.rooms.push((now, room));
    }

    /// What starts may take of it: a room that has shrunk counts for a while longer.
    fn limit(&self, now: u64) -> Room {
        let ends = self.rooms.iter().skip(1).map(|(at, _)| *at).chain([u64::MAX]);
        let lately =
            self.rooms.iter().zip(ends).filter(|(_, end)| now < end.saturating_add(SHRINKS));
        lately.fold(Room::default(), |most, ((_, room), _)| Room {
            cpu: most.cpu.max(room.cpu),
            mem: most.mem.max(room.mem),
            accel: most.accel.max(room.accel),
        })
    }

    /// How many runs there are.
    pub fn count(&self) -> usize {
        self.runs.len()
    }

    /// The pace of a task, if it runs here.
    pub fn pace_of(&self, task: TaskId) -> Option<u32> {
        self.runs.get(&task).map(|r| r.pace)
    }

    /// Whether a task runs here.
    pub fn runs(&self, task: TaskId) -> bool {
        self.runs.contains_key(&task)
    }

    /// Sets the figure of a task.
    pub fn figure(&mut self, task: TaskId, figure: f64) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.figure = figure;
        }
    }

    /// The life ends without a word; what ran there is over.
    pub fn crash(&mut self, judge: &mut Judge) {
        for task in std::mem::take(&mut self.runs).into_keys() {
            judge.over(&self.name, task, false);
        }
        self.gone = true;
        self.listed = false;
    }

    /// Ends what is here of a gang of which a member was lost.
    pub fn break_off(&mut self, step: TaskId, judge: &mut Judge) {
        let of_step = |t: &TaskId| (t.job, t.round, t.step) == (step.job, step.round, step.step);
        let members: Vec<_> = self.runs.keys().copied().filter(of_step).collect();
        members.into_iter().for_each(|t| self.end(t, How::Broken, judge));
    }

    /// Every task that runs here.
    pub fn tasks(&self) -> Vec<TaskId> {
        self.runs.keys().copied().collect()
    }

    /// A run here that has gone on for as long as `delays` says its task lets its worker live.
    pub fn culprit(&self, delays: &BTreeMap<TaskId, u64>) -> Option<TaskId> {
        let due = |(task, run): (&TaskId, &FakeRun)| {
            delays.get(task).is_some_and(|&delay| run.worked >= delay).then_some(*task)
        };
        self.runs.iter().find_map(due)
    }

    /// Time passes.
    pub fn work(&mut self, now: u64, judge: &mut Judge) {
        let passed = now - std::mem::replace(&mut self.last, now);
        if self.gone {
            return;
        }
        if self.clock(now) > self.until && !self.runs.is_empty() {
            let tasks: Vec<_> = self.runs.keys().copied().collect();
            tasks.into_iter().for_each(|t| self.end(t, How::Lapsed, judge));
        }
        let mut over = Vec::new();
        for (&task, run) in &mut self.runs {
            if self.failing {
                over.push((task, How::Failed));
            } else if !self.hanging {
                run.worked += passed * u64::from(run.pace) / 100;
                if run.worked >= run.work && !run.lasting {
                    over.push((task, How::Done));
                }
            }
        }
        over.into_iter().for_each(|(t, how)| self.end(t, how, judge));
    }

    /// Renews, notes and lists.
    pub fn hold(
        &mut self,
        fence: u64,
        seen: u64,
        until: Option<u64>,
        now: u64,
        judge: &mut Judge,
    ) -> Result<Held, Told> {
        if fence < self.fence {
            return Err(Told::Fenced);
        }
        self.fence = fence;
        if seen > self.count {
            judge
                .broken
                .push(format!("{now}: {} is told to forget ends that it never had", self.name));
        }
        let clock = self.clock(now);
        self.lease(until.unwrap_or(0), clock, judge);
        for end in self.ends.iter().filter(|e| e.number <= seen) {
            match end.how {
                How::Done => judge.noted(end.task, now),
                How::Failed => judge.noted_failed(end.task, end.run),
                _ => {}
            }
        }
        self.ends.retain(|e| e.number > seen);
        let running = self.runs.iter().map(|(&task, r)| Running {
            task,
            run: r.number,
            saved: String::new(),
            percent: if r.lasting { 100.0 } else { (r.worked * 100 / r.work.max(1)) as f64 },
            figure: Some(match r.lasting {
                true => self.tail.unwrap_or(r.figure),
                false => r.figure * f64::from(r.pace) / 100.0,
            }),
        });
        Ok(Held {
            start: self.listing.start,
            clock,
            running: running.collect(),
            ended: self.ends.clone(),
        })
    }

    /// Adopts a lease; one that is longer than any may be is cut.
    fn lease(&mut self, until: u64, clock: u64, judge: &mut Judge) {
        if until > clock + HOLD {
            judge.overlong.insert(self.name.clone(), until - clock);
        }
        self.until = self.until.max(until.min(clock + HOLD));
    }

    /// Starts a run under a fencing token and a lease.
    pub fn start(
        &mut self,
        task: TaskId,
        run: u32,
        spec: &StepSpec,
        (fence, until): (u64, u64),
        now: u64,
        judge: &mut Judge,
    ) -> Told {
        if fence < self.fence {
            return Told::Fenced;
        }
        self.fence = fence;
        let clock = self.clock(now);
        if until <= clock {
            return Told::Late;
        }
        self.lease(until, clock, judge);
        if self.runs.get(&task).is_some_and(|r| r.number == run) {
            return Told::Done;
        }
        if self.barred.get(&task).is_some_and(|&b| run <= b) || self.runs.contains_key(&task) {
            return Told::Old;
        }
        let used = self.runs.values().fold(Room::default(), |sum, r| sum + r.room);
        if !self.unguarded && !spec.claim().fits(&self.listing.room.less(&used)) {
            return Told::Full;
        }
        if self.unguarded && !spec.claim().fits(&self.limit(now).less(&used)) {
            judge.broken.push(format!("{now}: {task} takes {} over its room", self.name));
        }
        let fresh = FakeRun {
            number: run,
            room: spec.claim(),
            work: spec.estimate,
            worked: 0,
            lasting: spec.lasting,
            pace: 100,
            figure: if spec.target.is_some() { 40.0 } else { f64::from(spec.room.cpu) },
        };
        self.runs.insert(task, fresh);
        self.ever += 1;
        judge.begun(&self.name, task, now);
        Told::Done
    }

    /// Stops a run, or bars it.
    pub fn stop(&mut self, task: TaskId, run: u32, fence: u64, judge: &mut Judge) -> Told {
        if fence < self.fence {
            return Told::Fenced;
        }
        self.fence = fence;
        if self.runs.get(&task).is_some_and(|r| r.number == run) {
            self.end(task, How::Stopped, judge);
        }
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(run);
        Told::Done
    }

    /// Sets the pace of a run.
    pub fn pace(&mut self, task: TaskId, run: u32, percent: u32, fence: u64) -> Told {
        if fence < self.fence {
            return Told::Fenced;
        }
        if let Some(r) = self.runs.get_mut(&task).filter(|r| r.number == run) {
            r.pace = percent;
        }
        Told::Done
    }

    fn end(&mut self, task: TaskId, how: How, judge: &mut Judge) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(run.number);
        judge.over(&self.name, task, how == How::Done);
        if how == How::Failed {
            judge.failed(task, run.number, self.last);
        }
        self.count += 1;
        let number = self.count;
        self.ends.push(Ended { number, task, run: run.number, how, saved: String::new() });
    }
}
