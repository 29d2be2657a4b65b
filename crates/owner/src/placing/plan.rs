//! Orders the jobs with waiting tasks by urgency and places their tasks.

use myrtle_job::{JobId, JobSpec, MAX_JOB_TASKS, Round, TaskId};

use crate::{Cell, Job};

/// The multiple of its objective up to which a late job still earns something; the platform's
/// figure.
const LATE_FACTOR: u64 = 3;

/// The part of a job's credit that doesn't grow with its work, in jobs of mean work; the platform's
/// figure.
const CREDIT_FIXED: f64 = 0.3;

/// The part that grows with its work.
const CREDIT_PER_WORK: f64 = 0.7;

/// The most repetitions of a job that are open at a time; each needs a record, whether its tasks have begun or not.
const MAX_ROUNDS: usize = 256;

/// The scale of costs in ranks, which are integers.
const COST_SCALE: f64 = 1e6;

/// The order in which jobs are placed; the lowest rank comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u32,
    /// Earliest start of the downtime of a task that ran before: ordered by arrival, a task stopped
    /// a moment ago would come before one that has waited for long.
    down_since: u64,
    /// 0 while the job can be in time, 1 while it can be late, 2 once it earns nothing.
    tier: u8,
    /// The work left for each credit; 0 for long-running jobs.
    cost: u64,
    /// The deadline, by the steady clock.
    due: u64,
    id: JobId,
}

impl Cell {
    /// Begins repetitions that are due at time of day `wall`; of those of a job that overlap, only so many are open.
    pub fn begin_rounds(&mut self, now: u64, wall: u64) {
        for id in self.repeating.clone() {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let spec = &job.submission.spec;
            let Some(repeat) = spec.repeat else {
                continue;
            };
            while job.progress.next_round < repeat.count
                && wall >= repeat.due(job.progress.next_round)
                && job.progress.rounds.len() < max_open(spec)
            {
                job.progress.rounds.insert(job.progress.next_round, Round::fresh(spec));
                job.account.begin_round(job.progress.next_round, now);
                job.progress.next_round += 1;
                self.open.insert(id);
                self.dirty.insert(id);
            }
            if job.progress.next_round >= repeat.count {
                self.repeating.remove(&id);
            }
        }
    }

    /// Places waiting tasks in one slice of a pass over all of them; true if the pass continues
    /// with the next call.
    pub fn plan(&mut self, now: u64) -> bool {
        if !self.loaded {
            return false;
        }
        self.forecast_loads(now);
        self.review_health(now);
        self.review_queues(now);
        if self.pass.considered.is_empty() {
            self.unplaceable.clear();
        }
        self.pass.begin_slice();
        for rank in self.ranks(now) {
            if self.pass.exhausted() {
                return true;
            }
            if self.defer_job(rank.id, now) {
                self.pass.considered.insert(rank.id);
                continue;
            }
            let waits = self.place_job(rank.id, now);
            if self.pass.interrupted {
                return true;
            }
            self.pass.considered.insert(rank.id);
            if waits {
                self.reserve_room(rank.id, now);
                self.transfer_tasks(rank.id, now);
            } else {
                self.open.remove(&rank.id);
                self.clear_waiting(rank.id);
            }
        }
        self.pass.end();
        false
    }

    /// The open jobs not yet considered in this pass, the most urgent first.
    fn ranks(&self, now: u64) -> Vec<Rank> {
        let due = self.open.difference(&self.pass.considered);
        let due = due.filter_map(|id| Some((*id, self.jobs.get(id)?)));
        let mean = |job: &Job| self.mean_work.mean(&job.submission.policy.queue);
        let mut ranks: Vec<Rank> = due.map(|(id, job)| rank(id, job, mean(job), now)).collect();
        ranks.sort_unstable();
        ranks
    }

    /// Places the tasks of a job that can be placed; false if none of it waits.
    fn place_job(&mut self, id: JobId, now: u64) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.progress.state.over()) else {
            return false;
        };
        let spec = &job.submission.spec;
        let mut ready: Vec<(u32, u16)> = Vec::new();
        for (&number, round) in &job.progress.rounds {
            for (at, step) in round.steps.iter().enumerate() {
                let copies = spec.steps[at].speculative;
                let mut groups = step.tasks.groups().filter(|(_, t)| !t.done);
                let wanted = groups.any(|(mut indices, t)| {
                    let named = |index| TaskId { job: id, round: number, step: at as u16, index };
                    copies || indices.any(|index| job.waits(named(index as u16), t))
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

/// The most repetitions of a job that are open at a time; the next ones begin as these end.
fn max_open(spec: &JobSpec) -> usize {
    (MAX_JOB_TASKS / spec.tasks().max(1)).clamp(1, MAX_ROUNDS)
}

/// The rank of a job; `mean` is the mean work of its queue's jobs.
fn rank(id: JobId, job: &Job, mean: f64, now: u64) -> Rank {
    let objective = job.objective();
    let due = job.arrived_at.saturating_add(objective);
    let ready = now + job.time_left();
    let tier = match () {
        _ if job.submission.spec.has_long_running() => 0,
        _ if ready <= due => 0,
        _ if job.earns_at(ready, objective) => 1,
        _ => 2,
    };
    // When demand exceeds capacity, ordering by deadline starts each job when it is too late for
    // it. Ordering by credit for the remaining work finishes jobs that have begun.
    let credit = CREDIT_FIXED * mean + CREDIT_PER_WORK * job.submission.spec.work();
    let cost = match job.submission.spec.has_long_running() {
        true => 0,
        false => (COST_SCALE * job.work_left() / credit.max(1.0)) as u64,
    };
    let (priority, down_since) = (job.submission.policy.priority, job.earliest_down(id));
    Rank { priority, down_since, tier, cost, due, id }
}

impl Job {
    /// Whether it still earns something if it is done at `ready`; `objective` is its own.
    pub(crate) fn earns_at(&self, ready: u64, objective: u64) -> bool {
        ready <= self.arrived_at.saturating_add(objective.saturating_mul(LATE_FACTOR))
    }
}
