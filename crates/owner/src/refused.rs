//! What found no worker in a pass, so that more of the same is not tried again and again.

use std::sync::Arc;

use myrtle_base::Room;
use myrtle_job::StepSpec;

use crate::Job;
use crate::fit::patient;

/// A kind of task for which a pass found no worker.
#[derive(Debug, Clone)]
pub(crate) struct Refused {
    service: String,
    image: Option<Arc<str>>,
    filler: bool,
    lasting: bool,
    room: Room,
    /// Whether it has waited for so long that it takes what it would not take at first.
    patient: bool,
}

impl Refused {
    /// What follows for others from a step that found no worker; nothing if it is choosy.
    pub(crate) fn of(job: &Job, spec: &StepSpec, now: u64) -> Option<Self> {
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
            patient: patient(spec, job.waited(now)),
        })
    }

    /// Whether a step asks for no less, so that it finds no worker either.
    pub(crate) fn covers(&self, job: &Job, spec: &StepSpec, now: u64) -> bool {
        self.service == job.submission.policy.service
            && self.image == spec.image
            && (self.filler, self.lasting) == (spec.filler, spec.lasting)
            && self.room.fits(&spec.room)
            && (self.patient || !patient(spec, job.waited(now)))
    }
}
