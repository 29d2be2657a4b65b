//! What found no worker in a pass, so that more of the same is not tried again and again.

use std::sync::Arc;

use myrtle_base::Room;
use myrtle_job::{Incarnation, StepSpec, TaskId};

use crate::placing::takes::Takes;
use crate::{Cell, Job};

/// A kind of task for which a pass found no worker.
#[derive(Debug, Clone)]
pub(crate) struct Refused {
    service: String,
    image: Option<Arc<str>>,
    filler: bool,
    lasting: bool,
    room: Room,
    /// How long its tasks take; a filler is placed by how it could work over that time.
    estimate: u64,
    /// Which room it would have taken.
    takes: Takes,
}

impl Cell {
    /// The best worker for a task now, if there is any; not looked for if one that asks for no more
    /// found none in this pass.
    pub(crate) fn seek(&mut self, task: TaskId, copy: bool, now: u64) -> Option<Incarnation> {
        let job = &self.jobs[&task.job];
        let spec = job.step(task.step);
        let takes = job.takes(task, now);
        if self.refused.iter().any(|r| r.covers(job, spec, takes)) {
            return None;
        }
        let fit = self.fit(job, spec, task, now);
        // A copy may not go where its task is, so what it finds says nothing of others.
        if fit.is_none() && !copy {
            self.refused.extend(Refused::of(job, spec, takes));
        }
        fit
    }
}

impl Refused {
    /// What follows for others from a step that found no worker; nothing if it is choosy.
    fn of(job: &Job, spec: &StepSpec, takes: Takes) -> Option<Self> {
        let policy = &job.submission.policy;
        if spec.requires.is_some() || spec.spread > 0 || policy.advice.is_some() {
            return None;
        }
        Some(Self {
            service: policy.service.clone(),
            image: spec.image.clone(),
            filler: spec.filler,
            lasting: spec.lasting,
            room: spec.room,
            estimate: spec.estimate,
            takes,
        })
    }

    /// Whether a step asks for no less, so that it finds no worker either.
    fn covers(&self, job: &Job, spec: &StepSpec, takes: Takes) -> bool {
        self.service == job.submission.policy.service
            && self.image == spec.image
            && (self.filler, self.lasting) == (spec.filler, spec.lasting)
            && self.room.fits(&spec.room)
            && (!spec.filler || self.estimate <= spec.estimate)
            && self.takes >= takes
    }
}
