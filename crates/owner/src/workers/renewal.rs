//! Handles workers' replies to lease renewals.

use log::{Level, info, log, warn};

use myrtle_job::{Incarnation, OrderReply, Replacement, Running, State, TaskId, WorkerRuns};

use crate::account::phase::Phase;
use crate::{ActiveRun, Cell, Order, Presence, Stage};

/// The most ends that a worker reports in one reply; set by the platform.
const MAX_ENDS: usize = 500;

/// How long a run has to last for the log to tell the next owner, in milliseconds: the records of
/// short tasks are written no more often for it.
const SETTLED_AFTER: u64 = 2_000;

impl Cell {
    /// Handles the reply to a lease renewal that was sent at `sent`.
    ///
    /// A reply of another incarnation only shows that this one has ended: its ends and its clock
    /// are numbered differently.
    pub fn renewed(
        &mut self,
        incarnation: &Incarnation,
        held: WorkerRuns,
        sent: u64,
        now: u64,
        wall: u64,
    ) {
        if held.started_at != 0 && held.started_at != incarnation.start() {
            return self.replaced(incarnation, Replacement::Restarted(held.started_at), now);
        }
        let silent = self.workers.get(incarnation).map_or(0, |w| now.saturating_sub(w.answered_at));
        self.update_clock(incarnation, held.clock_ms, now);
        self.uncount_losses(incarnation);
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        worker.alive_at = worker.alive_at.max(sent);
        if worker.presence != Presence::Answering {
            // After a takeover all workers answer for the first time; one line covers them all.
            let level =
                if worker.presence == Presence::Unreached { Level::Debug } else { Level::Info };
            let running = held.running.len();
            log!(
                level,
                "event=worker-met worker={incarnation} running={running} silent_ms={silent}"
            );
            worker.presence = Presence::Answering;
            worker.wait.withdraw();
            // Starts could not succeed while it did not answer.
            worker.active_runs.values_mut().for_each(|f| f.in_vain_since = None);
            self.clear_silence(incarnation);
            self.stop_late_starts_at(incarnation.id(), now);
        }
        let complete = held.ended.len() < MAX_ENDS;
        for ended in held.ended {
            self.process_end(incarnation, ended, now, wall);
        }
        for running in &held.running {
            self.apply_running(incarnation, running, now);
        }
        if complete {
            self.remove_missing(incarnation, &held.running, sent, now);
        }
        self.learn(incarnation, now);
        self.forecast_loads(now);
        self.throttle_fillers(incarnation, now);
        self.move_stalled(incarnation, now);
    }

    /// Handles a lease renewal without reply.
    pub fn renewal_failed(&mut self, incarnation: &Incarnation, now: u64) {
        if self.workers.get(incarnation).is_some_and(|w| w.presence == Presence::Unreached) {
            self.log_unmet(incarnation, now);
            self.record_silence(incarnation, now);
        }
        if let Some(worker) = self.workers.get_mut(incarnation)
            && worker.presence == Presence::Answering
        {
            warn!("event=worker-silent worker={incarnation} runs={}", worker.active_runs.len());
            worker.presence = Presence::Silent;
            self.record_silence(incarnation, now);
        }
    }

    /// Logs once that a worker with inherited runs can't be reached, and how long the owner waits
    /// for it.
    fn log_unmet(&self, incarnation: &Incarnation, now: u64) {
        let worker = self.workers.get(incarnation).filter(|w| !w.active_runs.is_empty());
        let Some(worker) = worker.filter(|_| !self.silent(incarnation)) else {
            return;
        };
        let left = self.leases_end(worker).saturating_sub(now);
        info!(
            "event=worker-unmet worker={incarnation} runs={} listed={} left_ms={left}",
            worker.active_runs.len(),
            worker.listed
        );
    }

    /// Handles a refused lease renewal; true if a successor of this owner is the reason.
    pub fn renewal_refused(&mut self, incarnation: &Incarnation, reply: OrderReply) -> bool {
        warn!("event=hold-refused worker={incarnation} told=\"{reply}\"");
        reply == OrderReply::Fenced
    }

    /// Applies a worker's report of a run that goes on.
    fn apply_running(&mut self, incarnation: &Incarnation, running: &Running, now: u64) {
        let Running { task, run, checkpoint, .. } = running;
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        let known = worker.active_runs.get_mut(task).filter(|f| f.run == *run);
        let Some(active) = known else {
            // A start that was withdrawn has been carried out late.
            info!("event=run-unasked task={task} run={run} worker={incarnation}");
            self.orders.push(Order::Stop { worker: incarnation.clone(), task: *task, run: *run });
            return;
        };
        if active.show(running, now) {
            worker.reported_at = now;
        }
        if let Some(took) = active.full_time(now) {
            self.count_speed(incarnation, *task, took, now);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.stop_run(incarnation, *task, *run, now);
        };
        if !checkpoint.is_empty()
            && let Some(record) = job.progress.task_mut(*task)
            && record.checkpoint != *checkpoint
        {
            record.checkpoint.clone_from(checkpoint);
        }
        if job.progress.state.over() {
            // An earlier owner ended the job and may not have stopped its runs.
            return self.stop_run(incarnation, *task, *run, now);
        }
        self.mark_started(*task, *run, now);
        self.trust(incarnation, *task, now);
        self.settle(incarnation, *task, now);
    }

    /// Marks a run that has lasted for a while, so that the next owner doesn't take it for one that has
    /// just started.
    fn settle(&mut self, incarnation: &Incarnation, task: TaskId, now: u64) {
        let worker = self.workers.get_mut(incarnation);
        let active = worker.and_then(|w| w.active_runs.get_mut(&task));
        let lasting = |f: &&mut ActiveRun| f.started_at.is_some_and(|at| now >= at + SETTLED_AFTER);
        if let Some(active) = active.filter(|f| !f.settled).filter(lasting)
            && let Some(job) = self.jobs.get_mut(&task.job)
        {
            active.settled = true;
            job.progress.settled_runs.insert(task, active.run);
            self.dirty.insert(task.job);
        }
    }

    /// Marks a task of a job as started.
    pub(crate) fn mark_started(&mut self, task: TaskId, run: u32, now: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.down_since.remove(&task);
        job.account.enter(task, run, Phase::Run, now);
        if job.progress.state == State::Queued {
            job.progress.state = State::Running;
            self.dirty.insert(task.job);
        }
    }

    /// Removes runs that a reply should have listed but did not.
    fn remove_missing(
        &mut self,
        incarnation: &Incarnation,
        running: &[Running],
        sent: u64,
        now: u64,
    ) {
        let Some(worker) = self.workers.get(incarnation) else {
            return;
        };
        let listed = |task: &TaskId, run| running.iter().any(|r| r.task == *task && r.run == run);
        let missing: Vec<_> = worker
            .active_runs
            .iter()
            .filter(|(_, f)| match f.stage {
                // Our fencing token prevents it from starting from now on.
                Stage::Inherited => true,
                Stage::Running | Stage::Stopped => f.since < sent,
                _ => false,
            })
            .filter(|(task, f)| !listed(task, f.run))
            .map(|(task, f)| (*task, f.run, f.stage))
            .collect();
        for (task, run, stage) in missing {
            info!(
                "event=run-absent task={task} run={run} worker={incarnation} stage={stage:?} at={now}"
            );
            if let Some(worker) = self.workers.get_mut(incarnation) {
                worker.active_runs.remove(&task);
            }
            self.remove_run(task, run, Phase::Lost, now);
        }
    }
}
