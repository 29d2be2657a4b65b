//! How jobs come into a cell, from the log or from an earlier owner, and leave its memory.

use log::{Level, info, log, warn};

use myrtle_job::{JobId, Key, Progress, Round, State, Submission};

use crate::jobs::offer::Offer;
use crate::{Cell, Flight, Job, Stage, Worker};

/// The longest age that a job's own stamp may give it; clocks of hosts may jump.
const OLDEST: u64 = 60_000;

impl Cell {
    /// Takes a job from the log; a repeat of one that is known changes nothing.
    pub fn admit(&mut self, id: JobId, submission: Submission, now: u64, wall: u64) {
        if self.jobs.contains_key(&id) {
            return;
        }
        if let Err(e) = submission.spec.check() {
            return warn!("event=job-unusable job={id} reason=\"{e}\"");
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
        let spec = &submission.spec;
        if self.loaded && !spec.lasts() {
            let short = spec.steps.iter().filter(|s| !s.filler);
            let work = short.map(|s| f64::from(s.count) * s.work()).sum();
            self.reserve.see(submission.policy.priority, work, now);
        }
        self.usual.see(&submission.policy.queue, submission.spec.work());
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

    /// Forgets jobs that have been over for as long as their state has to be told.
    pub fn forget(&mut self, now: u64, wall: u64) {
        let keep = self.bounds.status + self.bounds.status / 2;
        self.expire_bars(keep, now);
        let old = |j: &Job| {
            let ended = j.progress.ended;
            let told = j.progress.handed.iter().all(|h| h.recalled);
            j.progress.state.over() && wall > ended + keep && !j.progress.live() && told
        };
        let gone: Vec<_> = self.jobs.iter().filter(|(_, j)| old(j)).map(|(&id, _)| id).collect();
        gone.into_iter().for_each(|id| self.discard(id));
    }

    /// Forgets a job, and drops all that the log holds of it.
    pub(crate) fn discard(&mut self, id: JobId) {
        let Some(Job { progress, .. }) = self.jobs.remove(&id) else {
            return;
        };
        let taken = progress.taken.iter().flat_map(|t| [Key::Part(t.part), Key::Recall(t.part)]);
        let own = (!progress.guest).then_some(Key::Job(id));
        self.drops.extend(taken.chain(own));
        self.dirty.insert(id);
    }

    /// Leaves a job alone of which nobody knows how far it has come: started anew, tasks of it could run
    /// twice.
    pub fn withhold(&mut self, id: JobId, why: &str) {
        warn!("event=job-withheld job={id} reason=\"{why}\"");
        self.open.remove(&id);
        self.timed.remove(&id);
    }

    /// Takes what an earlier owner wrote of a job.
    pub fn inherit(&mut self, id: JobId, progress: Progress, now: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            if progress.state == State::Cancelled {
                return self.recall_bar(id, &progress, now);
            }
            warn!("event=orphan job={id} reason=\"the log holds its progress but not the job\"");
            return;
        };
        if !progress.fits(&job.submission.spec) {
            return self.withhold(id, "its progress names tasks that it has not");
        }
        // A cancellation came before this was read.
        let ended = job.progress.ended;
        let taken_back = job.progress.state == State::Cancelled;
        job.shown = progress.state;
        job.progress = progress;
        let over = job.progress.state.over();
        if over || job.progress.next >= job.submission.spec.rounds() {
            self.timed.remove(&id);
        }
        if over || job.progress.elsewhere() {
            self.open.remove(&id);
        }
        if !job.progress.handed.is_empty() {
            // The log doesn't say which offer they went by.
            job.under_way = now + Offer::Soon.takes();
        }
        let job = &self.jobs[&id];
        self.due.extend(self.undelivered(id, job));
        let given_up = job.progress.crashes.iter().filter(|(_, c)| c.too_many());
        self.doomed.extend(given_up.map(|(&task, _)| task));
        for (task, run) in job.runs(id) {
            let spec = self.jobs[&id].step(task.step);
            let flight = Flight::new(run.number, spec, Stage::Inherited, now);
            let worker = self.workers.entry(run.worker).or_insert_with(|| Worker::new(now));
            worker.flights.insert(task, flight);
        }
        if taken_back {
            self.cancel(id, now, ended);
        }
    }
}
