//! What workers say of their runs.

use std::sync::Arc;

use log::{Level, info, log, warn};

use myrtle_job::{Ended, Held, How, Running, State, TaskId, Told};

use crate::{Cell, Life, Order, Stage};

/// The wait before a task that failed is started again, in milliseconds: it goes elsewhere, so a
/// short one will do.
const AFTER_FAIL: u64 = 20;

/// A worker tells no more ends than this in one answer; the platform's figure.
const ENDS_AT_ONCE: usize = 500;

impl Cell {
    /// Takes in a hold's answer; the hold was sent at `sent`.
    pub fn held(&mut self, life: &Arc<str>, held: Held, sent: u64, now: u64, wall: u64) {
        self.tick_of(life, held.clock, now);
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        if worker.life != Life::Well {
            let since = now.saturating_sub(worker.heard);
            // At a takeover every worker is met; one line tells of them all.
            let level = if worker.life == Life::Unmet { Level::Debug } else { Level::Info };
            let running = held.running.len();
            log!(level, "event=worker-met worker={life} running={running} silent_ms={since}");
            worker.life = Life::Well;
        }
        let whole = held.ended.len() < ENDS_AT_ONCE;
        for ended in held.ended {
            self.end(life, ended, now, wall);
        }
        for running in &held.running {
            self.see(life, running, now);
        }
        if whole {
            self.miss(life, &held.running, sent, now);
        }
        self.learn(life, now);
        self.guard(life, now);
        self.notice(life, now);
    }

    /// A hold of a life has failed.
    pub fn hold_failed(&mut self, life: &Arc<str>, reborn: bool, now: u64) {
        if reborn {
            self.succeeded(life, now);
            return;
        }
        if let Some(worker) = self.workers.get_mut(life)
            && worker.life == Life::Well
        {
            worker.life = Life::Silent;
            warn!("event=worker-silent worker={life} runs={}", worker.flights.len());
        }
    }

    /// A hold was refused; true if a later owner is the reason.
    pub fn hold_refused(&mut self, life: &Arc<str>, told: Told) -> bool {
        warn!("event=hold-refused worker={life} told=\"{told}\"");
        told == Told::Fenced
    }

    fn end(&mut self, life: &Arc<str>, ended: Ended, now: u64, wall: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        if ended.number <= worker.taken {
            return;
        }
        worker.taken = ended.number;
        let Ended { task, run, how, saved, .. } = ended;
        let flight = worker.flights.get(&task).filter(|f| f.run == run).cloned();
        if let Some(f) = &flight {
            worker.flights.remove(&task);
            if let Some(image) = f.image.clone().filter(|_| f.filler) {
                worker.faded.push((image, f.figure, now));
            }
        }
        let took = flight.as_ref().map_or(0, |f| now.saturating_sub(f.since));
        // Good ends are told by step, so that the volume stays bounded.
        let level = if how == How::Done { Level::Debug } else { Level::Info };
        log!(level, "event=run-ended task={task} run={run} worker={life} how={how} took_ms={took}");
        self.judge(life, how, task, now);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let lasting =
            job.submission.spec.steps.get(usize::from(task.step)).is_some_and(|s| s.lasting);
        let gang = job.submission.spec.steps.get(usize::from(task.step)).is_some_and(|s| s.gang);
        self.dirty.insert(task.job);
        let over = job.progress.state.over();
        let Some(record) = job.progress.task_mut(task) else {
            return;
        };
        record.drop_run(run);
        if !saved.is_empty() {
            record.saved = saved;
        }
        if record.done {
            return;
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
        if over {
            return;
        }
        self.open.insert(task.job);
        match how {
            How::Done if !lasting => self.done(task, gang, now, wall),
            How::Failed if !lasting => self.failed(task, run, gang, now, wall),
            _ if gang => self.regroup(task, now),
            _ => {}
        }
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
        let job = &self.jobs[&task.job];
        let rounds = job.submission.spec.rounds();
        if job.progress.rounds.is_empty() && job.progress.next >= rounds {
            let took = now.saturating_sub(job.came);
            info!(
                "event=job-done job={} took_ms={took} objective_ms={} late={}",
                task.job,
                job.objective(),
                took > job.objective()
            );
            self.finish(task.job, State::Completed, now, wall);
        }
    }

    fn failed(&mut self, task: TaskId, run: u32, gang: bool, now: u64, wall: u64) {
        self.counts.failed += 1;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let attempts = job.submission.policy.attempts.max(1);
        let Some(round) = job.progress.rounds.get_mut(&task.round) else {
            return;
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
        } else if gang {
            self.regroup(task, now);
        }
    }

    /// One of a gang has ended without success: the others stop, so that all can start again.
    fn regroup(&mut self, task: TaskId, now: u64) {
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

    fn see(&mut self, life: &Arc<str>, running: &Running, now: u64) {
        let Running { task, run, saved, percent, figure } = running;
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let known = worker.flights.get_mut(task).filter(|f| f.run == *run);
        let Some(flight) = known else {
            // A start that was given up has been carried out late.
            info!("event=run-unasked task={task} run={run} worker={life}");
            self.orders.push(Order::Stop { worker: life.clone(), task: *task, run: *run });
            return;
        };
        if matches!(flight.stage, Stage::Sent | Stage::Unsure | Stage::Inherited) {
            flight.enter(Stage::Up, now);
        }
        if flight.begun.is_none() {
            flight.begun = Some(now);
        }
        if *percent != flight.percent {
            flight.percent = *percent;
            flight.moved = now;
        }
        let figure = figure.unwrap_or(0.0);
        if figure != flight.figure {
            flight.figure = figure;
            worker.figured = now;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if !saved.is_empty()
            && let Some(record) = job.progress.task_mut(*task)
            && record.saved != *saved
        {
            record.saved.clone_from(saved);
        }
        if job.progress.state.over() {
            // An earlier owner ended the job and may not have come to stop its runs.
            return self.halt(life, *task, *run, now);
        }
        self.begun(*task);
    }

    /// A task of a job is at work.
    pub(crate) fn begun(&mut self, task: TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job)
            && job.progress.state == State::Queued
        {
            job.progress.state = State::Running;
            self.dirty.insert(task.job);
        }
    }

    /// Takes off runs that an answer should have shown and did not.
    fn miss(&mut self, life: &Arc<str>, running: &[Running], sent: u64, now: u64) {
        let Some(worker) = self.workers.get(life) else {
            return;
        };
        let shown = |task: &TaskId, run| running.iter().any(|r| r.task == *task && r.run == run);
        let missing: Vec<_> = worker
            .flights
            .iter()
            .filter(|(_, f)| match f.stage {
                // Our fencing token bars it from now on.
                Stage::Inherited => true,
                Stage::Up | Stage::Stopped => f.since < sent,
                _ => false,
            })
            .filter(|(task, f)| !shown(task, f.run))
            .map(|(task, f)| (*task, f.run, f.stage))
            .collect();
        for (task, run, stage) in missing {
            info!("event=run-absent task={task} run={run} worker={life} stage={stage:?} at={now}");
            if let Some(worker) = self.workers.get_mut(life) {
                worker.flights.remove(&task);
            }
            self.forget_run(task, run);
        }
    }
}
