//! Kinds of tasks that found no worker in a pass, so that the search isn't repeated for similar
//! tasks.

use std::sync::Arc;

use myrtle_base::Room;
use myrtle_job::{Incarnation, StepSpec, TaskId};

use crate::health::refresh::LastAttempt;
use crate::placing::tolerance::Tolerance;
use crate::{Cell, Job};

/// A kind of task for which a pass found no worker.
#[derive(Debug, Clone)]
pub(crate) struct Unplaceable {
    service: String,
    image: Option<Arc<str>>,
    filler: bool,
    long_running: bool,
    room: Room,
    /// The estimated time of its tasks; a filler is placed by its expected speed over that time.
    estimate: u64,
    /// How strictly room was chosen.
    tolerance: Tolerance,
    /// Whether only workers that are proven sound were considered.
    proven_only: bool,
}

impl Cell {
    /// The best worker for a task now, if there is any; skipped if a task with no greater demands
    /// found none in this pass.
    pub(crate) fn find_worker(
        &mut self,
        task: TaskId,
        copy: bool,
        now: u64,
    ) -> Option<Incarnation> {
        let job = &self.jobs[&task.job];
        let spec = job.step(task.step);
        let tolerance = job.tolerance(task, now);
        let proven_only = job.last_attempt(spec, task, now) == LastAttempt::Strict;
        let covers = |r: &Unplaceable| r.covers(job, spec, tolerance, proven_only);
        if self.unplaceable.iter().any(covers) {
            return None;
        }
        let best = self.best_worker(job, spec, task, now);
        // A copy may not run beside its task, so a failed search for it says nothing about other
        // tasks.
        if best.is_none() && !copy {
            self.unplaceable.extend(Unplaceable::from_step(job, spec, tolerance, proven_only));
        }
        best
    }
}

impl Unplaceable {
    /// The record of a step that found no worker; nothing if the step has further constraints.
    fn from_step(
        job: &Job,
        spec: &StepSpec,
        tolerance: Tolerance,
        proven_only: bool,
    ) -> Option<Self> {
        let policy = &job.submission.policy;
        if spec.requires.is_some() || spec.worker_limit > 0 || policy.ticket_times.is_some() {
            return None;
        }
        Some(Self {
            service: policy.service.clone(),
            image: spec.image.clone(),
            filler: spec.filler,
            long_running: spec.long_running,
            room: spec.room,
            estimate: spec.estimate_ms,
            tolerance,
            proven_only,
        })
    }

    /// Whether a step demands at least as much, so that it finds no worker either.
    fn covers(&self, job: &Job, spec: &StepSpec, tolerance: Tolerance, proven_only: bool) -> bool {
        self.service == job.submission.policy.service
            && self.image == spec.image
            && (self.filler, self.long_running) == (spec.filler, spec.long_running)
            && self.room.fits(&spec.room)
            && (!spec.filler || self.estimate <= spec.estimate_ms)
            && self.tolerance >= tolerance
            && self.proven_only <= proven_only
    }
}
