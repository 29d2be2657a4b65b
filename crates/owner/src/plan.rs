//! Places tasks whose turn has come, the most urgent first.

use std::sync::Arc;

use log::{debug, info};

use myrtle_job::{JobId, Round, Run, TaskId};

use crate::{Cell, Flight, Job, Stage};

/// How far beyond its objective a job still earns something, as a multiple; the platform's figure.
const LATE: u64 = 3;

/// What decides who goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u32,
    /// 0 while the job can be in time, 1 while it can be late, 2 when it earns nothing any more.
    tier: u8,
    /// When it has to be done, by the steady clock.
    due: u64,
    id: JobId,
}

impl Cell {
    /// Begins repetitions that are due.
    pub fn begin_rounds(&mut self, wall: u64) {
        for id in self.timed.clone() {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let spec = &job.submission.spec;
            let Some(repeat) = spec.repeat else {
                continue;
            };
            while job.progress.next < repeat.count
                && wall >= repeat.first + u64::from(job.progress.next) * repeat.every
            {
                job.progress.rounds.insert(job.progress.next, Round::fresh(spec));
                job.progress.next += 1;
                self.open.insert(id);
                self.dirty.insert(id);
            }
            if job.progress.next >= repeat.count {
                self.timed.remove(&id);
            }
        }
    }

    /// Finds workers for tasks that wait.
    pub fn plan(&mut self, now: u64) {
        if !self.loaded {
            return;
        }
        let mut ranks: Vec<Rank> =
            self.open.iter().filter_map(|id| Some(rank(*id, self.jobs.get(id)?, now))).collect();
        ranks.sort_unstable();
        for rank in ranks {
            if !self.place_job(rank.id, now) {
                self.open.remove(&rank.id);
            }
        }
    }

    /// Places what can be placed of a job; false if nothing of it waits any more.
    fn place_job(&mut self, id: JobId, now: u64) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.progress.state.over()) else {
            return false;
        };
        let spec = &job.submission.spec;
        let mut ready: Vec<(u32, u16)> = Vec::new();
        for (&number, round) in &job.progress.rounds {
            for (at, step) in round.steps.iter().enumerate() {
                let copies = spec.steps[at].copies;
                if step.tasks.iter().any(|t| t.waits() || copies && !t.done)
                    && round.ready(spec, at)
                {
                    ready.push((number, at as u16));
                }
            }
        }
        let mut waiting = false;
        for (round, step) in ready {
            let gang = self.jobs[&id].submission.spec.steps[usize::from(step)].gang;
            let rest = if gang {
                self.place_gang(id, round, step, now)
            } else {
                self.place_step(id, round, step, now)
            };
            waiting |= rest;
        }
        waiting
    }

    /// Places the tasks of a step one by one; true if some still wait.
    fn place_step(&mut self, id: JobId, round: u32, step: u16, now: u64) -> bool {
        let job = &self.jobs[&id];
        let tasks = &job.progress.rounds[&round].steps[usize::from(step)].tasks;
        let waiting: Vec<TaskId> = tasks
            .iter()
            .enumerate()
            .map(|(index, t)| (TaskId { job: id, round, step, index: index as u16 }, t))
            .filter(|(task, t)| t.waits() || self.wants_copy(*task, t, now))
            .map(|(task, _)| task)
            .collect();
        let mut left = false;
        let mut placed = 0;
        let wanted = waiting.len();
        for task in waiting {
            let job = &self.jobs[&id];
            if job.retry.get(&task).is_some_and(|&at| at > now) {
                left = true;
                continue;
            }
            let spec = &job.submission.spec.steps[usize::from(step)];
            let copy = job.progress.task(task).is_some_and(|t| !t.waits());
            let fit = self.fit(job, spec, task, now);
            if copy && fit.is_none() {
                // The run that is there may still end.
                continue;
            }
            let Some(life) = fit else {
                // The others of the step want the same.
                self.ask(task, now);
                self.tell_placed(task, placed, wanted, now);
                self.stuck(task, now);
                return true;
            };
            self.assign(task, &life, None, now);
            placed += 1;
        }
        let first = TaskId { job: id, round, step, index: 0 };
        self.tell_placed(first, placed, wanted, now);
        if let Some(job) = self.jobs.get_mut(&id).filter(|_| !left) {
            job.stuck = None;
        }
        left
    }

    /// Places all tasks of a gang or none; true if it still waits.
    fn place_gang(&mut self, id: JobId, round: u32, step: u16, now: u64) -> bool {
        let job = &self.jobs[&id];
        let tasks = &job.progress.rounds[&round].steps[usize::from(step)].tasks;
        if tasks.iter().any(|t| !t.waits()) {
            return true;
        }
        let number = tasks.iter().map(|t| t.last).max().unwrap_or(0) + 1;
        let saved = tasks.iter().map(|t| &t.saved).max().cloned().unwrap_or_default();
        let members: Vec<TaskId> = (0..tasks.len())
            .map(|index| TaskId { job: id, round, step, index: index as u16 })
            .collect();
        if members.iter().any(|t| job.retry.get(t).is_some_and(|&at| at > now)) {
            return true;
        }
        for (at, &task) in members.iter().enumerate() {
            let job = &self.jobs[&id];
            let spec = &job.submission.spec.steps[usize::from(step)];
            let Some(life) = self.fit(job, spec, task, now) else {
                for &placed in &members[..at] {
                    self.unassign(placed, number);
                }
                self.ask(task, now);
                self.stuck(task, now);
                return true;
            };
            self.assign(task, &life, Some(number), now);
        }
        for &task in &members {
            if let Some(t) = self.jobs.get_mut(&id).and_then(|j| j.progress.task_mut(task)) {
                t.saved.clone_from(&saved);
            }
        }
        false
    }

    /// Notes that a task has found no worker; the first time with the reason.
    fn stuck(&mut self, task: TaskId, now: u64) {
        let Some(job) = self.jobs.get(&task.job).filter(|j| j.stuck.is_none()) else {
            return;
        };
        let why = self.why_not(job, task, now);
        info!("event=waits task={task} reason=\"{why}\" age_ms={}", now.saturating_sub(job.came));
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.stuck = Some(now);
        }
    }

    /// Why no worker takes a task now.
    fn why_not(&self, job: &Job, task: TaskId, now: u64) -> &'static str {
        let spec = &job.submission.spec.steps[usize::from(task.step)];
        let open = || self.workers.values().filter(|w| w.open(now));
        if open().next().is_none() {
            return "no worker is open to new work";
        }
        if !open().any(|w| self.allowed(w, job, spec, task)) {
            return "no worker with its labels has room";
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

    fn tell_placed(&self, task: TaskId, placed: usize, wanted: usize, now: u64) {
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

    /// Reserves room for the next run of a task; it starts once that is in the log.
    fn assign(&mut self, task: TaskId, life: &Arc<str>, number: Option<u32>, now: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let spec = job.submission.spec.steps[usize::from(task.step)].clone();
        let Some(record) = job.progress.task_mut(task) else {
            return;
        };
        let run = number.unwrap_or(record.last + 1);
        record.last = run;
        record.live.push(Run { number: run, worker: life.clone() });
        job.retry.remove(&task);
        if !spec.lasting {
            job.stuck = None;
        }
        self.dirty.insert(task.job);
        if let Some(worker) = self.workers.get_mut(life) {
            worker.flights.insert(task, Flight::new(run, &spec, Stage::Written, now));
        }
        debug!("event=placed task={task} run={run} worker={life} fence={}", self.fence);
    }

    fn unassign(&mut self, task: TaskId, number: u32) {
        let Some(record) = self.jobs.get_mut(&task.job).and_then(|j| j.progress.task_mut(task))
        else {
            return;
        };
        let runs: Vec<_> = record.live.iter().filter(|r| r.number == number).cloned().collect();
        record.drop_run(number);
        record.last = number - 1;
        for run in runs {
            if let Some(worker) = self.workers.get_mut(&run.worker) {
                worker.flights.remove(&task);
            }
        }
    }
}

fn rank(id: JobId, job: &Job, now: u64) -> Rank {
    let objective = job.objective();
    let due = job.came + objective;
    let ready = now + job.ahead();
    let tier = match () {
        _ if job.submission.spec.lasts() => 0,
        _ if ready <= due => 0,
        _ if ready <= job.came + LATE * objective => 1,
        _ => 2,
    };
    Rank { priority: job.submission.policy.priority, tier, due, id }
}
