//! Tells operators what was placed and why tasks wait.

use log::info;

use myrtle_job::{JobId, TaskId};

use crate::{Cell, Job};

impl Cell {
    /// Notes that a task has found no worker; the first time with the reason.
    pub(crate) fn stuck(&mut self, task: TaskId, now: u64) {
        let Some(job) = self.jobs.get(&task.job).filter(|j| j.stuck.is_none()) else {
            return;
        };
        let why = self.why_not(job, task, now);
        info!("event=waits task={task} reason=\"{why}\" age_ms={}", now.saturating_sub(job.came));
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.stuck = Some(now);
        }
    }

    /// Notes that nothing of a job waits; else tasks that wait later would count as having waited since
    /// then, go to another cell at once and take of room that is kept.
    pub(crate) fn unstick(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.stuck = None;
        }
    }

    /// Why no worker takes a task now.
    fn why_not(&self, job: &Job, task: TaskId, now: u64) -> &'static str {
        let spec = job.step(task.step);
        let open = || self.workers.values().filter(|w| w.open(now));
        let able = || {
            let open = self.workers.iter().filter(|(_, w)| w.open(now));
            open.filter(|(_, w)| self.allowed(w, job, spec, task))
        };
        if self.all_emptied() {
            return "every data centre of the cell is being emptied";
        }
        if open().next().is_none() {
            return "no worker is open to new work";
        }
        if able().next().is_none() {
            return "no worker with its labels has room";
        }
        if able().all(|(life, w)| !self.pass.bookings.leaves(life, w, spec)) {
            return "room is kept for tasks that ran before";
        }
        if able().all(|(_, w)| self.on_trial(w, task, false, 0, now)) {
            return "a task that may have crashed a worker has just begun wherever there is room";
        }
        if job.submission.policy.advice.is_some() {
            return "no worker with room has a ticket";
        }
        if spec.filler {
            "it would disturb serving tasks wherever there is room"
        } else {
            "room is kept"
        }
    }

    /// Tells how many tasks of a step were placed in a pass.
    pub(crate) fn tell_placed(&self, task: TaskId, placed: usize, wanted: usize, now: u64) {
        if placed == 0 {
            return;
        }
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        info!(
            "event=placed step={}.{}.{} tasks={placed} of={wanted} fence={} waited_ms={} age_ms={}",
            task.job,
            task.round,
            task.step,
            self.fence,
            job.waited(now),
            now.saturating_sub(job.came)
        );
    }
}
