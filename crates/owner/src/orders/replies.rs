//! Handles workers' replies to orders, and orders that got none.

use log::{info, warn};

use myrtle_job::{Incarnation, OrderReply, TaskId};

use crate::account::phase::Phase;
use crate::{Cell, Order, Outcome, Presence, Stage};

/// The pause before an order without reply is sent again, in milliseconds: longer than most replies
/// take, far shorter than a task.
const RESEND_AFTER: u64 = 150;

/// The backoff of a worker without room, in milliseconds: by then its next lease renewal reports
/// its room.
const FULL_BACKOFF: u64 = 40;

/// The backoff of an unhealthy worker, in milliseconds.
const UNHEALTHY_BACKOFF: u64 = 1_000;

/// The pause before a refused task is tried again, in milliseconds.
const REFUSED_PAUSE: u64 = 10;

impl Cell {
    /// Handles the outcome of a start; true if it was refused because of a successor of this owner.
    pub fn start_replied(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        run: u32,
        outcome: Outcome,
        now: u64,
    ) -> bool {
        if outcome != Outcome::Replied(OrderReply::Done) {
            info!(
                "event=start-told task={task} run={run} worker={incarnation} outcome={outcome:?}"
            );
        }
        if !outcome.may_be_carried_out() {
            self.mark_not_carried_out(incarnation, task, run);
        }
        match outcome {
            Outcome::Replied(OrderReply::Done) => self.started(incarnation, task, run, now),
            Outcome::Replied(OrderReply::Fenced) => return true,
            Outcome::Replaced(by) => self.replaced(incarnation, by, now),
            // The run has been there: the worker's reports show how it ended.
            Outcome::Replied(OrderReply::OutdatedRun) => self.started(incarnation, task, run, now),
            Outcome::Replied(reply) => self.refused(incarnation, task, run, reply, now),
            Outcome::Unhealthy => {
                self.back_off(incarnation, now + UNHEALTHY_BACKOFF);
                self.count_turned_away(incarnation, now);
                self.retract(incarnation, task, run, now);
            }
            Outcome::Unsent => self.mark_unanswered(incarnation, task, run, false, now),
            Outcome::Unknown => {
                // Its worker may have restarted since, or the run may be known to be there by now.
                self.late_starts.note(incarnation, task, run, now);
                self.stop_late_starts_at(incarnation.id(), now);
                self.mark_unanswered(incarnation, task, run, true, now);
            }
        }
        false
    }

    /// Handles the outcome of a stop; true if it was refused because of a successor of this owner.
    pub fn stop_replied(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        run: u32,
        outcome: Outcome,
        now: u64,
    ) -> bool {
        if outcome == Outcome::Replied(OrderReply::Fenced) {
            return true;
        }
        if let Outcome::Replaced(by) = outcome {
            self.replaced(incarnation, by, now);
            return false;
        }
        if let Outcome::Replied(_) = outcome {
            self.late_starts.confirm(incarnation, task, run);
        }
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return false;
        };
        let Some(active) = worker.active_runs.get_mut(&task).filter(|f| f.run == run) else {
            return false;
        };
        match outcome {
            Outcome::Replied(_) => active.enter(Stage::Stopped, now),
            // Sent again by `resend`, at the earliest after the usual pause.
            _ => active.since = now,
        }
        false
    }

    /// Whether a queued order is still to be sent: meanwhile its run may have become needless, its
    /// worker's room may have shrunk, its worker may have begun to leave, its data centre may have
    /// begun to be evacuated, or its ticket may have expired. A start gets the newest ticket, and
    /// counts as sent from then on.
    pub fn still_wanted(&mut self, order: &mut Order, now: u64) -> bool {
        let Order::Start { worker, task, run, ticket, .. } = order else {
            return true;
        };
        let active = self.workers.get(worker).and_then(|w| w.active_runs.get(task));
        let wanted = active.is_some_and(|f| f.run == *run && f.stage == Stage::Sent)
            && !self.withdraw_if_moot(worker, *task, *run, now);
        *ticket = self.jobs.get(&task.job).and_then(|job| job.ticket(*task, worker));
        let active = self.workers.get_mut(worker).and_then(|w| w.active_runs.get_mut(task));
        if let Some(active) = active.filter(|_| wanted) {
            active.sent = true;
        }
        wanted
    }

    /// Returns the orders without reply that are due to be sent again.
    ///
    /// Starts that were tried in vain for too long are withdrawn first.
    pub fn resend(&mut self, now: u64) -> Vec<Order> {
        self.withdraw_vain_starts(now);
        let mut orders = Vec::new();
        let mut starts = Vec::new();
        for (incarnation, worker) in
            self.workers.iter_mut().filter(|(_, w)| w.presence == Presence::Answering)
        {
            for (&task, active) in &mut worker.active_runs {
                if now < active.since + RESEND_AFTER {
                    continue;
                }
                match active.stage {
                    Stage::Unanswered => starts.push((incarnation.clone(), task, active.run)),
                    Stage::Stopping if now >= active.since + 3 * RESEND_AFTER => {
                        active.since = now;
                        orders.push(Order::Stop {
                            worker: incarnation.clone(),
                            task,
                            run: active.run,
                        });
                    }
                    _ => {}
                }
            }
        }
        let starts = starts.into_iter();
        self.stop_late_starts(now);
        orders.extend(
            starts.filter_map(|(incarnation, task, run)| self.start(&incarnation, task, run, now)),
        );
        orders
    }

    /// Marks that the newest start of a run was not carried out by the worker that it was meant for;
    /// an earlier one without reply may have been.
    fn mark_not_carried_out(&mut self, incarnation: &Incarnation, task: TaskId, run: u32) {
        let worker = self.workers.get_mut(incarnation);
        let active = worker.and_then(|w| w.active_runs.get_mut(&task)).filter(|f| f.run == run);
        if let Some(active) = active {
            active.sent = false;
        }
    }

    fn started(&mut self, incarnation: &Incarnation, task: TaskId, run: u32, now: u64) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        worker.answered_at = now;
        if let Some(active) = worker.active_runs.get_mut(&task)
            && active.run == run
            && matches!(active.stage, Stage::Sent | Stage::Unanswered)
        {
            active.enter(Stage::Running, now);
            active.started_at = active.started_at.or(Some(now));
            let job = self.jobs.get_mut(&task.job);
            if let Some(tickets) = job.and_then(|job| job.tickets.get_mut(&task.into())) {
                tickets.accepted();
            }
            self.mark_started(task, run, now);
        }
    }

    fn refused(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        run: u32,
        reply: OrderReply,
        now: u64,
    ) {
        self.counts.refused += 1;
        match reply {
            OrderReply::NoRoom => self.back_off(incarnation, now + FULL_BACKOFF),
            OrderReply::Malformed => {
                warn!("event=start-bad task={task} run={run} worker={incarnation}")
            }
            OrderReply::InvalidTicket => {
                if let Some(job) = self.jobs.get_mut(&task.job)
                    && let Some(tickets) = job.tickets.get_mut(&task.into())
                {
                    tickets.invalid(now);
                }
            }
            _ => {}
        }
        self.retract(incarnation, task, run, now);
    }

    /// Removes a run whose start was refused or withdrawn: it never starts under this number unless
    /// an earlier order is still under way; in that case it is stopped first.
    pub(crate) fn retract(&mut self, incarnation: &Incarnation, task: TaskId, run: u32, now: u64) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        if let Some(active) = worker.active_runs.get(&task).filter(|f| f.run == run) {
            if active.unanswered {
                return self.stop_run(incarnation, task, run, now);
            }
            worker.active_runs.remove(&task);
            self.remove_run(task, run, Phase::Refused, now);
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.retry_at.insert(task, now + REFUSED_PAUSE);
            }
        }
    }

    /// Marks a start that got no reply; it is sent again.
    fn mark_unanswered(
        &mut self,
        incarnation: &Incarnation,
        task: TaskId,
        run: u32,
        sent: bool,
        now: u64,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        if let Some(active) = worker.active_runs.get_mut(&task)
            && active.run == run
            && active.stage == Stage::Sent
        {
            active.enter(Stage::Unanswered, now);
            active.in_vain_since.get_or_insert(now);
            active.unanswered |= sent;
        }
    }

    pub(crate) fn back_off(&mut self, incarnation: &Incarnation, until: u64) {
        if let Some(worker) = self.workers.get_mut(incarnation) {
            worker.backoff_until = worker.backoff_until.max(until);
        }
    }
}
