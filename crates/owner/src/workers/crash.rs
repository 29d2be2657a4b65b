//! Tasks that crash the workers that start them: which are doubted, and when a job is given up.
//!
//! A worker takes all that ran on it along, and none of it says which task was the cause. A task that
//! crashes workers does so soon after its start, so those that had just begun are doubted, and those
//! that had been there for as long when an earlier worker was lost. What is doubted is tried by itself:
//! for a while nothing else begins where it has begun, so the next crash tells it from those that merely
//! began beside it.

use derive_more::Display;
use log::{info, warn};

use myrtle_job::{Crashes, Incarnation, Loss, State, TaskId};

use crate::placing::step::step_of;
use crate::{Cell, Flight, Life, Stage, Worker};

/// How long after its start a task is the first to be doubted, in milliseconds: longer than a busy
/// worker goes without a word.
const FRESH: u64 = 300;

/// How long a run has to be at work for its task to be trusted again, in milliseconds.
const TRUSTED: u64 = 10_000;

/// For how long nothing else begins where a doubted task has begun, in milliseconds.
const TRIAL: u64 = 1_500;

/// How long a job waits before its tasks may begin on such workers all the same, in milliseconds.
const PATIENCE: u64 = 1_000;

/// The same for a task that is doubted itself: beside another one a crash would tell nothing.
const LONG_PATIENCE: u64 = 2_500;

/// How far apart, in milliseconds, workers go silent that are lost to one cause, as power: a hold that
/// gets no answer takes as long to fail.
const TOGETHER: u64 = 1_200;

/// How many workers on which nothing had just begun are too many to go silent together by chance.
const MANY: usize = 3;

/// How long a silence is remembered, in milliseconds: longer than any lease.
const REMEMBERED: u64 = 20_000;

/// How long after the list could not be read an entry may be out of date, in milliseconds.
const BLIND: u64 = 3_000;

/// Why a incarnation of a worker is taken to be over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Cause {
    /// Another incarnation answers where it was, or its machine is going down.
    #[display("another incarnation answers at its address")]
    Succeeded,
    /// The worker has started anew under its id.
    #[display("it has started anew")]
    Restarted,
    /// Every lease that it had is over.
    #[display("its lease is over")]
    Lapsed,
}

/// A worker that went silent.
#[derive(Debug, Clone)]
pub(crate) struct Silence {
    /// The worker.
    incarnation: Incarnation,
    /// When it did.
    at: u64,
    /// Whether nothing had just begun there.
    plain: bool,
}

impl Cell {
    /// Notes that a worker does not answer any more, or never has.
    pub(crate) fn note_silence(&mut self, incarnation: &Incarnation, now: u64) {
        self.silences.retain(|s| now < s.at + REMEMBERED);
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        if self.silent(incarnation) {
            return;
        }
        // Those that were not met may have been lost together before this owner began.
        let met = worker.life != Life::Unmet;
        let plain = !met || !worker.flights.values().any(|f| fresh(f, worker.heard));
        let at = if met { now } else { self.began };
        self.silences.push(Silence { incarnation: incarnation.clone(), at, plain });
    }

    /// Whether a worker is known not to answer.
    pub(crate) fn silent(&self, incarnation: &Incarnation) -> bool {
        self.silences.iter().any(|s| s.incarnation == *incarnation)
    }

    /// Notes that a worker which was silent answers again.
    pub(crate) fn clear_silence(&mut self, incarnation: &Incarnation) {
        self.silences.retain(|s| s.incarnation != *incarnation);
    }

    /// Counts the loss of a worker against the tasks that ran there, before any of them is started
    /// again.
    ///
    /// Uncounted, a task that crashes its workers was started for as long as its job was known: 34
    /// times in two minutes, with 6 to 18 runs of others lost each time.
    pub(crate) fn count_crash(
        &mut self,
        incarnation: &Incarnation,
        flights: &[(TaskId, Flight)],
        heard: u64,
    ) {
        let silent = self.lost_alone(incarnation);
        let alone = silent.is_some();
        // Tried by itself, and the worker is gone again: that is the one, and the others are cleared.
        let tried = |f: &Flight| f.suspect && f.begun.is_some() && fresh(f, heard);
        let again = alone && flights.iter().any(|(_, f)| tried(f));
        for (task, active) in flights.iter().filter(|(_, f)| told(f)) {
            let fresh = fresh(active, heard);
            let age = active.begun.map_or(0, |begun| silent.unwrap_or(heard).saturating_sub(begun));
            if age >= TRUSTED {
                self.clear(*task);
            } else if fresh || !again {
                self.count_loss(incarnation, *task, Loss { age: age as u32, fresh, alone });
            }
        }
    }

    /// Counts one loss against a task.
    fn count_loss(&mut self, incarnation: &Incarnation, task: TaskId, loss: Loss) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.progress.state.over() || job.progress.task(task).is_none_or(|t| t.done) {
            return;
        }
        let crashes = job.progress.crashes.entry(task).or_default();
        let before = crashes.doubts;
        crashes.count(loss);
        let Crashes { seen, doubts, .. } = *crashes;
        if doubts > before {
            info!(
                "event=task-doubted task={task} worker={incarnation} doubts={doubts} seen={seen}"
            );
        }
        if crashes.too_many() {
            self.doomed.insert(task);
        }
        self.dirty.insert(task.job);
    }

    /// Forgets what is counted against a task.
    fn clear(&mut self, task: TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job)
            && job.progress.crashes.remove(&task).is_some()
        {
            self.dirty.insert(task.job);
        }
    }

    /// When a worker that is lost went silent; nothing if it was one of many that did.
    fn lost_alone(&self, incarnation: &Incarnation) -> Option<u64> {
        let own = self.silences.iter().find(|s| s.incarnation == *incarnation)?;
        let near = self.silences.iter().filter(|s| s.at.abs_diff(own.at) <= TOGETHER);
        let (all, plain) =
            near.fold((0, 0), |(all, plain), s| (all + 1, plain + usize::from(s.plain)));
        let listed = self.workers.values().filter(|w| w.listed).count();
        (plain < MANY && (all < 2 || 2 * all < listed)).then_some(own.at)
    }

    /// Ends jobs with tasks that have crashed too many workers.
    pub fn give_up(&mut self, now: u64, wall: u64) {
        for task in std::mem::take(&mut self.doomed) {
            let Some(job) = self.jobs.get(&task.job).filter(|j| !j.progress.state.over()) else {
                continue;
            };
            if job.progress.away(task) {
                continue;
            }
            let Crashes { seen, doubts, .. } =
                job.progress.crashes.get(&task).copied().unwrap_or_default();
            if job.progress.guest || job.progress.moved.is_some() {
                warn!("event=task-given-back task={task} crashes={seen} doubts={doubts}");
                self.give_back(task);
                continue;
            }
            warn!("event=job-failed job={} task={task} crashes={seen} doubts={doubts}", task.job);
            self.counts.crashers += 1;
            self.finish(task.job, State::Failed, now, wall);
        }
    }

    /// A run is at work: after long enough its task is trusted again.
    pub(crate) fn trust(&mut self, incarnation: &Incarnation, task: TaskId, now: u64) {
        let worker = self.workers.get(incarnation);
        let begun = worker.and_then(|w| w.flights.get(&task)).and_then(|f| f.begun);
        if begun.is_some_and(|at| now >= at + TRUSTED) {
            self.clear(task);
        }
    }

    /// Whether a task may have crashed a worker.
    pub(crate) fn doubts(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.and_then(|j| j.progress.crashes.get(&task)).is_some_and(|c| c.doubts > 0)
    }

    /// Whether a task may have a copy beside its only run: both may crash their workers before either loss is
    /// known.
    pub(crate) fn bears_copy(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.and_then(|j| j.progress.crashes.get(&task)).is_none_or(Crashes::bears_copy)
    }

    /// Whether a task that has waited for `waited` milliseconds may not begin on a worker, as one that is
    /// doubted has just begun there.
    ///
    /// Those of its own gang don't stand in its way: they only ever begin together, and a gang of more of them than
    /// there are workers would wait for ever.
    pub(crate) fn on_trial(
        &self,
        worker: &Worker,
        task: TaskId,
        suspect: bool,
        waited: u64,
        now: u64,
    ) -> bool {
        if !worker.flights.sums().suspect {
            return false;
        }
        let patience = if suspect { LONG_PATIENCE } else { PATIENCE };
        let trial = if waited < patience { TRIAL } else { FRESH };
        let gang = self.jobs.get(&task.job).is_some_and(|job| job.step(task.step).gang);
        let own = |other: TaskId| gang && step_of(other) == step_of(task);
        let suspects = worker.flights.iter().filter(|(other, f)| f.suspect && !own(**other));
        suspects.map(|(_, f)| f).any(|f| f.begun.is_none_or(|begun| now < begun + trial))
    }
}

impl Cell {
    /// Whether a lost worker may have crashed: it was not about to leave, and it is not one that the list
    /// still shows after its leases, which lives and is cut off from here.
    pub(crate) fn may_have_crashed(
        &self,
        incarnation: &Incarnation,
        cause: Cause,
        now: u64,
    ) -> bool {
        let Some(worker) = self.workers.get(incarnation) else {
            return false;
        };
        let cut = cause == Cause::Lapsed && worker.listed && now >= self.blind + BLIND;
        !cut && !worker.parts()
    }
}

impl Worker {
    /// Whether some run has begun here so lately that a crash would be put down to it.
    pub(crate) fn just_begun(&self, now: u64) -> bool {
        self.flights.values().any(|f| f.begun.is_none_or(|b| now < b + FRESH))
    }

    /// Whether its loss is no crash: it was about to leave, or is being emptied for its upkeep.
    pub(crate) fn parts(&self) -> bool {
        let left = !self.listed && self.unlisted_at <= self.heard && self.life != Life::Unmet;
        self.draining() || self.in_maintenance || left
    }
}

/// Whether a run may ever have begun.
fn told(active: &Flight) -> bool {
    // One that is being stopped may still be there: of a gang, the others stop when one is lost.
    let sent = !matches!(active.stage, Stage::Written | Stage::Unsure);
    sent || active.begun.is_some() || active.unanswered
}

/// Whether a run may have begun just before its worker's last word, or after it.
fn fresh(active: &Flight, heard: u64) -> bool {
    told(active) && active.begun.is_none_or(|begun| heard <= begun + FRESH)
}
