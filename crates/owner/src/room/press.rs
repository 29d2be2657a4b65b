//! Whether a cell is short of room, and what follows.

use log::info;

use myrtle_base::Room;
use myrtle_job::{StepSpec, TaskId};

use crate::room::demand::ShortDemand;
use crate::room::fair::short_share;
use crate::room::give_way::{Candidate, choose};
use crate::room::in_use::{FIRST_CHOICE, KEPT_FOR};
use crate::{Cell, Job, Stage, Worker};

/// The time between two reviews of the cell's room, in milliseconds.
const REVIEW_EVERY: u64 = 100;

/// The time between two sums of what long-running tasks ask for, in milliseconds.
const SUM_EVERY: u64 = 400;

/// The downtime from which a long-running task takes room as soon as short tasks leave it, in
/// milliseconds: users accept 9 s, and its start takes a part of that.
const LONG_DOWN: u64 = 4_500;

/// How long a short task waits before long-running tasks give way, as a part of its objective: most
/// waits end sooner by themselves.
const WAIT_DIVISOR: u64 = 8;

/// The part of a long-running step that gives way at a time where its client states no disruption
/// budget: one task in eight.
const SPARE_DIVISOR: usize = 8;

/// How long a task that gave way may not do so again, in milliseconds.
const GIVE_WAY_ONCE_IN: u64 = 15_000;

/// The time until the room of a stopped task can be used, beyond the time of the stop itself, in
/// milliseconds: its end has to be reported.
const STOP_MARGIN: u64 = 300;

/// The longest time from the order to stop a task until its end is known, in milliseconds.
const STOPPED_WITHIN: u64 = 3_000;

/// The largest number of tasks that give way in one review: the next one sees what came of it.
const MAX_STOPS: usize = 12;

/// What is known of the room that short tasks need.
#[derive(Debug, Default, Clone)]
pub(crate) struct RoomPress {
    /// The demand of short jobs.
    pub(crate) demand: ShortDemand,
    /// What long-running tasks ask for, in thousandths of a core, and when that was summed up.
    long_running: (f64, u64),
    /// The fair share of short tasks, in thousandths of a core.
    share: f64,
    /// What short tasks use or have kept, in thousandths of a core.
    used: f64,
    /// Whether all that is asked for is more than the cell's room.
    short_of_room: bool,
    /// Whether long-running tasks alone ask for more.
    overfull: bool,
    /// Short tasks that found no room in this pass: how many, and what they claim.
    unmet: Unmet,
    reviewed_at: u64,
}

/// Short tasks without room.
#[derive(Debug, Default, Clone, Copy)]
struct Unmet {
    tasks: u32,
    /// The sum of their claims, in thousandths of a core.
    cpu: u32,
    /// The least urgent priority among them.
    priority: u32,
}

impl RoomPress {
    /// What short tasks use or keep, and their fair share, in cores.
    pub(crate) fn cores(&self) -> (f64, f64) {
        (self.used / 1_000.0, self.share / 1_000.0)
    }

    /// Whether short tasks keep the room that they use: the cell is short of room, and they use no
    /// more than their share.
    ///
    /// An owner that has not heard from its workers yet knows of no such room.
    pub(crate) fn keeps(&self) -> bool {
        self.short_of_room && self.used > 0.0 && self.used <= self.share
    }

    /// Whether they keep it from all long-running tasks: these don't fit into the cell in any case.
    ///
    /// Where they fit, those that ran before and were lost come first; only those that gave way to
    /// short tasks wait for them.
    pub(crate) fn keeps_from_all(&self) -> bool {
        self.keeps() && self.overfull
    }

    /// How long room is kept before a long-running task that has been down since then, in
    /// milliseconds; `gave_way` says whether it is down because it gave way.
    pub(crate) fn kept_for(&self, down_since: u64, gave_way: bool, now: u64) -> u64 {
        match self.keeps_from_all() || gave_way && self.keeps() {
            true if now < down_since.saturating_add(LONG_DOWN) => KEPT_FOR,
            true => FIRST_CHOICE,
            false => 0,
        }
    }
}

impl Cell {
    /// Notes tasks of a short step that found no room.
    pub(crate) fn note_unmet(&mut self, task: TaskId, tasks: usize, now: u64) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let spec = job.step(task.step);
        let special = spec.requires.is_some() || spec.worker_limit > 0 || spec.same_rack;
        let waits = job.waited(now) >= job.objective() / WAIT_DIVISOR;
        if !is_short(spec) || special || !waits || !job.may_earn(now) {
            return;
        }
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        let unmet = &mut self.room_press.unmet;
        unmet.tasks = unmet.tasks.saturating_add(tasks);
        unmet.cpu = unmet.cpu.saturating_add(spec.claim().cpu.saturating_mul(tasks));
        unmet.priority = unmet.priority.max(job.submission.policy.priority);
    }

    /// Reviews who uses the cell's room, if that is due.
    pub(crate) fn review_room(&mut self, now: u64) {
        if now < self.room_press.reviewed_at + REVIEW_EVERY {
            return;
        }
        self.room_press.reviewed_at = now;
        self.review_queues(now);
        if now >= self.room_press.long_running.1 + SUM_EVERY {
            self.room_press.long_running = (self.total_load().claimed, now);
        }
        let (mut room, mut used) = (0.0, 0.0);
        for worker in self.workers.values_mut().filter(|w| w.accepts_work(now)) {
            worker.short_use.note(worker.active_runs.sums().short_cpu, now);
            room += worker.size();
            used += f64::from(worker.short_use.peak(now));
        }
        let long_running = self.room_press.long_running.0;
        let demand = self.room_press.demand.room(u32::MAX, now).max(used);
        self.room_press.share = short_share(room, long_running, demand);
        self.room_press.used = used;
        self.room_press.short_of_room = long_running + demand > room;
        self.room_press.overfull = long_running > room;
    }

    /// Stops long-running tasks for short ones that found no room in the pass that ends now.
    pub(crate) fn give_way(&mut self, now: u64) {
        let Unmet { tasks, cpu, priority } = std::mem::take(&mut self.room_press.unmet);
        let RoomPress { share, used, .. } = self.room_press;
        if tasks == 0 || used >= share {
            return;
        }
        let need = f64::from(cpu).min(share - used) as u32;
        let mut chosen = choose(self.may_give_way(priority, now), cpu / tasks, need);
        chosen.truncate(MAX_STOPS);
        if chosen.is_empty() {
            return;
        }
        info!(
            "event=gives-way cell={} tasks={} waiting={tasks} need={need} share={share:.0} \
             used={used:.0}",
            self.number,
            chosen.len()
        );
        for Candidate { task, run, worker, claim, .. } in chosen {
            self.counts.gave_way += 1;
            self.stop_run(&worker, task, run, now);
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.gave_way.insert(task, now);
            }
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.short_use.set_aside(claim, now + self.limits.max_stop + STOP_MARGIN);
            }
        }
    }

    /// The long-running tasks of a priority, or of less urgent ones, that may be stopped now.
    fn may_give_way(&self, priority: u32, now: u64) -> Vec<Candidate> {
        let open = self.workers.iter().filter(|(_, w)| w.accepts_work(now) && !w.leaving);
        let runs = open.flat_map(|(incarnation, worker)| {
            worker
                .active_runs
                .iter()
                .map(move |(task, active)| (incarnation, worker, *task, active))
        });
        let long_running = runs.filter(|(.., active)| {
            active.long_running && active.stage == Stage::Running && active.percent >= 100.0
        });
        let allowed = long_running.filter(|(.., task, _)| {
            self.jobs.get(&task.job).is_some_and(|job| {
                job.submission.policy.priority >= priority
                    && job.gave_way.get(task).is_none_or(|&at| now >= at + GIVE_WAY_ONCE_IN)
            }) && self.may_spare(*task, now)
        });
        let candidates = allowed.map(|(incarnation, worker, task, active)| Candidate {
            task,
            run: active.run,
            worker: incarnation.clone(),
            claim: active.claim.cpu,
            free: worker.free().cpu,
            fillers: worker.filler_demand() as u32,
        });
        candidates.collect()
    }
}

impl Cell {
    /// Whether one more task of a long-running step may be unavailable for the sake of others: within
    /// the client's disruption budget or, where it states none, a small part of the step.
    fn may_spare(&self, task: TaskId, now: u64) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        if job.disruption_budget(task.step).is_some() {
            return self.may_move(task, now);
        }
        let tasks = usize::from(job.step(task.step).count);
        (self.unavailable(task, now) + 1) * SPARE_DIVISOR <= tasks
    }
}

impl Worker {
    /// The free room for long-running tasks; what short tasks have used is kept for `kept_for`
    /// milliseconds.
    pub(crate) fn free_for_long(&self, kept_for: u64, now: u64) -> Room {
        let mut free = self.free();
        let kept = self.short_use.kept(self.active_runs.sums().short_cpu, kept_for, now);
        free.cpu = free.cpu.saturating_sub(kept);
        free
    }
}

/// Whether tasks of a step claim processors for a short time.
pub(crate) fn is_short(spec: &StepSpec) -> bool {
    !spec.filler && !spec.long_running
}

impl Job {
    /// Whether a long-running task is down because it gave way to short ones.
    pub(crate) fn yields(&self, task: TaskId) -> bool {
        let down_since = self.down_since(task);
        let gave_way = self.gave_way.get(&task);
        gave_way.is_some_and(|&at| (at..at + STOPPED_WITHIN).contains(&down_since))
    }

    /// Whether the job can still be done within the time in which it earns something.
    pub(crate) fn may_earn(&self, now: u64) -> bool {
        let latest = self.arrived_at.saturating_add(self.objective().saturating_mul(3));
        now.saturating_add(self.time_left()) <= latest
    }
}
