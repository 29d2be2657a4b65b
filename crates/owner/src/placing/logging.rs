//! Logs which tasks were placed and why tasks wait.

use log::info;

use myrtle_job::{JobId, TaskId};

use crate::account::phase::Phase;
use crate::{Cell, Job};

impl Cell {
    /// Records that a task has found no worker, and why; logs it if nothing of the job waited.
    pub(crate) fn note_waiting(&mut self, task: TaskId, now: u64) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let first = job.waiting_since.is_none();
        if !first && job.account.is_blocked(task) {
            return;
        }
        let (phase, reason) = self.wait_reason(job, task, now);
        self.health.short_of_room |= phase == Phase::NoRoom;
        if first {
            info!(
                "event=waits task={task} reason=\"{reason}\" age_ms={}",
                now.saturating_sub(job.arrived_at)
            );
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.waiting_since.get_or_insert(now);
            job.account.block(task, phase, now);
        }
    }

    /// Records that nothing of a job waits; otherwise tasks that wait later would count as having
    /// waited since then, would be transferred at once and would use room that is set aside.
    pub(crate) fn clear_waiting(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.waiting_since = None;
        }
    }

    /// The reason why no worker takes a task now.
    fn wait_reason(&self, job: &Job, task: TaskId, now: u64) -> (Phase, &'static str) {
        let spec = job.step(task.step);
        let open = || self.workers.values().filter(|w| w.accepts_work(now));
        let able = || {
            let open = self.workers.iter().filter(|(_, w)| w.accepts_work(now));
            open.filter(|(_, w)| self.has_room(w, job, spec, task))
        };
        if self.all_evacuated() {
            return (Phase::NoWorker, "every data centre of the cell is being evacuated");
        }
        if open().next().is_none() {
            return (Phase::NoWorker, "no worker accepts new work");
        }
        if able().next().is_none() {
            return (Phase::NoRoom, "no worker with its labels has room");
        }
        if able().all(|(incarnation, w)| !self.pass.reservations.fits_beside(incarnation, w, spec))
        {
            return (Phase::SetAside, "free room is reserved for tasks that ran before");
        }
        if able().all(|(_, w)| self.quarantined(w, task, false, 0, now)) {
            return (
                Phase::Isolation,
                "a task that may have crashed a worker has just begun wherever there is room",
            );
        }
        let last = job.last_attempt(spec, task, now);
        if able().all(|(_, w)| !w.trusted_with(last)) {
            return (Phase::Unsound, "no worker that is known to be sound has room");
        }
        if job.submission.policy.ticket_times.is_some() {
            return (Phase::Ticket, self.ticket_reason(job, task, now));
        }
        if spec.filler {
            (Phase::Interference, "it would slow serving tasks wherever there is room")
        } else {
            (Phase::SetAside, "free room is left to short tasks")
        }
    }

    /// Logs how many tasks of a step were placed in a pass.
    pub(crate) fn log_placed(&self, task: TaskId, placed: usize, wanted: usize, now: u64) {
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
            now.saturating_sub(job.arrived_at)
        );
    }
}
