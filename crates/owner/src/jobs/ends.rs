//! Ends of runs, and what follows from them.

use log::{Level, info, log, warn};

use myrtle_job::{Ended, How, Incarnation, JobId, RunEnd, State, TaskId};

use crate::Cell;

/// The wait before a task that failed is started again, in milliseconds: it goes elsewhere, so a
/// short one will do.
const AFTER_FAIL: u64 = 20;

impl Cell {
    /// Takes in the end of a run, once.
    pub(crate) fn end(&mut self, life: &Incarnation, ended: Ended, now: u64, wall: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        if ended.number <= worker.taken {
            // One that was taken in is told again until it is noted, but its run is off by then.
            if worker.flights.get(&ended.task).is_some_and(|f| f.run == ended.run) {
                warn!(
                    "event=end-passed-over task={} run={} worker={life} how={} number={} taken={}",
                    ended.task, ended.run, ended.how, ended.number, worker.taken
                );
            }
            return;
        }
        worker.taken = ended.number;
        let Ended { task, run, how, .. } = ended;
        let flight = worker.drop_flight(task, run, now);
        let took = flight.map_or(0, |f| now.saturating_sub(f.since));
        // Good ends are told by step, so that the volume stays bounded.
        let level = if how == How::Done { Level::Debug } else { Level::Info };
        log!(level, "event=run-ended task={task} run={run} worker={life} how={how} took_ms={took}");
        self.judge(life, how, task, now);
        self.unlogged.push(RunEnd { life: life.clone(), ended: ended.clone() });
        self.take_end(life, ended, now, wall);
    }

    /// What follows from the end of a run that is off its worker.
    pub(crate) fn take_end(&mut self, life: &Incarnation, ended: Ended, now: u64, wall: u64) {
        let Ended { task, run, how, .. } = ended;
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let step = job.submission.spec.steps.get(usize::from(task.step));
        let lasting = step.is_some_and(|s| s.lasting);
        let gang = step.is_some_and(|s| s.gang);
        // An end that is told once more says nothing of the runs that have begun since.
        let known = job.progress.task(task).is_some_and(|t| t.run(run).is_some());
        if !self.note_end(life, ended, lasting, now) {
            return;
        }
        self.open.insert(task.job);
        match how {
            How::Done if !lasting => self.done(task, gang, now, wall),
            How::Failed if !lasting => {
                let anew = self.failed(task, run, gang, now, wall);
                if anew && known {
                    self.regroup(task, now);
                }
            }
            _ if gang && known => self.regroup(task, now),
            _ => {}
        }
    }

    /// Writes an end into its task's record; false if nothing follows from it.
    fn note_end(&mut self, life: &Incarnation, ended: Ended, lasting: bool, now: u64) -> bool {
        let Ended { task, run, how, saved, .. } = ended;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        self.dirty.insert(task.job);
        let Some(record) = job.progress.task_mut(task) else {
            return false;
        };
        record.drop_run(run);
        if !saved.is_empty() {
            record.saved = saved;
        }
        if record.done {
            return false;
        }
        if lasting {
            job.freed.insert(task, now);
        }
        match how {
            How::Done if !lasting => record.done = true,
            How::Failed => {
                record.fail(run);
                job.retry.insert(task, now + AFTER_FAIL);
                job.shunned.entry(task).or_default().push(life.clone());
            }
            _ => {}
        }
        !job.progress.state.over()
    }

    /// A task has ended well: its copies stop, a gang is done as a whole, a job may be completed.
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
        let mut extra = Vec::new();
        for (index, t) in step.tasks.iter_mut().enumerate() {
            if gang {
                t.done = true;
            }
            if t.done && index == usize::from(task.index) {
                let id = TaskId { index: index as u16, ..task };
                extra.extend(t.live.iter().map(|r| (id, r.clone())));
            }
        }
        if round.done() {
            job.progress.rounds.remove(&task.round);
        }
        for (id, run) in extra {
            self.halt(&run.worker, id, run.number, now);
        }
        self.complete(task.job, now, wall);
    }

    /// Ends a job well once every repetition is done.
    fn complete(&mut self, id: JobId, now: u64, wall: u64) {
        let job = &self.jobs[&id];
        let rounds = job.submission.spec.rounds();
        if !job.progress.rounds.is_empty() || job.progress.next < rounds {
            return;
        }
        let took = now.saturating_sub(job.came);
        info!(
            "event=job-done job={id} took_ms={took} objective_ms={} late={}",
            job.objective(),
            took > job.objective()
        );
        self.finish(id, State::Completed, now, wall);
    }

    /// A run has failed: its task is tried again or the job has failed; true if a gang has to begin anew.
    fn failed(&mut self, task: TaskId, run: u32, gang: bool, now: u64, wall: u64) -> bool {
        self.counts.failed += 1;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let attempts = job.submission.policy.attempts.max(1);
        let Some(round) = job.progress.rounds.get_mut(&task.round) else {
            return false;
        };
        let step = &mut round.steps[usize::from(task.step)];
        if gang && !step.failed.contains(&run) {
            step.failed.push(run);
        }
        let of_task = &step.tasks[usize::from(task.index)].failed;
        let fails = if gang { step.failed.len() } else { of_task.len() };
        info!("event=run-failed task={task} fails={fails} attempts={attempts}");
        if fails >= attempts as usize {
            let job = task.job;
            warn!("event=job-failed job={job} task={task} fails={fails}");
            self.finish(job, State::Failed, now, wall);
            return false;
        }
        gang
    }

    /// One of a gang has ended without success: the others stop, so that all can start again.
    pub(crate) fn regroup(&mut self, task: TaskId, now: u64) {
        let Some(round) = self.jobs.get(&task.job).and_then(|j| j.progress.rounds.get(&task.round))
        else {
            return;
        };
        let step = &round.steps[usize::from(task.step)];
        let live: Vec<_> = step
            .tasks
            .iter()
            .enumerate()
            .flat_map(|(i, t)| t.live.iter().map(move |r| (i as u16, r.clone())))
            .collect();
        for (index, run) in live {
            self.halt(&run.worker, TaskId { index, ..task }, run.number, now);
        }
    }
}
