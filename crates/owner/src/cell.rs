//! The state of a cell: its jobs and its workers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use log::{Level, info, log, warn};

use myrtle_job::{JobId, Listing, Progress, Round, State, Submission, TaskId};

use crate::wave::WaveState;
use crate::{Bounds, Flight, Harm, Job, Life, Order, Question, Stage, Worker};

/// The longest age that a job's own stamp may give it; clocks of hosts may jump.
const OLDEST: u64 = 60_000;

/// How often something happened since this owner began.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Starts that were ordered.
    pub starts: u64,
    /// Starts that a worker refused.
    pub refused: u64,
    /// Runs that ended well.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that were stopped to go on elsewhere.
    pub moved: u64,
    /// Runs that were lost with their workers or leases.
    pub lost: u64,
    /// Paces that were set.
    pub paced: u64,
}

/// What the owner of a cell knows and intends.
#[derive(Debug)]
pub struct Cell {
    /// The deployment's figures.
    pub bounds: Bounds,
    /// The fencing token on every order.
    pub fence: u64,
    /// When this owner took over.
    pub began: u64,
    /// Whether the log has been read as far as it went at the takeover.
    pub loaded: bool,
    /// The jobs.
    pub jobs: HashMap<JobId, Job>,
    /// The lives of workers.
    pub workers: BTreeMap<Arc<str>, Worker>,
    /// What is known of images that disturb each other.
    pub harm: Harm,
    /// How often something happened.
    pub counts: Counts,
    /// Jobs with tasks that may have to be placed.
    pub(crate) open: BTreeSet<JobId>,
    /// Jobs that changed since the last batch.
    pub(crate) dirty: BTreeSet<JobId>,
    /// Orders that need no record.
    pub(crate) orders: Vec<Order>,
    /// Jobs with repetitions still to come.
    pub(crate) timed: BTreeSet<JobId>,
    /// Waves of upkeep.
    pub(crate) waves: BTreeMap<u64, WaveState>,
    /// Questions to the policy service.
    pub(crate) questions: Vec<Question>,
    /// Jobs that were taken back before they were known, and when.
    pub(crate) barred: HashMap<JobId, u64>,
}

impl Cell {
    /// A cell without jobs or workers, taken over at `now`.
    pub fn new(bounds: Bounds, fence: u64, now: u64) -> Self {
        Self {
            bounds,
            fence,
            began: now,
            loaded: false,
            jobs: HashMap::new(),
            workers: BTreeMap::new(),
            harm: Harm::default(),
            counts: Counts::default(),
            open: BTreeSet::new(),
            dirty: BTreeSet::new(),
            orders: Vec::new(),
            timed: BTreeSet::new(),
            waves: BTreeMap::new(),
            questions: Vec::new(),
            barred: HashMap::new(),
        }
    }

    /// Takes a job from the log; a repeat of one that is known changes nothing.
    pub fn admit(&mut self, id: JobId, submission: Submission, now: u64, wall: u64) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let age = wall.saturating_sub(submission.taken).min(OLDEST);
        let came = now.saturating_sub(age);
        let level = if self.loaded { Level::Info } else { Level::Debug };
        log!(
            level,
            "event=job-known job={id} queue={} steps={} age_ms={age}",
            submission.policy.queue,
            submission.spec.steps.len()
        );
        let mut progress = Progress::default();
        if submission.spec.repeat.is_none() {
            progress.rounds.insert(0, Round::fresh(&submission.spec));
            progress.next = 1;
        } else {
            self.timed.insert(id);
        }
        self.jobs.insert(id, Job::new(submission, progress, came));
        self.open.insert(id);
        if self.barred.remove(&id).is_some() {
            info!("event=job-barred job={id} reason=\"it was cancelled before it was known\"");
            self.finish(id, State::Cancelled, now, wall);
        }
    }

    /// Takes back a job that is not known: if its record still comes, it is cancelled.
    pub fn bar(&mut self, id: JobId, now: u64) {
        self.barred.insert(id, now);
    }

    /// Forgets jobs that have been over for as long as their state has to be told.
    pub fn forget(&mut self, now: u64, wall: u64) {
        let keep = self.bounds.status + self.bounds.status / 2;
        self.barred.retain(|_, at| now.saturating_sub(*at) < keep);
        let old = |j: &Job| {
            let ended = j.progress.ended;
            j.progress.state.over() && wall > ended + keep && !j.progress.live()
        };
        let gone: Vec<_> = self.jobs.iter().filter(|(_, j)| old(j)).map(|(&id, _)| id).collect();
        for id in gone {
            self.jobs.remove(&id);
            self.dirty.insert(id);
        }
    }

    /// Takes what an earlier owner wrote of a job.
    pub fn inherit(&mut self, id: JobId, progress: Progress, now: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            warn!("event=orphan job={id} reason=\"the log holds its progress but not the job\"");
            return;
        };
        job.shown = progress.state;
        job.progress = progress;
        let over = job.progress.state.over();
        if over || job.progress.next >= job.submission.spec.rounds() {
            self.timed.remove(&id);
        }
        if over {
            self.open.remove(&id);
        }
        let runs: Vec<_> = job
            .progress
            .tasks()
            .flat_map(|(round, step, index, t)| {
                let task = TaskId { job: id, round, step, index };
                t.live.iter().map(move |r| (task, r.clone()))
            })
            .collect();
        for (task, run) in runs {
            let spec = &self.jobs[&id].submission.spec.steps[usize::from(task.step)];
            let flight = Flight::new(run.number, spec, Stage::Inherited, now);
            let worker = self.workers.entry(run.worker).or_insert_with(|| Worker::new(now));
            worker.flights.insert(task, flight);
        }
    }

    /// Takes in what a worker says of itself; `life` is the name of this life.
    pub fn list(&mut self, life: &str, listing: Listing, now: u64) {
        let older = self.workers.iter().filter(|(id, w)| {
            let same = w.listing.as_ref().is_some_and(|l| l.address == listing.address);
            same && &***id != life && w.life != Life::Gone
        });
        let older: Vec<_> = older.map(|(id, _)| id.clone()).collect();
        for id in older {
            self.succeeded(&id, now);
        }
        let worker = self.workers.entry(life.into()).or_insert_with(|| Worker::new(now));
        let news = worker.listing.as_ref().is_none_or(|l| l.draining != listing.draining);
        if news {
            let level = if listing.draining { Level::Info } else { Level::Debug };
            log!(
                level,
                "event=worker-listed worker={life} draining={} room=\"{}\" remaining_ms={:?}",
                listing.draining,
                listing.room,
                listing.remaining
            );
        }
        if listing.draining {
            let leaves = listing.remaining.map(|r| now + r);
            worker.leaves = worker.leaves.or(leaves);
        }
        worker.listing = Some(listing);
        worker.listed = true;
    }

    /// The list no longer shows a life; what runs there may go on.
    pub fn unlist(&mut self, life: &str) {
        if let Some(worker) = self.workers.get_mut(life)
            && worker.listed
        {
            worker.listed = false;
            info!("event=worker-unlisted worker={life} runs={}", worker.flights.len());
        }
    }

    /// What clients are told of a job, as far as the log holds it.
    pub fn state(&self, id: JobId) -> Option<State> {
        self.jobs.get(&id).map(|j| j.shown)
    }

    /// How many jobs of each queue have not begun.
    pub fn pending(&self) -> BTreeMap<&str, u64> {
        let mut counts = BTreeMap::new();
        for job in self.jobs.values().filter(|j| j.shown == State::Queued) {
            *counts.entry(&*job.submission.policy.queue).or_default() += 1;
        }
        counts
    }

    /// Takes a job back; its runs are told to stop. Returns false if it is not known.
    pub fn cancel(&mut self, id: JobId, now: u64, wall: u64) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        if !job.progress.state.over() {
            info!("event=job-cancelled job={id} state={}", job.progress.state);
            self.finish(id, State::Cancelled, now, wall);
        }
        true
    }

    /// Ends a job, for good; what still runs is told to stop.
    pub(crate) fn finish(&mut self, id: JobId, state: State, now: u64, wall: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.progress.state = state;
        job.progress.ended = wall.max(1);
        self.open.remove(&id);
        self.timed.remove(&id);
        self.dirty.insert(id);
        let live: Vec<_> = job
            .progress
            .tasks()
            .flat_map(|(round, step, index, t)| {
                let task = TaskId { job: id, round, step, index };
                t.live.iter().map(move |r| (task, r.clone()))
            })
            .collect();
        for (task, run) in live {
            self.halt(&run.worker, task, run.number, now);
        }
    }

    /// Tells a run to stop; one that was only written is taken back.
    pub(crate) fn halt(&mut self, life: &Arc<str>, task: TaskId, run: u32, now: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let Some(flight) = worker.flights.get_mut(&task).filter(|f| f.run == run) else {
            return;
        };
        match flight.stage {
            Stage::Stopping | Stage::Stopped => {}
            Stage::Written => {
                worker.flights.remove(&task);
                self.forget_run(task, run);
            }
            _ => {
                flight.enter(Stage::Stopping, now);
                self.orders.push(Order::Stop { worker: life.clone(), task, run });
            }
        }
    }

    /// Takes a run out of its task's record, so that the task can be started again.
    pub(crate) fn forget_run(&mut self, task: TaskId, run: u32) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.progress.task_mut(task).is_some_and(|t| t.drop_run(run)) {
            self.dirty.insert(task.job);
            if !job.progress.state.over() {
                self.open.insert(task.job);
            }
        }
    }

    /// Another life answers where a life of a worker did: it is over for good.
    pub(crate) fn succeeded(&mut self, life: &Arc<str>, now: u64) {
        self.lose(life, "another life is at its address", now);
        if let Some(worker) = self.workers.get_mut(life) {
            worker.listed = false;
        }
    }

    /// A life of a worker is surely over, or all its leases are: its runs are taken off.
    pub(crate) fn lose(&mut self, life: &Arc<str>, why: &str, now: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        worker.life = Life::Gone;
        let flights = std::mem::take(&mut worker.flights);
        if !flights.is_empty() || worker.listed {
            warn!(
                "event=worker-gone worker={life} reason=\"{why}\" runs={} silent_ms={}",
                flights.len(),
                now.saturating_sub(worker.heard)
            );
        }
        self.counts.lost += flights.len() as u64;
        for (task, flight) in flights {
            self.forget_run(task, flight.run);
        }
    }

    /// Whether nothing waits to be written.
    pub fn idle(&self) -> bool {
        self.dirty.is_empty() && self.workers.values().all(|w| w.taken <= w.noted)
    }

    /// Whether something waits to be placed, written or sent.
    pub fn restless(&self) -> bool {
        !self.open.is_empty() || !self.orders.is_empty() || !self.idle()
    }

    /// What is known of a job, in lines for operators.
    pub fn explain(&self, id: JobId, now: u64) -> Vec<String> {
        let Some(job) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let age = now.saturating_sub(job.came);
        let policy = &job.submission.policy;
        let mut lines = vec![format!(
            "job {id}: {} (in the log: {}), queue {}, priority {}, {age} ms old, objective {} ms",
            job.progress.state,
            job.shown,
            policy.queue,
            policy.priority,
            job.objective()
        )];
        for (round, step, index, task) in job.progress.tasks().filter(|(.., t)| !t.done) {
            let runs: Vec<_> =
                task.live.iter().map(|r| format!("run {} on {}", r.number, r.worker)).collect();
            let what = if runs.is_empty() { "waits".to_string() } else { runs.join(", ") };
            lines
                .push(format!("{id}.{round}.{step}.{index}: {what}, {} failed", task.failed.len()));
        }
        lines
    }
}
