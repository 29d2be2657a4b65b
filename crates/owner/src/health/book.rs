//! What an owner knows of the health of its workers.

use std::collections::BTreeMap;

use myrtle_job::{EndReason, Incarnation, Listing, TaskId};

use crate::health::evidence::{Evidence, end_ratio};
use crate::health::groups::Groups;
use crate::health::speed::Speeds;
use crate::health::standing::Standing;
use crate::health::tally::Tally;
use crate::{ActiveRun, Cell};

/// The half-life of a queue's failure rate, in milliseconds: long, so that a spell on some workers
/// hardly raises it.
const RATE_HALF_LIFE: f64 = 30_000.0;

/// The half-life of a single worker's counts, in milliseconds.
pub(crate) const WORKER_HALF_LIFE: f64 = 4_000.0;

/// The failure rate of a queue of which nothing is known.
const USUAL_RATE: f64 = 0.04;

/// The number of runs as which that rate counts.
const USUAL_RUNS: f64 = 25.0;

/// The lower bound of a queue's failure rate.
const MIN_RATE: f64 = 0.01;

/// The upper bound of a queue's failure rate.
const MAX_RATE: f64 = 0.3;

/// The weight of a failure of a task that has failed elsewhere: the task itself may be at fault.
const REPEATED_WEIGHT: f64 = 0.5;

/// The log-likelihood ratio of a start that an unhealthy worker turned away: it costs little time,
/// and health may come and go.
const TURNED_AWAY: f64 = 0.7;

/// The age from which a run's progress tells its speed, in milliseconds.
const MIN_AGE: u64 = 300;

/// The progress from which it tells its speed, in percent.
const MIN_PERCENT: f64 = 5.0;

/// What is known beyond single workers.
#[derive(Debug, Default, Clone)]
pub(crate) struct HealthBook {
    /// The ends of runs by queue.
    rates: BTreeMap<String, Tally>,
    /// The speeds of runs by queue.
    speeds: BTreeMap<String, Speeds>,
    /// The ends of runs by group of workers.
    pub(crate) groups: Groups,
    /// When the standings of workers were last reviewed.
    pub(crate) reviewed_at: u64,
    /// Whether a task found no room since then.
    pub(crate) short_of_room: bool,
}

/// What is known of one worker.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct WorkerHealth {
    /// Evidence by failed runs.
    pub(crate) failures: Evidence,
    /// Evidence by slow runs.
    pub(crate) slowness: Evidence,
    /// The ends of its runs.
    pub(crate) tally: Tally,
    /// What follows for placing.
    pub(crate) standing: Standing,
}

impl HealthBook {
    /// The share of a queue's runs that fail anywhere.
    fn rate(&self, queue: &str, now: u64) -> f64 {
        let tally = self.rates.get(queue).map(|t| t.at(RATE_HALF_LIFE, now)).unwrap_or_default();
        let failed = tally.failed + USUAL_RATE * USUAL_RUNS;
        (failed / (tally.runs + USUAL_RUNS)).clamp(MIN_RATE, MAX_RATE)
    }

    /// Counts the end of a run; `repeated` says whether its task has failed elsewhere.
    fn count(
        &mut self,
        health: &mut WorkerHealth,
        listing: &Listing,
        queue: &str,
        end: RunOutcome,
        now: u64,
    ) {
        let rate = self.rate(queue, now);
        let RunOutcome { failed, repeated } = end;
        let weight = if repeated && failed { REPEATED_WEIGHT } else { 1.0 };
        health.failures.add(weight * end_ratio(failed, rate), now);
        health.tally.count(failed, rate, WORKER_HALF_LIFE, now);
        if !repeated {
            self.groups.count(listing, failed, rate, now);
        }
        let tally = self.rates.entry(queue.into()).or_default();
        tally.count(failed, rate, RATE_HALF_LIFE, now);
    }

    /// Counts the speed of a run.
    fn count_speed(
        &mut self,
        health: &mut WorkerHealth,
        queue: &str,
        took: f64,
        estimate: u64,
        now: u64,
    ) {
        let ratio = self.speeds.entry(queue.into()).or_default().add(took, estimate as f64);
        health.slowness.add(ratio, now);
    }
}

/// How a run ended, as far as it concerns its worker.
#[derive(Debug, Clone, Copy)]
struct RunOutcome {
    failed: bool,
    /// Whether the task has failed on another worker before.
    repeated: bool,
}

impl Cell {
    /// Counts the end of a run for or against its worker.
    pub(crate) fn count_end(
        &mut self,
        incarnation: &Incarnation,
        reason: EndReason,
        task: TaskId,
        now: u64,
    ) {
        let failed = match reason {
            EndReason::Done => false,
            EndReason::Failed => true,
            _ => return,
        };
        let (Some(worker), Some(job)) =
            (self.workers.get_mut(incarnation), self.jobs.get(&task.job))
        else {
            return;
        };
        let Some(listing) = &worker.listing else {
            return;
        };
        let repeated = job.avoided.contains_key(&task);
        let queue = &job.submission.policy.queue;
        let end = RunOutcome { failed, repeated };
        self.health.count(&mut worker.health, listing, queue, end, now);
    }

    /// Counts the speed of a run that takes `took` milliseconds by its progress.
    pub(crate) fn count_speed(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        took: f64,
        now: u64,
    ) {
        let (Some(worker), Some(job)) =
            (self.workers.get_mut(incarnation), self.jobs.get(&task.job))
        else {
            return;
        };
        if job.progress.task(task).is_some_and(|t| !t.checkpoint.is_empty()) {
            // It may have resumed: then its progress began elsewhere.
            return;
        }
        let Some(active) = worker.active_runs.get_mut(&task) else {
            return;
        };
        active.speed_counted = true;
        let (queue, estimate) = (&job.submission.policy.queue, active.estimate);
        self.health.count_speed(&mut worker.health, queue, took, estimate, now);
    }

    /// Counts a start that an unhealthy worker turned away.
    pub(crate) fn count_turned_away(&mut self, incarnation: &Incarnation, now: u64) {
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.health.failures.add(TURNED_AWAY, now);
        }
    }
}

impl ActiveRun {
    /// The time that the run takes by its progress, in milliseconds; nothing if that was counted or
    /// says little about its worker, as for fillers, which run on what others leave.
    pub(crate) fn full_time(&self, now: u64) -> Option<f64> {
        let age = now.saturating_sub(self.started_at?);
        let limited = self.speed_limit < 100 || self.throttled > 0.0;
        let early = age < MIN_AGE || self.percent < MIN_PERCENT;
        if self.speed_counted || self.long_running || self.filler || limited || early {
            return None;
        }
        Some(age as f64 * 100.0 / self.percent)
    }
}
