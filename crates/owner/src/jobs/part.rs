//! Hands lasting tasks that find no worker on to cells with room, and takes such tasks over.
//!
//! Jobs that have begun stay, but tasks of theirs that run nowhere may go: when workers leave, their
//! tasks find a full cell while others have room. The owner writes in the job's progress which tasks
//! another cell looks after, and only then puts them into that cell's log, so exactly one cell starts
//! them, whichever owner dies in between. When the job is over, that cell is told in the same way.
//! What came last of a task says who looks after it, so it may come back to a cell that had it.

use std::collections::BTreeMap;

use log::{Level, info, log, warn};

use myrtle_job::{Free, Handed, JobId, Load, Part, PartId, Progress, Round, State, Taken, TaskId};

use crate::jobs::offer::Offer;
use crate::{Cell, Job, Life};

/// How long a task finds no worker, or is missed, before it is handed on, in milliseconds: a little longer
/// than lasting tasks wait before they take of the room kept for short ones.
const WAITED: u64 = 1_700;

/// The share of a cell that its lasting tasks, also those that wait, may ask for once it is given
/// tasks that never ran: below it, tasks of a deployment that is nearly full stay in a cell without room.
const FULL: f64 = 1.0;

impl Cell {
    /// Takes over tasks that another cell has handed on; a repeat changes nothing.
    pub fn take_part(&mut self, id: PartId, part: Part, now: u64, wall: u64) {
        let Part { submission, mut tasks, allowances, crashes } = part;
        if let Err(e) = submission.spec.check() {
            return warn!("event=part-unusable job={} from={} reason=\"{e}\"", id.job, id.from);
        }
        let job = self.jobs.entry(id.job).or_insert_with(|| {
            let rounds = BTreeMap::from([(0, Round::fresh(&submission.spec))]);
            let state = State::Running;
            let progress = Progress { state, rounds, next: 1, guest: true, ..Progress::default() };
            Job::new(submission, progress, now)
        });
        if job.progress.taken.iter().any(|t| t.part == id) {
            return;
        }
        tasks.retain(|t| t.task.job == id.job && job.submission.spec.has(t.task));
        for task in &tasks {
            if let Some(record) = job.progress.task_mut(task.task) {
                record.last = record.last.max(task.last);
                record.saved.clone_from(&task.saved);
            }
            job.turn_has_come(task.task);
        }
        for (task, crashes) in crashes {
            job.progress.crashes.entry(task).or_default().merge(crashes);
            if job.progress.given_up(task) {
                self.doomed.insert(task);
            }
        }
        // A takeover reads old parts again.
        let level = if self.loaded { Level::Info } else { Level::Debug };
        log!(level, "event=tasks-taken job={} tasks={} from={}", id.job, tasks.len(), id.from);
        let tasks = tasks.into_iter().map(|t| t.task).collect();
        job.taken_at = now;
        let turn = job.progress.turn();
        job.progress.taken.push(Taken { part: id, tasks, turn, allowances });
        self.dirty.insert(id.job);
        if self.barred.remove(&id.job).is_some() {
            self.finish(id.job, State::Cancelled, now, wall);
        } else if !self.jobs[&id.job].progress.state.over() {
            self.open.insert(id.job);
        }
    }

    /// A job of which tasks were taken over is over; if they still come, they are not started.
    pub fn take_back(&mut self, id: JobId, now: u64, wall: u64) {
        if !self.cancel(id, now, wall) {
            self.bar(id, now, wall);
        }
    }

    /// Hands a task back to the cell that it came from, which may end the job.
    pub(crate) fn give_back(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        // A cell further on may have given it back to this one.
        let first = job.progress.taken.iter().filter(|t| t.tasks.contains(&task));
        let Some(to) = first.min_by_key(|t| t.turn).map(|t| t.part.from) else {
            return;
        };
        let (tasks, turn) = (vec![task], job.progress.turn());
        let allowances = job.share_out(&tasks, to);
        let handed = Handed { to, tasks, turn, delivered: false, recalled: false, allowances };
        job.progress.handed.push(handed);
        self.dirty.insert(task.job);
    }

    /// Hands on lasting tasks of a job that have found no worker for a while.
    pub(crate) fn hand_on_tasks(&mut self, id: JobId, now: u64) {
        let may_go = |j: &&Job| j.stuck.is_some() && j.submission.spec.repeat.is_none();
        let Some(job) = self.jobs.get(&id).filter(|j| !self.alone && may_go(j)) else {
            return;
        };
        if now < self.waits_since(id, job) + WAITED {
            return;
        }
        let mut waiting: Vec<_> = waiting(id, job, now).collect();
        waiting.sort_by_key(|task| job.missed(*task));
        let mut parts: BTreeMap<u32, Vec<TaskId>> = BTreeMap::new();
        let mut under_way = 0;
        for task in waiting {
            if let Some((to, offer)) = self.claim_elsewhere(task, now) {
                parts.entry(to).or_default().push(task);
                under_way = under_way.max(now + offer.takes());
            }
        }
        if parts.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for (to, tasks) in parts {
            info!("event=tasks-handed-on job={id} tasks={} to={to}", tasks.len());
            let turn = job.progress.turn();
            let allowances = job.share_out(&tasks, to);
            let handed = Handed { to, tasks, turn, delivered: false, recalled: false, allowances };
            job.progress.handed.push(handed);
        }
        job.under_way = job.under_way.max(under_way);
        if job.progress.state == State::Queued {
            // The other cell starts them, and its word on that does not come back.
            job.progress.state = State::Running;
        }
        self.dirty.insert(id);
    }

    /// Since when a job that is stuck waits for room here.
    ///
    /// Of tasks that ran before all the time counts for which they have been missed: when a run is given up, a lease has
    /// passed already, and a wait that only began then would come on top.
    fn waits_since(&self, id: JobId, job: &Job) -> u64 {
        let missed = job.longest_missed(id).max(self.unsure_since());
        job.stuck.map_or(missed, |since| since.min(missed))
    }

    /// Since when the owner waits for a word of what room its workers have; 0 once all of them have answered.
    fn unsure_since(&self) -> u64 {
        let unmet = self.workers.values().any(|w| w.listed && w.life == Life::Unmet);
        if unmet { self.began } else { 0 }
    }

    /// The cell with the most room that has a worker for a task; its room is counted as taken.
    ///
    /// A task that ran before goes wherever a worker has room for it, also where more is asked for than
    /// there is: what waits there never ran, or does not fit. With only cells below `FULL`, such tasks would run nowhere
    /// while all cells are asked for more than they have. Where nothing is free and none is kept for it here, it goes
    /// where short tasks make room: there its turn comes before theirs.
    fn claim_elsewhere(&mut self, task: TaskId, now: u64) -> Option<(u32, Offer)> {
        let job = &self.jobs[&task.job];
        let (service, claim) = (&job.submission.policy.service, job.step(task.step).claim());
        let cpu = f64::from(claim.cpu);
        let again = job.resumes(task);
        let here = self.pass.bookings.has(task);
        let fits = |free: &Free| free.service == *service && claim.fits(&free.room);
        let offer = |load: &Load| match again {
            true if load.again.iter().any(fits) => Some(Offer::Free),
            true if load.soon.iter().any(fits) && !here => Some(Offer::Soon),
            true => None,
            false => (load.free.iter().any(fits) && load.share(cpu) <= FULL).then_some(Offer::Free),
        };
        // What was told before they came brought them here; another cell's word of that time may be as wrong.
        let others = self.others.iter_mut();
        let others = others.filter(|(_, t)| t.believed(now) && t.told_since(job.taken_at));
        let offers = others.filter_map(|(cell, t)| Some((offer(&t.load)?, cell, t)));
        let (offer, cell, told) = offers.min_by(|(a, _, x), (b, _, y)| {
            a.cmp(b).then(x.load.share(cpu).total_cmp(&y.load.share(cpu)))
        })?;
        told.load.claimed += cpu;
        let Load { free, again, soon, .. } = &mut told.load;
        for list in [free, again, soon] {
            if let Some(free) = list.iter_mut().find(|free| fits(free)) {
                free.room = free.room.less(&claim);
            }
        }
        Some((*cell, offer))
    }
}

impl Job {
    /// Notes that the steps before a task's are done: it would not have been started else.
    fn turn_has_come(&mut self, task: TaskId) {
        let Some(round) = self.progress.rounds.get_mut(&task.round) else {
            return;
        };
        for &before in &self.submission.spec.steps[usize::from(task.step)].after {
            let tasks = &mut round.steps[usize::from(before)].tasks;
            tasks.iter_mut().for_each(|task| task.done = true);
        }
    }

    /// Whether tasks that were handed on may not have been started there yet.
    pub(crate) fn handed_lately(&self, now: u64) -> bool {
        now < self.under_way
    }
}

/// The lasting tasks of a job that could run and do not.
pub(crate) fn waiting(id: JobId, job: &Job, now: u64) -> impl Iterator<Item = TaskId> + '_ {
    let round = job.progress.rounds.get(&0).filter(|_| !job.progress.state.over());
    let steps =
        round.into_iter().flat_map(|round| round.steps.iter().zip(0u16..).map(move |s| (round, s)));
    let steps = steps.filter(|(round, (_, step))| {
        let spec = job.step(*step);
        // A label may be known in this cell only.
        let free = spec.lasting && !spec.gang && spec.requires.is_none();
        free && round.ready(&job.submission.spec, usize::from(*step))
    });
    let tasks = steps.flat_map(move |(_, (step, number))| {
        let named = step.tasks.iter().zip(0u16..);
        named.map(move |(t, index)| (TaskId { job: id, round: 0, step: number, index }, t))
    });
    let due = move |task: &TaskId| job.retry.get(task).is_none_or(|&at| at <= now);
    tasks.filter(move |(task, t)| job.waits(*task, t) && due(task)).map(|(task, _)| task)
}
