//! Finds tasks that crash the workers that start them, and ends their jobs.
//!
//! A worker that crashes ends all its runs, and nothing shows which task was the cause. A task that
//! crashes workers does so soon after its start, so tasks that had just started are suspected, as
//! are tasks that had run for as long when an earlier worker was lost. A suspected task is
//! isolated: for a while nothing else starts on its worker, so that the next crash distinguishes it
//! from tasks that merely started at the same time.

use derive_more::Display;
use log::{info, warn};

use myrtle_job::{Crashes, Incarnation, Loss, State, TaskId, UncountedLoss};

use crate::orders::active_run::Begun;
use crate::{ActiveRun, Cell, Job, Presence, Worker};

/// How long after its start a task is suspected first, in milliseconds: longer than a busy worker
/// goes without an answer.
pub(super) const FRESH_MS: u64 = 300;

/// How long a run has to last for its task to be trusted again, in milliseconds.
const TRUSTED_AFTER: u64 = 10_000;

/// How far apart workers go silent that are lost to one cause such as a power failure, in
/// milliseconds: a lease renewal without answer takes as long to fail.
const SAME_CAUSE_WITHIN: u64 = 1_200;

/// The number of workers without recent starts that do not go silent together by chance.
const MASS_LOSS: usize = 3;

/// How long a silence is kept, in milliseconds: longer than any lease.
const SILENCE_KEPT: u64 = 20_000;

/// How long entries may be out of date after the list could not be read, in milliseconds.
const STALE_LIST: u64 = 3_000;

/// Why an incarnation of a worker is considered ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Cause {
    /// Another worker or incarnation answers at its address, or its machine is going down.
    #[display("another incarnation answers at its address")]
    Replaced,
    /// The worker has restarted under its id.
    #[display("it has restarted")]
    Restarted,
    /// All its leases have expired.
    #[display("its lease is over")]
    Lapsed,
}

/// A worker that does not answer.
#[derive(Debug, Clone)]
pub(crate) struct Silence {
    /// The worker.
    incarnation: Incarnation,
    /// When it stopped answering.
    since: u64,
    /// Whether nothing had just started there.
    no_starts: bool,
}

impl Cell {
    /// Records that a worker has stopped answering, or has never answered.
    pub(crate) fn record_silence(&mut self, incarnation: &Incarnation, now: u64) {
        self.silences.retain(|s| now < s.since + SILENCE_KEPT);
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        if self.silent(incarnation) {
            return;
        }
        // Workers that have not answered this owner may have been lost together before it began.
        let answered = worker.presence != Presence::Unreached;
        let no_starts =
            !answered || !worker.active_runs.values().any(|f| recent(f, worker.answered_at));
        let since = if answered { now } else { self.began_at };
        self.silences.push(Silence { incarnation: incarnation.clone(), since, no_starts });
    }

    /// Whether a worker is recorded as not answering.
    pub(crate) fn silent(&self, incarnation: &Incarnation) -> bool {
        self.silences.iter().any(|s| s.incarnation == *incarnation)
    }

    /// Records that a worker answers again.
    pub(crate) fn clear_silence(&mut self, incarnation: &Incarnation) {
        self.silences.retain(|s| s.incarnation != *incarnation);
    }

    /// Counts the loss of a worker against the tasks that ran there, before any of them is started
    /// again; `unproven_at` is the time of a loss that is taken back if the worker answers again.
    ///
    /// Otherwise a task that crashes its workers would be started again for as long as its job is
    /// known, each time with the loss of the other runs on the worker: 34 times in two minutes,
    /// with 6 to 18 runs of others lost each time.
    pub(crate) fn count_loss_of(
        &mut self,
        incarnation: &Incarnation,
        runs: &[(TaskId, ActiveRun)],
        answered_at: u64,
        unproven_at: Option<u64>,
    ) {
        let silent_since = self.lost_alone(incarnation);
        let alone = silent_since.is_some();
        // An isolated task whose worker is lost again is the cause, and the others are not.
        let isolated =
            |f: &ActiveRun| f.suspect && f.started_at.is_some() && recent(f, answered_at);
        let repeated = alone && runs.iter().any(|(_, f)| isolated(f));
        for (task, active) in runs.iter().filter(|(_, f)| f.begun() != Begun::No) {
            let recent = recent(active, answered_at);
            let age = active.started_at.map_or(0, |started_at| {
                silent_since.unwrap_or(answered_at).saturating_sub(started_at)
            });
            if age >= TRUSTED_AFTER {
                self.clear(*task);
            } else if recent || !repeated {
                let loss = Loss { age_ms: age as u32, early: recent, isolated: alone };
                // An earlier owner saw it run for long; for how long is not known here.
                let loss = (!active.inherited || !active.settled).then_some(loss);
                // A start of an earlier owner counts as carried out: its reply went to that owner, and a
                // task that crashes workers could outlast any number of owners otherwise.
                let begun = active.begun() == Begun::Yes || active.inherited;
                let counted = self.count_loss(incarnation, *task, loss, begun);
                if let Some((counted, at)) = counted.zip(unproven_at) {
                    self.unproven_losses.add(incarnation, *task, counted, at);
                }
            }
        }
    }

    /// Counts one loss against a task; returns what takes it back, if it counts.
    fn count_loss(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        loss: Option<Loss>,
        begun: bool,
    ) -> Option<UncountedLoss> {
        let job = self.jobs.get_mut(&task.job)?;
        if job.progress.state.over() || job.progress.task(task).is_none_or(|t| t.done) {
            return None;
        }
        let known = |job: &Job| job.progress.crashes.get(&task).copied().unwrap_or_default();
        let before = known(job).suspect_losses;
        let counted = job.progress.count_loss(task, loss, begun);
        let Crashes { losses, suspect_losses, .. } = known(job);
        if suspect_losses > before {
            info!(
                "event=task-doubted task={task} worker={incarnation} doubts={suspect_losses} seen={losses}"
            );
        }
        if job.progress.given_up(task) {
            self.given_up_tasks.insert(task);
        }
        self.dirty.insert(task.job);
        Some(counted)
    }

    /// Clears the losses counted against a task.
    fn clear(&mut self, task: TaskId) {
        self.unproven_losses.forget(task);
        if let Some(job) = self.jobs.get_mut(&task.job)
            && job.progress.clear_losses(task)
        {
            self.dirty.insert(task.job);
        }
    }

    /// When a lost worker stopped answering; none if it was one of many that did so together.
    fn lost_alone(&self, incarnation: &Incarnation) -> Option<u64> {
        let own = self.silences.iter().find(|s| s.incarnation == *incarnation)?;
        let near =
            self.silences.iter().filter(|s| s.since.abs_diff(own.since) <= SAME_CAUSE_WITHIN);
        let (all, no_starts) = near
            .fold((0, 0), |(all, no_starts), s| (all + 1, no_starts + usize::from(s.no_starts)));
        let listed = self.workers.values().filter(|w| w.listed).count();
        (no_starts < MASS_LOSS && (all < 2 || 2 * all < listed)).then_some(own.since)
    }

    /// Ends jobs with tasks that have crashed too many workers.
    pub fn give_up(&mut self, now: u64, wall: u64) {
        for task in std::mem::take(&mut self.given_up_tasks) {
            let Some(job) = self.jobs.get(&task.job).filter(|j| !j.progress.state.over()) else {
                continue;
            };
            if !job.submission.spec.has_task(task) {
                warn!(
                    "event=task-unknown task={task} reason=\"losses are recorded of a task that its job has not\""
                );
                continue;
            }
            // Losses may have been taken back since.
            if job.progress.is_transferred(task) || !job.progress.given_up(task) {
                continue;
            }
            if self.may_be_uncounted(task, now) {
                self.given_up_tasks.insert(task);
                continue;
            }
            let Crashes { losses, suspect_losses, .. } =
                job.progress.crashes.get(&task).copied().unwrap_or_default();
            let begun = job.progress.begun_losses(task);
            let reason = format!("crashes={losses} doubts={suspect_losses} begun={begun}");
            if job.progress.incoming_only || job.progress.job_transfer.is_some() {
                warn!("event=task-given-back task={task} {reason}");
                self.return_task(task);
                continue;
            }
            self.log_failure(task, &reason, now);
            self.counts.given_up += 1;
            self.finish(task.job, State::Failed, now, wall);
        }
    }

    /// Clears the losses of a task whose run has lasted long enough.
    pub(crate) fn trust(&mut self, incarnation: &Incarnation, task: TaskId, now: u64) {
        let worker = self.workers.get(incarnation);
        let started_at = worker.and_then(|w| w.active_runs.get(&task)).and_then(|f| f.started_at);
        if started_at.is_some_and(|at| now >= at + TRUSTED_AFTER) {
            self.clear(task);
        }
    }

    /// Whether a lost worker may have crashed: it was not about to leave, and it is not one that is
    /// listed after its leases expired, which is alive but unreachable from here.
    pub(crate) fn may_have_crashed(
        &self,
        incarnation: &Incarnation,
        cause: Cause,
        now: u64,
    ) -> bool {
        let Some(worker) = self.workers.get(incarnation) else {
            return false;
        };
        let unreachable =
            cause == Cause::Lapsed && worker.listed && now >= self.unreadable_at + STALE_LIST;
        !unreachable && !worker.loss_expected()
    }
}

impl Worker {
    /// Whether some run has started here so recently that it would be suspected of a crash.
    pub(crate) fn just_started(&self, now: u64) -> bool {
        self.active_runs.values().any(|f| f.started_at.is_none_or(|b| now < b + FRESH_MS))
    }

    /// Whether its loss is no crash: it was about to leave, or is being drained for maintenance.
    pub(crate) fn loss_expected(&self) -> bool {
        let left = !self.listed
            && self.unlisted_at <= self.answered_at
            && self.presence != Presence::Unreached;
        self.draining() || self.in_maintenance || left
    }
}

/// Whether a run may have started shortly before its worker's last answer, or after it.
fn recent(active: &ActiveRun, answered_at: u64) -> bool {
    active.begun() != Begun::No
        && !active.settled
        && active.started_at.is_none_or(|started_at| answered_at <= started_at + FRESH_MS)
}
