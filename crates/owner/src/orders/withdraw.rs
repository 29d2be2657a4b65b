//! Withdraws starts whose worker's room has shrunk, whose data centre is being evacuated, whose
//! worker has begun to leave, or whose ticket has expired since they were placed.

use log::info;

use myrtle_job::{Incarnation, TaskId};

use crate::{Cell, Stage, Worker};

impl Cell {
    /// Withdraws a start if its worker may start nothing any more; returns whether it did.
    ///
    /// The start may have waited for seconds: for its record, on its host, or until the worker
    /// answered again.
    pub(crate) fn withdraw_if_closed(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        run: u32,
        now: u64,
    ) -> bool {
        let Some(reason) = self.workers.get(incarnation).and_then(Worker::closed_reason) else {
            return false;
        };
        self.withdraw(incarnation, task, run, reason, now);
        true
    }

    /// Withdraws a start whose ticket has expired while its record was being written; returns whether
    /// it did. The worker would refuse it; one that was sent before may be there, and goes on.
    pub(crate) fn withdraw_if_expired(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        run: u32,
        now: u64,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let stage = self.workers.get(incarnation).and_then(|w| w.active_runs.get(&task));
        let unsent = stage.is_some_and(|active| active.stage == Stage::Written);
        let tickets = job.tickets.get_mut(&task.into());
        let holds = tickets.as_ref().is_some_and(|t| t.holds(incarnation, now));
        if !unsent || holds || job.submission.policy.ticket_times.is_none() {
            return false;
        }
        if let Some(tickets) = tickets {
            tickets.invalid(now);
        }
        self.withdraw(incarnation, task, run, "its ticket has expired", now);
        true
    }

    /// Withdraws a start; for a gang, all starts of the gang.
    fn withdraw(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        run: u32,
        reason: &str,
        now: u64,
    ) {
        info!(
            "event=start-withdrawn task={task} run={run} worker={incarnation} reason=\"{reason}\""
        );
        self.retract(incarnation, task, run, now);
        let job = self.jobs.get(&task.job);
        if job.is_some_and(|job| job.step(task.step).gang) {
            self.restart_gang(task, now);
        }
    }
}

impl Worker {
    /// Why it may start no run that it has not been ordered to start; none if it may.
    fn closed_reason(&self) -> Option<&'static str> {
        let reasons = [
            (self.overcommitted(), "its room has shrunk"),
            (self.evacuated, "its data centre is evacuated"),
            (self.draining(), "the worker is leaving"),
        ];
        reasons.into_iter().find_map(|(holds, reason)| holds.then_some(reason))
    }

    /// Whether its runs claim more room than it has.
    fn overcommitted(&self) -> bool {
        self.listing.is_some() && !self.used().fits(&self.room())
    }
}
