//! Transfers long-running tasks that find no worker to cells with room, and receives such tasks.
//!
//! Load pattern: when workers leave, their tasks find a full cell while others have room. A job
//! that has begun stays, but its tasks that run nowhere may be transferred. The owner writes in the
//! job's progress which tasks go to another cell, and only then puts them into that cell's log, so
//! exactly one cell starts them, whichever owner fails in between. When the job is over, that cell
//! is notified in the same way. The latest transfer of a task decides which cell runs it, so it may
//! return to a cell that had it.

use std::collections::BTreeMap;

use log::{Level, info, log, warn};

use myrtle_job::{
    FreeRoom, IncomingTransfer, JobId, Load, OutgoingTransfer, Progress, Round, State, TaskId,
    Transfer, TransferId,
};

use crate::jobs::offer::Offer;
use crate::{Cell, Job, Presence};

/// How long a task finds no worker, or is down, before it is transferred, in milliseconds: a little
/// longer than long-running tasks wait before they use the room left to short ones.
const TRANSFER_AFTER: u64 = 1_700;

/// The highest load of a cell by long-running tasks, running or waiting, up to which it receives
/// tasks that never ran: with a lower limit, tasks of a deployment that is nearly full stay in a
/// cell without room.
const MAX_LOAD: f64 = 1.0;

impl Cell {
    /// Records an incoming transfer; a repeat changes nothing.
    pub fn receive_transfer(&mut self, id: TransferId, transfer: Transfer, now: u64, wall: u64) {
        let Transfer { submission, mut tasks, budgets, crashes, unbegun_losses } = transfer;
        if let Err(e) = submission.spec.check() {
            return warn!("event=part-unusable job={} from={} reason=\"{e}\"", id.job, id.from);
        }
        let job = self.jobs.entry(id.job).or_insert_with(|| {
            let rounds = BTreeMap::from([(0, Round::fresh(&submission.spec))]);
            let state = State::Running;
            let progress = Progress {
                state,
                rounds,
                next_round: 1,
                incoming_only: true,
                ..Progress::default()
            };
            Job::new(submission, progress, now)
        });
        if job.progress.incoming.iter().any(|t| t.transfer == id) {
            return;
        }
        tasks.retain(|t| t.task.job == id.job && job.submission.spec.has_task(t.task));
        for task in &tasks {
            if let Some(record) = job.progress.task_mut(task.task) {
                record.last_run = record.last_run.max(task.last_run);
                record.checkpoint.clone_from(&task.checkpoint);
            }
            job.mark_ready(task.task);
        }
        for (task, losses) in unbegun_losses {
            let known = job.progress.unbegun_losses.entry(task).or_default();
            *known = losses.max(*known);
        }
        for (task, crashes) in crashes {
            job.progress.crashes.entry(task).or_default().merge(crashes);
            if job.progress.given_up(task) {
                self.given_up_tasks.insert(task);
            }
        }
        // A takeover reads old transfers again.
        let level = if self.loaded { Level::Info } else { Level::Debug };
        log!(level, "event=tasks-taken job={} tasks={} from={}", id.job, tasks.len(), id.from);
        let tasks = tasks.into_iter().map(|t| t.task).collect();
        job.received_at = now;
        let seq = job.progress.next_seq();
        job.progress.incoming.push(IncomingTransfer { transfer: id, tasks, seq, budgets });
        self.dirty.insert(id.job);
        if self.early_cancels.remove(&id.job).is_some() {
            self.finish(id.job, State::Cancelled, now, wall);
        } else if !self.jobs[&id.job].progress.state.over() {
            self.open.insert(id.job);
        }
    }

    /// Cancels the transferred tasks of a job that is over; a transfer that arrives later is not
    /// started.
    pub fn cancel_transferred(&mut self, transfer: TransferId, now: u64, wall: u64) {
        let TransferId { job: id, .. } = transfer;
        self.note_recall(transfer);
        if !self.cancel(id, now, wall) {
            self.cancel_early(id, now, wall);
        }
    }

    /// Returns a task to the cell that it first came from, which has the authority to end the job.
    pub(crate) fn return_task(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        // A cell that received it later may have returned it to this one.
        let origin = job.progress.incoming.iter().filter(|t| t.tasks.contains(&task));
        let Some(to) = origin.min_by_key(|t| t.seq).map(|t| t.transfer.from) else {
            return;
        };
        let (tasks, seq) = (vec![task], job.progress.next_seq());
        let budgets = job.split_budget(&tasks, to);
        let outgoing =
            OutgoingTransfer { to, tasks, seq, delivered: false, recalled: false, budgets };
        job.progress.outgoing.push(outgoing);
        self.dirty.insert(task.job);
    }

    /// Transfers long-running tasks of a job that have found no worker for a while.
    pub(crate) fn transfer_tasks(&mut self, id: JobId, now: u64) {
        let may_transfer =
            |j: &&Job| j.waiting_since.is_some() && j.submission.spec.repeat.is_none();
        let Some(job) = self.jobs.get(&id).filter(|j| !self.only_cell && may_transfer(j)) else {
            return;
        };
        if now < self.waits_since(id, job) + TRANSFER_AFTER {
            return;
        }
        let mut waiting: Vec<_> = waiting(id, job, now).collect();
        waiting.sort_by_key(|task| job.down_since(*task));
        let mut transfers: BTreeMap<u32, Vec<TaskId>> = BTreeMap::new();
        let mut transfer_until = 0;
        for task in waiting {
            if let Some((to, offer)) = self.choose_cell(task, now) {
                transfers.entry(to).or_default().push(task);
                transfer_until = transfer_until.max(now + offer.delay());
            }
        }
        if transfers.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for (to, tasks) in transfers {
            info!("event=tasks-handed-on job={id} tasks={} to={to}", tasks.len());
            let seq = job.progress.next_seq();
            let budgets = job.split_budget(&tasks, to);
            let outgoing =
                OutgoingTransfer { to, tasks, seq, delivered: false, recalled: false, budgets };
            job.progress.outgoing.push(outgoing);
        }
        job.transfer_until = job.transfer_until.max(transfer_until);
        if job.progress.state == State::Queued {
            // The other cell starts them and doesn't report it back.
            job.progress.state = State::Running;
        }
        self.dirty.insert(id);
    }

    /// Since when a job with waiting tasks waits for room here.
    ///
    /// For tasks that ran before, the whole downtime counts: a run is given up only after its lease
    /// has expired, and a wait that began then would be added to that.
    fn waits_since(&self, id: JobId, job: &Job) -> u64 {
        let down_since = job.earliest_down(id).max(self.unconfirmed_since());
        job.waiting_since.map_or(down_since, |since| since.min(down_since))
    }

    /// Since when the owner waits for first replies about its workers' room; 0 once all of them
    /// have answered.
    fn unconfirmed_since(&self) -> u64 {
        let unmet = self.workers.values().any(|w| w.listed && w.presence == Presence::Unreached);
        if unmet { self.began_at } else { 0 }
    }

    /// The cell with the most room that has a worker for a task; the room is subtracted from its
    /// reported load.
    ///
    /// A task that ran before goes wherever a worker has room for it, also where demand exceeds
    /// capacity: tasks waiting there never ran, or don't fit. Below `MAX_LOAD` only, such tasks
    /// would run nowhere while the demand on all cells exceeds their capacity. Where no room is
    /// free and none is reserved for it here, it goes where short tasks will end soon: there it
    /// comes before them.
    fn choose_cell(&mut self, task: TaskId, now: u64) -> Option<(u32, Offer)> {
        let job = &self.jobs[&task.job];
        let (service, claim) = (&job.submission.policy.service, job.step(task.step).claim());
        let cpu = f64::from(claim.cpu);
        let resumed = job.resumes(task);
        let reserved = self.pass.reservations.has(task);
        let fits = |free: &FreeRoom| free.service == *service && claim.fits(&free.room);
        let offer = |l: &Load| match resumed {
            true if l.restart_free.iter().any(fits) => Some(Offer::Now),
            true if l.soon_free.iter().any(fits) && !reserved => Some(Offer::Soon),
            true => None,
            false => (l.free.iter().any(fits) && l.share(cpu) <= MAX_LOAD).then_some(Offer::Now),
        };
        // Loads reported before the tasks arrived led to their transfer here; other reports of that
        // time may be as wrong.
        let others = self.cell_loads.iter_mut();
        let others = others.filter(|(_, t)| t.is_recent(now) && t.reported_since(job.received_at));
        let offers = others.filter_map(|(cell, t)| Some((offer(&t.load)?, cell, t)));
        let (offer, cell, report) = offers.min_by(|(a, _, x), (b, _, y)| {
            a.cmp(b).then(x.load.share(cpu).total_cmp(&y.load.share(cpu)))
        })?;
        report.load.claimed += cpu;
        let Load { free, restart_free, soon_free, .. } = &mut report.load;
        for list in [free, restart_free, soon_free] {
            if let Some(free) = list.iter_mut().find(|free| fits(free)) {
                free.room = free.room.minus(&claim);
            }
        }
        Some((*cell, offer))
    }
}

impl Job {
    /// Marks the steps before a task's as done: its start in another cell required that.
    fn mark_ready(&mut self, task: TaskId) {
        let Some(round) = self.progress.rounds.get_mut(&task.round) else {
            return;
        };
        for &before in &self.submission.spec.steps[usize::from(task.step)].after {
            let tasks = &mut round.steps[usize::from(before)].tasks;
            tasks.iter_mut().for_each(|task| task.done = true);
        }
    }

    /// Whether transferred tasks may not have been started yet.
    pub(crate) fn transfer_pending(&self, now: u64) -> bool {
        now < self.transfer_until
    }
}

/// The long-running tasks of a job that are ready and not running here.
pub(crate) fn waiting(id: JobId, job: &Job, now: u64) -> impl Iterator<Item = TaskId> + '_ {
    let round = job.progress.rounds.get(&0).filter(|_| !job.progress.state.over());
    let steps =
        round.into_iter().flat_map(|round| round.steps.iter().zip(0u16..).map(move |s| (round, s)));
    let steps = steps.filter(|(round, (_, step))| {
        let spec = job.step(*step);
        // Other cells may not have the label.
        let free = spec.long_running && !spec.gang && spec.requires.is_none();
        free && round.ready(&job.submission.spec, usize::from(*step))
    });
    let tasks = steps.flat_map(move |(_, (step, number))| {
        let numbered = step.tasks.iter().zip(0u16..);
        numbered.map(move |(t, index)| (TaskId { job: id, round: 0, step: number, index }, t))
    });
    let due = move |task: &TaskId| job.retry_at.get(task).is_none_or(|&at| at <= now);
    tasks.filter(move |(task, t)| job.waits(*task, t) && due(task)).map(|(task, _)| task)
}
