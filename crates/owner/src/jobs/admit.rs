//! Admits jobs from the log or from an earlier owner.

use log::{Level, info, log, warn};

use myrtle_job::{JobId, Progress, Round, State, Submission};

use crate::account::job::JobAccount;
use crate::account::phase::Phase;
use crate::jobs::offer::Offer;
use crate::jobs::removal::is_of_job;
use crate::{ActiveRun, Cell, Job, Stage, Worker};

/// The longest age of a job by the stamp in its record, in milliseconds; clocks of hosts may jump.
const MAX_AGE: u64 = 60_000;

impl Cell {
    /// Admits a job from the log; a repeat of a known job changes nothing.
    pub fn admit(&mut self, id: JobId, submission: Submission, now: u64, wall: u64) {
        let again = self.supersede(id);
        if self.jobs.contains_key(&id) || self.removing(id) {
            return;
        }
        if again {
            info!("event=job-again job={id} reason=\"the one before is forgotten\"");
        }
        if let Err(e) = submission.spec.check() {
            return warn!("event=job-unusable job={id} reason=\"{e}\"");
        }
        let age = wall.saturating_sub(submission.accepted_at).min(MAX_AGE);
        let arrived_at = now.saturating_sub(age);
        let level = if self.loaded { Level::Info } else { Level::Debug };
        log!(
            level,
            "event=job-known job={id} queue={} steps={} age_ms={age}",
            submission.policy.queue,
            submission.spec.steps.len()
        );
        let spec = &submission.spec;
        if self.loaded && !spec.has_long_running() {
            let short = spec.steps.iter().filter(|s| !s.filler);
            let work = short.map(|s| f64::from(s.count) * s.work()).sum();
            self.short_share.record(submission.policy.priority, work, now);
        }
        self.mean_work.record(&submission.policy.queue, submission.spec.work());
        let mut progress = Progress::default();
        if submission.spec.repeat.is_none() {
            progress.rounds.insert(0, Round::fresh(&submission.spec));
            progress.next_round = 1;
        } else {
            self.repeating.insert(id);
        }
        let before = if self.loaded { Phase::Accept } else { Phase::Earlier };
        let account = JobAccount::new(arrived_at, before, now);
        self.jobs.insert(id, Job { account, ..Job::new(submission, progress, arrived_at) });
        self.open.insert(id);
        if self.early_cancels.remove(&id).is_some() {
            info!(
                "event=job-barred job={id} reason=\"it was cancelled before its record arrived\""
            );
            self.finish(id, State::Cancelled, now, wall);
        }
    }

    /// Stops placing a job of which the progress is not known: started again, its tasks could run
    /// twice.
    pub fn withhold(&mut self, id: JobId, why: &str) {
        warn!("event=job-withheld job={id} reason=\"{why}\"");
        self.open.remove(&id);
        self.repeating.remove(&id);
    }

    /// Restores the progress that an earlier owner wrote for a job; one that is not known has no records in the log.
    pub fn restore_progress(&mut self, id: JobId, progress: Progress, now: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            if is_of_job(&progress) {
                return self.continue_removal(id, &progress);
            }
            return self.restore_cancel(id, &progress, now);
        };
        if !progress.fits(&job.submission.spec) {
            return self.withhold(id, "its progress names tasks that the job doesn't have");
        }
        // The job may have been cancelled before its progress was read.
        let ended = job.progress.ended_at;
        let cancelled = job.progress.state == State::Cancelled;
        job.logged_state = progress.state;
        job.progress = progress;
        let over = job.progress.state.over();
        if over || job.progress.next_round >= job.submission.spec.rounds() {
            self.repeating.remove(&id);
        }
        if over || job.progress.all_transferred() {
            self.open.remove(&id);
        }
        if !job.progress.outgoing.is_empty() {
            // The log doesn't hold which offer they were transferred by.
            job.transfer_until = now + Offer::Soon.delay();
        }
        let job = &self.jobs[&id];
        self.to_deliver.extend(self.undelivered(id, job));
        let tasks = job.progress.crashes.keys().copied();
        self.given_up_tasks.extend(tasks.filter(|&task| job.progress.given_up(task)));
        for (task, run) in job.runs(id) {
            let spec = self.jobs[&id].step(task.step);
            let mut active = ActiveRun::new(run.number, spec, Stage::Inherited, now);
            let settled = self.jobs[&id].progress.settled_runs.get(&task);
            active.settled = settled == Some(&run.number);
            let worker = self.workers.entry(run.worker).or_insert_with(|| Worker::new(now));
            worker.active_runs.insert(task, active);
        }
        if cancelled {
            self.cancel(id, now, ended);
        }
    }
}
