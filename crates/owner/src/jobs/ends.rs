//! Processes ends of runs.

use log::{Level, info, log, warn};

use myrtle_job::{EndReason, EndedRun, Incarnation, JobId, RunEnd, State, TaskId};

use crate::Cell;
use crate::account::phase::Phase;

/// The delay before a failed task is started again, in milliseconds: short, as it goes to another
/// worker.
const RETRY_DELAY: u64 = 20;

impl Cell {
    /// Processes the end of a run, once.
    pub(crate) fn process_end(
        &mut self,
        incarnation: &Incarnation,
        ended: EndedRun,
        now: u64,
        wall: u64,
    ) {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return;
        };
        if ended.seq <= worker.received_ends {
            // A worker repeats an end until it is acknowledged, but the run of a processed end is
            // off the worker.
            if worker.active_runs.get(&ended.task).is_some_and(|f| f.run == ended.run) {
                warn!(
                    "event=end-passed-over task={} run={} worker={incarnation} how={} number={} taken={}",
                    ended.task, ended.run, ended.reason, ended.seq, worker.received_ends
                );
            }
            return;
        }
        worker.received_ends = ended.seq;
        let EndedRun { task, run, reason, .. } = ended;
        let active = worker.remove_run(task, run, now);
        let took = active.as_ref().map_or(0, |f| now.saturating_sub(f.since));
        let throttled = active.map_or(0, |f| f.throttled_for(now));
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.account.throttled(task, throttled);
        }
        // Successful ends are logged by step, so that the volume stays bounded.
        let level = if reason == EndReason::Done { Level::Debug } else { Level::Info };
        log!(
            level,
            "event=run-ended task={task} run={run} worker={incarnation} how={reason} took_ms={took}"
        );
        self.count_end(incarnation, reason, task, now);
        self.unlogged.push(RunEnd { incarnation: incarnation.clone(), ended: ended.clone() });
        self.apply_end(incarnation, ended, now, wall);
    }

    /// Updates the job after the end of a run that is off its worker.
    pub(crate) fn apply_end(
        &mut self,
        incarnation: &Incarnation,
        ended: EndedRun,
        now: u64,
        wall: u64,
    ) {
        let EndedRun { task, run, reason, .. } = ended;
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let step = job.submission.spec.steps.get(usize::from(task.step));
        let long_running = step.is_some_and(|s| s.long_running);
        let gang = step.is_some_and(|s| s.gang);
        // A repeated end says nothing about runs that began since.
        let known = job.progress.task(task).is_some_and(|t| t.active_run(run).is_some());
        if !self.record_end(incarnation, ended, long_running, now) {
            return;
        }
        self.open.insert(task.job);
        match reason {
            EndReason::Done if !long_running => self.done(task, gang, now, wall),
            EndReason::Failed if !long_running => {
                let restart = self.failed(task, run, gang, now, wall);
                if restart && known {
                    self.restart_gang(task, now);
                }
            }
            _ if gang && known => self.restart_gang(task, now),
            _ => {}
        }
    }

    /// Records an end in its task; false if it has no further effect.
    fn record_end(
        &mut self,
        incarnation: &Incarnation,
        ended: EndedRun,
        long_running: bool,
        now: u64,
    ) -> bool {
        let EndedRun { task, run, reason, checkpoint, .. } = ended;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        self.dirty.insert(task.job);
        let Some(record) = job.progress.task_mut(task) else {
            return false;
        };
        let was_active = record.remove_run(run);
        if !checkpoint.is_empty() {
            record.checkpoint = checkpoint;
        }
        if record.done {
            return false;
        }
        if long_running {
            job.down_since.insert(task, now);
        }
        match reason {
            EndReason::Done if !long_running => {
                record.done = true;
                job.account.done(&job.submission.spec, task, now);
            }
            EndReason::Failed => {
                record.add_failure(run);
                job.retry_at.insert(task, now + RETRY_DELAY);
                job.avoided.entry(task).or_default().push(incarnation.clone());
            }
            _ => {}
        }
        if was_active {
            job.count_loss(task, run, Phase::of_end(reason), now);
        }
        !job.progress.state.over()
    }

    /// Processes the success of a task: its copies stop, a gang is done as a whole, a job may be
    /// complete.
    fn done(&mut self, task: TaskId, gang: bool, now: u64, wall: u64) {
        self.counts.done += 1;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if job.progress.state == State::Queued {
            job.progress.state = State::Running;
        }
        let Some(round) = job.progress.rounds.get_mut(&task.round) else {
            return;
        };
        let step = &mut round.steps[usize::from(task.step)];
        let mut copies = Vec::new();
        for (index, t) in step.tasks.iter_mut().enumerate() {
            if gang {
                t.done = true;
            }
            if t.done && index == usize::from(task.index) {
                let id = TaskId { index: index as u16, ..task };
                copies.extend(t.active.iter().map(|r| (id, r.clone())));
            }
        }
        if round.done() {
            job.progress.rounds.remove(&task.round);
            job.account.end_round(task.round);
        }
        for (id, run) in copies {
            self.stop_run(&run.worker, id, run.number, now);
        }
        self.complete(task.job, now, wall);
    }

    /// Completes a job once every repetition is done.
    fn complete(&mut self, id: JobId, now: u64, wall: u64) {
        let job = &self.jobs[&id];
        let rounds = job.submission.spec.rounds();
        if !job.progress.rounds.is_empty() || job.progress.next_round < rounds {
            return;
        }
        self.finish(id, State::Completed, now, wall);
    }

    /// Processes a failed run: its task is retried or its job fails; true if a gang has to restart.
    fn failed(&mut self, task: TaskId, run: u32, gang: bool, now: u64, wall: u64) -> bool {
        self.counts.failed += 1;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let attempts = job.submission.policy.max_failures.max(1);
        let Some(round) = job.progress.rounds.get_mut(&task.round) else {
            return false;
        };
        let step = &mut round.steps[usize::from(task.step)];
        if gang && !step.failed_runs.contains(&run) {
            step.failed_runs.push(run);
        }
        let of_task = &step.tasks[usize::from(task.index)].failed_runs;
        let failures = if gang { step.failed_runs.len() } else { of_task.len() };
        info!("event=run-failed task={task} fails={failures} attempts={attempts}");
        if failures >= attempts as usize {
            self.log_failure(task, &format!("fails={failures}"), now);
            self.finish(task.job, State::Failed, now, wall);
            return false;
        }
        gang
    }

    /// Stops the other tasks of a gang after one ended without success, so that all can restart.
    pub(crate) fn restart_gang(&mut self, task: TaskId, now: u64) {
        let Some(round) = self.jobs.get(&task.job).and_then(|j| j.progress.rounds.get(&task.round))
        else {
            return;
        };
        let step = &round.steps[usize::from(task.step)];
        let live: Vec<_> = step
            .tasks
            .iter()
            .enumerate()
            .flat_map(|(i, t)| t.active.iter().map(move |r| (i as u16, r.clone())))
            .collect();
        for (index, run) in live {
            self.stop_run(&run.worker, TaskId { index, ..task }, run.number, now);
        }
    }
}
