//! Finds the jobs whose tasks are to be placed, the most urgent first.

use myrtle_job::{JobId, Round, TaskId};

use crate::{Cell, Job};

/// How far beyond its objective a job still earns something, as a multiple; the platform's figure.
const LATE: u64 = 3;

/// The part of a job's credit that does not grow with its work, in jobs of mean work; the platform's
/// figure.
const CREDIT_BASE: f64 = 0.3;

/// The part that grows with its work.
const CREDIT_GROWS: f64 = 0.7;

/// The scale of costs in ranks, which are whole numbers.
const COST_SCALE: f64 = 1e6;

/// What decides who goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u32,
    /// Since when users miss a task of it that ran before: by when jobs came, what was stopped a moment ago would go
    /// before what has waited for long.
    missed: u64,
    /// 0 while the job can be in time, 1 while it can be late, 2 when it earns nothing any more.
    tier: u8,
    /// The work left for each credit; 0 for lasting jobs.
    cost: u64,
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
            while job.progress.next < repeat.count && wall >= repeat.due(job.progress.next) {
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

    /// Finds workers for tasks that wait, in a slice of a pass over all of them; true if the pass
    /// goes on with the next call.
    pub fn plan(&mut self, now: u64) -> bool {
        if !self.loaded {
            return false;
        }
        self.foresee(now);
        if self.pass.done.is_empty() {
            self.refused.clear();
        }
        self.pass.slice();
        for rank in self.ranks(now) {
            if self.pass.spent() {
                return true;
            }
            if self.goes_on(rank.id, now) {
                self.pass.done.insert(rank.id);
                continue;
            }
            let waits = self.place_job(rank.id, now);
            if self.pass.cut {
                return true;
            }
            self.pass.done.insert(rank.id);
            if waits {
                self.book(rank.id, now);
                self.hand_on_tasks(rank.id, now);
            } else {
                self.open.remove(&rank.id);
                self.unstick(rank.id);
            }
        }
        self.pass.end();
        false
    }

    /// The open jobs that have not had their turn in this pass, the most urgent first.
    fn ranks(&self, now: u64) -> Vec<Rank> {
        let due = self.open.difference(&self.pass.done);
        let due = due.filter_map(|id| Some((*id, self.jobs.get(id)?)));
        let mean = |job: &Job| self.usual.of(&job.submission.policy.queue);
        let mut ranks: Vec<Rank> = due.map(|(id, job)| rank(id, job, mean(job), now)).collect();
        ranks.sort_unstable();
        ranks
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
                let mut tasks = step.tasks.iter().zip(0u16..);
                let wanted = tasks.any(|(t, index)| {
                    let task = TaskId { job: id, round: number, step: at as u16, index };
                    job.waits(task, t) || copies && !t.done
                });
                if wanted && round.ready(spec, at) {
                    ready.push((number, at as u16));
                }
            }
        }
        let mut waiting = false;
        for (round, step) in ready {
            let gang = self.jobs[&id].step(step).gang;
            let rest = if gang {
                self.place_gang(id, round, step, now)
            } else {
                self.place_step(id, round, step, now)
            };
            waiting |= rest;
        }
        waiting
    }
}

/// What decides when a job's turn comes; `mean` is the mean work of its queue's jobs.
fn rank(id: JobId, job: &Job, mean: f64, now: u64) -> Rank {
    let objective = job.objective();
    let due = job.came.saturating_add(objective);
    let ready = now + job.ahead();
    let tier = match () {
        _ if job.submission.spec.lasts() => 0,
        _ if ready <= due => 0,
        _ if ready <= job.came.saturating_add(objective.saturating_mul(LATE)) => 1,
        _ => 2,
    };
    // Where more is asked for than fits, the order of dues starts each job when it is too late for
    // it. What earns most for the work that is left goes first, so what was begun is finished.
    let credit = CREDIT_BASE * mean + CREDIT_GROWS * job.submission.spec.work();
    let cost = match job.submission.spec.lasts() {
        true => 0,
        false => (COST_SCALE * job.work_left() / credit.max(1.0)) as u64,
    };
    let (priority, missed) = (job.submission.policy.priority, job.longest_missed(id));
    Rank { priority, missed, tier, cost, due, id }
}
