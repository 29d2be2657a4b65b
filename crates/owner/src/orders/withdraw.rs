//! Withdraws starts whose worker's room has shrunk, whose data centre is being evacuated, whose
//! worker has begun to leave, or whose ticket has expired since they were placed, and those that their
//! worker doesn't carry out.

use log::info;

use myrtle_job::{Incarnation, TaskId};

use crate::{Cell, Presence, Stage, Worker};

/// The reason for a start whose ticket has expired.
const EXPIRED: &str = "its ticket has expired";

/// The reason for a start that its worker didn't carry out.
const IN_VAIN: &str = "the worker has not carried it out";

/// How long starts are tried at a worker that answers lease renewals, in milliseconds: a few times
/// the time limit of an order. It counts from the first try in vain to the newest, since an owner
/// that was suspended has not tried meanwhile.
const IN_VAIN_LIMIT: u64 = 2_000;

impl Cell {
    /// Withdraws starts that workers which answer lease renewals have not carried out for long; their
    /// tasks are placed elsewhere.
    ///
    /// One that may have been sent is stopped first, like any other withdrawn start.
    pub(crate) fn withdraw_vain_starts(&mut self, now: u64) {
        let answering = self.workers.iter().filter(|(_, w)| w.presence == Presence::Answering);
        let vain = answering.flat_map(|(incarnation, worker)| {
            let vain = worker.active_runs.iter().filter(|(_, f)| {
                f.stage == Stage::Unanswered
                    && f.in_vain_since.is_some_and(|since| f.since >= since + IN_VAIN_LIMIT)
            });
            vain.map(|(&task, f)| (incarnation.clone(), task, f.run))
        });
        for (incarnation, task, run) in vain.collect::<Vec<_>>() {
            let worker = self.workers.get(&incarnation);
            let active = worker.and_then(|w| w.active_runs.get(&task));
            if active.is_none_or(|f| f.stage != Stage::Unanswered) {
                // It was stopped with another one of its gang.
                continue;
            }
            if let Some(job) = self.jobs.get_mut(&task.job) {
                let avoided = job.avoided.entry(task).or_default();
                if !avoided.contains(&incarnation) {
                    avoided.push(incarnation.clone());
                }
            }
            self.withdraw(&incarnation, task, run, IN_VAIN, now);
        }
    }

    /// Withdraws a start that its worker may not or would not carry out any more; returns whether it
    /// did.
    ///
    /// The start may have waited for seconds: for its record, on its host, or until the worker
    /// answered again.
    pub(crate) fn withdraw_if_moot(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        run: u32,
        now: u64,
    ) -> bool {
        let Some(worker) = self.workers.get(incarnation) else {
            return false;
        };
        let expired = || self.ticket_expired(incarnation, task, now).then_some(EXPIRED);
        let Some(reason) = worker.closed_reason().or_else(expired) else {
            return false;
        };
        if reason == EXPIRED
            && let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(tickets) = job.tickets.get_mut(&task.into())
        {
            tickets.invalid(now);
        }
        self.withdraw(incarnation, task, run, reason, now);
        true
    }

    /// Whether a start needs a ticket and its own has expired. One that was sent without a reply may
    /// have been carried out before, and goes on.
    fn ticket_expired(&self, incarnation: &Incarnation, task: TaskId, now: u64) -> bool {
        let active = self.workers.get(incarnation).and_then(|w| w.active_runs.get(&task));
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let tickets = job.tickets.get(&task.into());
        job.submission.policy.ticket_times.is_some()
            && active.is_some_and(|active| !active.unanswered)
            && !tickets.is_some_and(|tickets| tickets.holds(incarnation, now))
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
