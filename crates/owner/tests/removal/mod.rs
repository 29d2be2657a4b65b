//! A cell's logs, its owners, one worker and the clients, in virtual time.

pub mod log;
pub mod owner;

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_job::{
    EndReason, EndedRun, Incarnation, JobId, Listing, OrderReply, Running, State, Submission,
    TaskId, WorkerRuns, encode,
};
use myrtle_owner::{Order, Outcome};

use crate::common::jobs::ended;
use crate::common::{job, listing, policy, step};

use log::{Logs, Topic};
use owner::{Attempt, Held, Owner};

/// The length of a step, in milliseconds.
const STEP: u64 = 10;

/// The faults of a world, each as a share.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub refused: f64,
    /// The topic that refuses all appends.
    pub down: Option<Topic>,
    pub unanswered: f64,
    pub late: f64,
    /// The share of steps in which an owner reads nothing.
    pub unread: f64,
    /// The share of steps in which the newest owner ends.
    pub ends: f64,
    /// The share of steps in which the store drops its history.
    pub cuts: f64,
    /// Whether jobs are submitted anew under their ids once they are forgotten.
    pub again: bool,
}

/// The worker.
#[derive(Debug, Default)]
struct Runs {
    running: BTreeMap<TaskId, (u32, u64)>,
    ended: Vec<EndedRun>,
    count: u64,
}

/// The logs, owners, worker and clients.
pub struct World {
    pub now: u64,
    pub logs: Logs,
    pub owners: Vec<Owner>,
    pub faults: Faults,
    pub broken: Vec<String>,
    /// How often each task was started.
    pub starts: BTreeMap<TaskId, usize>,
    /// How often each job was accepted as a new one.
    pub accepted: BTreeMap<JobId, usize>,
    shown: BTreeSet<JobId>,
    held: Vec<Held>,
    /// Submissions that clients repeat: when, and of which job.
    repeats: Vec<(u64, JobId)>,
    worker: Incarnation,
    runs: Runs,
    fence: u64,
    rng: ChaCha8Rng,
}

/// A record of a job of one task that is submitted at a time.
pub fn record(at: u64) -> Vec<u8> {
    encode(&Submission { policy: policy(), spec: job(vec![step(1)]), accepted_at: at })
}

impl World {
    /// A world without an owner.
    pub fn new(seed: u64) -> Self {
        Self {
            now: 100_000,
            logs: Logs::new(),
            owners: Vec::new(),
            faults: Faults::default(),
            broken: Vec::new(),
            starts: BTreeMap::new(),
            accepted: BTreeMap::new(),
            shown: BTreeSet::new(),
            held: Vec::new(),
            repeats: Vec::new(),
            worker: Incarnation::new("w", 1),
            runs: Runs::default(),
            fence: 10,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts an owner, beside which an earlier one goes on until it is rejected.
    pub fn take_over(&mut self) {
        self.fence += 1;
        let listing = Listing { started_at: self.worker.start(), ..listing(0) };
        let worker = (&self.worker, &listing);
        self.owners.push(Owner::load(&mut self.logs, self.fence, worker, self.now));
    }

    /// Ends the owner and starts the next one.
    pub fn succeed(&mut self) {
        if let Some(owner) = self.owners.last_mut() {
            owner.ended = true;
        }
        self.take_over();
    }

    /// Submits a job as a new one.
    pub fn submit(&mut self, id: JobId) {
        *self.accepted.entry(id).or_default() += 1;
        self.shown.remove(&id);
        self.logs.submit(id, record(self.now));
        if self.rng.random_bool(0.3) {
            self.repeats.push((self.now + self.rng.random_range(10..1_000), id));
        }
    }

    /// The state that clients are shown.
    pub fn state(&self, id: JobId) -> Option<State> {
        self.owners.last().and_then(|owner| owner.cell.state(id))
    }

    /// Runs for some milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for (_, epoch, number, keys) in self.held.extract_if(.., |(due, ..)| *due <= now) {
            self.logs.remove(epoch, number, &keys);
        }
        for (_, id) in self.repeats.extract_if(.., |(due, _)| *due <= now) {
            self.logs.submit(id, record(now));
        }
        if self.rng.random_bool(self.faults.cuts) {
            self.logs.cut();
        }
        for at in 0..self.owners.len() {
            self.act(at);
        }
        if self.rng.random_bool(self.faults.ends) {
            // Some owners go on until the log rejects them.
            let crashes = self.rng.random_bool(0.7);
            self.owners.last_mut().unwrap().ended |= crashes;
            self.take_over();
        }
        self.look();
    }

    /// What becomes of an append to a topic.
    fn attempt(&mut self, topic: Topic) -> Attempt {
        let Faults { refused, unanswered, late, down, .. } = self.faults;
        if down == Some(topic) {
            return Attempt::Refused;
        }
        let draw: f64 = self.rng.random();
        match draw {
            _ if draw < refused => Attempt::Refused,
            _ if draw < refused + unanswered => Attempt::Unanswered,
            _ if draw < refused + unanswered + late => {
                Attempt::Late(self.rng.random_range(10..20_000))
            }
            _ => Attempt::Answered,
        }
    }

    fn act(&mut self, at: usize) {
        if self.owners[at].ended {
            return;
        }
        let now = self.now;
        if !self.rng.random_bool(self.faults.unread) {
            let count = self.rng.random_range(1..8);
            self.owners[at].read(&self.logs, count, now);
        }
        self.renew(at);
        let orders = self.owners[at].cell.orders();
        let attempt = self.attempt(Topic::Progress);
        let starts = self.owners[at].write(&mut self.logs, attempt, now);
        orders.into_iter().chain(starts).for_each(|order| self.carry_out(at, &order));
        let attempt = self.attempt(Topic::Jobs);
        self.held.extend(self.owners[at].remove(&mut self.logs, attempt, now));
    }

    /// Carries out an order at the worker, which has seen the newest owner's token.
    fn carry_out(&mut self, at: usize, order: &Order) {
        let Order::Start { worker, task, run, .. } = order else {
            return;
        };
        let cell = &mut self.owners[at].cell;
        let reply = if cell.fence < self.fence { OrderReply::Fenced } else { OrderReply::Done };
        cell.start_replied(worker, *task, *run, Outcome::Replied(reply), self.now);
        if reply != OrderReply::Done {
            self.owners[at].ended = true;
            return;
        }
        self.runs.running.insert(*task, (*run, self.now + 100));
        let starts = self.starts.entry(*task).or_default();
        *starts += 1;
        if *starts > self.accepted.get(&task.job).copied().unwrap_or_default() {
            self.broken.push(format!("{}: {task} starts after it has succeeded", self.now));
        }
    }

    /// Lets the worker report to an owner.
    fn renew(&mut self, at: usize) {
        let now = self.now;
        for (task, (run, _)) in self.runs.running.extract_if(.., |_, (_, end)| *end <= now) {
            self.runs.count += 1;
            self.runs.ended.push(ended(self.runs.count, task, run, EndReason::Done));
        }
        let cell = &mut self.owners[at].cell;
        if cell.fence < self.fence {
            return;
        }
        let seen = cell.renewal_args(&self.worker, now).map_or(0, |args| args.logged_ends);
        self.runs.ended.retain(|end| end.seq > seen);
        let running = self.runs.running.iter().map(|(&task, &(run, _))| Running {
            task,
            run,
            checkpoint: String::new(),
            percent: 50.0,
            metric: None,
        });
        let held = WorkerRuns {
            started_at: 1,
            clock_ms: now,
            running: running.collect(),
            ended: self.runs.ended.clone(),
        };
        cell.renewed(&self.worker, held, now - 1, now, now);
    }

    /// Clients look at their jobs, and may submit those anew that are forgotten.
    fn look(&mut self) {
        let Some(owner) = self.owners.last() else {
            return;
        };
        let ids: Vec<JobId> = self.accepted.keys().copied().collect();
        let mut forgotten = Vec::new();
        for id in ids {
            match owner.cell.state(id) {
                Some(State::Completed) => drop(self.shown.insert(id)),
                None if self.shown.contains(&id) => forgotten.push(id),
                _ => {}
            }
        }
        for id in forgotten {
            if self.faults.again && self.rng.random_bool(0.05) {
                self.submit(id);
            }
        }
    }

    /// Runs without faults, then checks that every job ran as often as it was accepted and that the log holds nothing.
    pub fn finish(&mut self) {
        self.faults = Faults::default();
        self.succeed();
        self.run(40_000);
        for (id, accepted) in &self.accepted {
            let task = TaskId { job: *id, round: 0, step: 0, index: 0 };
            let starts = self.starts.get(&task).copied().unwrap_or_default();
            if starts != *accepted {
                let line =
                    format!("{task} was accepted {accepted} times and started {starts} times");
                self.broken.push(line);
            }
        }
        let left: Vec<_> = self.logs.newest().into_iter().map(|(key, ..)| key).collect();
        if !left.is_empty() || !self.logs.progress.is_empty() {
            let progress: Vec<_> = self.logs.progress.keys().collect();
            self.broken
                .push(format!("the log still holds {left:?} and the progress of {progress:?}"));
        }
        assert_eq!(self.broken, Vec::<String>::new());
    }
}
