//! Reviews the standings of all workers from time to time, since evidence fades.

use log::{info, warn};

use myrtle_job::{Incarnation, StepSpec, TaskId};

use crate::health::book::WORKER_HALF_LIFE;
use crate::health::groups::Groups;
use crate::health::standing::{MAX_EXCLUDED, Standing, USELESS};
use crate::{Cell, Job, Worker};

/// The time between two reviews, in milliseconds: shorter than the shortest tasks.
const REVIEW_EVERY: u64 = 100;

/// The share of slow workers where nothing speaks for more.
const USUAL_SLOW: f64 = 0.02;

/// The part of a job's objective for which a last attempt waits for a worker that is proven sound;
/// after that the least risk is taken, since a job that waits too long is of no use either.
const LAST_WAIT_DIVISOR: u64 = 4;

impl Cell {
    /// Reviews the standings of all workers if that is due.
    pub(crate) fn review_health(&mut self, now: u64) {
        if now < self.health.reviewed_at + REVIEW_EVERY {
            return;
        }
        self.health.reviewed_at = now;
        self.health.groups.review(now);
        let mut total = 0.0;
        let mut worst: Vec<(f64, Incarnation)> = Vec::new();
        for (incarnation, worker) in &mut self.workers {
            total += worker.size();
            let standing = worker.review(incarnation, &self.health.groups, now);
            if standing.should_exclude() {
                worst.push((standing.unsound, incarnation.clone()));
            }
        }
        worst.sort_by(|a, b| b.0.total_cmp(&a.0));
        let short = std::mem::take(&mut self.health.short_of_room);
        let mut left = MAX_EXCLUDED * total;
        for (_, incarnation) in &worst {
            let Some(worker) = self.workers.get_mut(incarnation) else {
                continue;
            };
            left -= worker.size();
            // What fails less often than not still helps where tasks wait for room.
            let tally = worker.health.tally.at(WORKER_HALF_LIFE, now);
            let useless = tally.failed > USELESS * tally.runs;
            worker.exclude(incarnation, left >= 0.0 && (useless || !short));
        }
    }
}

impl Worker {
    /// Updates its standing, without the decision whether it is excluded.
    fn review(&mut self, incarnation: &Incarnation, groups: &Groups, now: u64) -> Standing {
        let Some(listing) = &self.listing else {
            return Standing::default();
        };
        let health = &mut self.health;
        let mut standing = Standing {
            unsound: health.failures.probability(groups.share(listing), now),
            slow: health.slowness.probability(USUAL_SLOW, now),
            excluded: health.standing.excluded,
        };
        if standing.excluded && !standing.should_exclude() {
            standing.excluded = false;
            info!("event=worker-trusted worker={incarnation}");
        }
        health.standing = standing;
        standing
    }

    /// Sets whether it gets nothing new.
    fn exclude(&mut self, incarnation: &Incarnation, excluded: bool) {
        let standing = &mut self.health.standing;
        if excluded && !standing.excluded {
            let Standing { unsound, slow, .. } = *standing;
            warn!("event=worker-failing worker={incarnation} unsound={unsound:.2} slow={slow:.2}");
        }
        standing.excluded = excluded;
    }

    /// Whether its health allows a task to be placed there, if it accepts work.
    pub(crate) fn trusted_with(&self, last: LastAttempt) -> bool {
        let standing = &self.health.standing;
        match last {
            LastAttempt::No => !standing.probed() || self.active_runs.sums().short == 0,
            LastAttempt::Strict => standing.proven(),
            LastAttempt::Relaxed => true,
        }
    }
}

/// Whether the job fails if the next run of a task does, and how strictly a worker is chosen then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LastAttempt {
    /// The task has further attempts.
    No,
    /// Only workers that are proven sound.
    Strict,
    /// Any worker; the soundest is preferred.
    Relaxed,
}

impl Job {
    /// Whether the next run of a task is its last attempt.
    pub(crate) fn last_attempt(&self, spec: &StepSpec, task: TaskId, now: u64) -> LastAttempt {
        let attempts = self.submission.policy.max_failures.max(1) as usize;
        let failed = match spec.gang {
            true => self.gang_failures(task),
            false => self.progress.task(task).map_or(0, |t| t.failed_runs.len()),
        };
        // A task with a single attempt is as likely to be at fault as any.
        if spec.long_running || failed == 0 || failed + 1 < attempts {
            return LastAttempt::No;
        }
        match self.waited(now) < self.objective() / LAST_WAIT_DIVISOR {
            true => LastAttempt::Strict,
            false => LastAttempt::Relaxed,
        }
    }

    fn gang_failures(&self, task: TaskId) -> usize {
        let round = self.progress.rounds.get(&task.round);
        round.map_or(0, |r| r.steps[usize::from(task.step)].failed_runs.len())
    }
}
