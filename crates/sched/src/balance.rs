//! Derives commands and throttles from a worker's measurements; changes only the policy's state.
//!
//! If a service misses its target, tasks beside it are throttled first and evicted last. Jobs whose
//! tasks use more than they were given are resized for the next attempt, and the cheapest task is
//! evicted before the worker runs out of room.

use myrtle_base::{Millis, Room};
use myrtle_cell::{Cell, Job, Op, State, StopReason, Task, TaskId};
use myrtle_place::{Action, Learned, Neighbour, Relief, Sample};
use myrtle_platform::{Throttle, UsageReport};

use crate::claims::Kinds;
use crate::names::{task_id, task_name};
use crate::reports::evict;

/// Share of a worker's room in use above which a task is evicted.
const MAX_USE: f64 = 0.95;

/// Multiple of a job's room above which the measured use of a task resizes the job.
const GROWTH_LIMIT: f64 = 1.2;

/// Number of the service in the interference model, which treats all services as one.
const SERVICE: u16 = 0;

/// State of the placement policy.
#[derive(Debug)]
pub struct Policy {
    /// Places tasks with an interference model learned from measurements.
    pub placer: Learned,
    /// Numbers of kinds of tasks.
    pub kinds: Kinds,
}

/// What a measurement requires.
#[derive(Debug, Default, PartialEq)]
pub struct Adjustment {
    /// Commands for the log.
    pub ops: Vec<Op>,
    /// A task to throttle or to run at full speed again.
    pub throttle: Option<Throttle>,
}

/// Derives what a measurement of worker `number` requires; `tail` is tail latency over target.
pub fn adjust(
    cell: &Cell,
    centre: &str,
    number: u32,
    usage: &UsageReport,
    tail: Option<f64>,
    policy: &mut Policy,
    relief: &mut Relief,
) -> Adjustment {
    let mut result = Adjustment { ops: resize_ops(cell, centre, usage), throttle: None };
    result.ops.extend(pressure_op(cell, centre, number, usage));
    let Some(tail) = tail else { return result };
    let room = cell.workers[number as usize].room;
    let share = |task: &Task| f64::from(task.reserved.cpu) / f64::from(room.cpu.max(1));
    let mut sample = Sample { service: SERVICE, shares: Vec::new(), tail_ratio: tail };
    for (_, task, job) in running(cell, number) {
        sample.shares.push((policy.kinds.number(&job.spec.kind), share(task)));
    }
    policy.placer.update(&sample);
    let mut neighbours = Vec::new();
    for (id, task, job) in running(cell, number) {
        let kind = policy.kinds.number(&job.spec.kind);
        let interference = policy.placer.costs().cost(SERVICE, kind) * share(task);
        neighbours.push(neighbour(cell, id, task, job, interference));
    }
    match relief.observe(tail, &neighbours) {
        Some(Action::Throttle(id, percent)) => {
            result.throttle = throttle(cell, centre, id, percent)
        }
        Some(Action::Lift(id)) => result.throttle = throttle(cell, centre, id, 100),
        Some(Action::Evict(id)) => {
            result.ops.extend(evict(cell, unpack(id), StopReason::Interference))
        }
        None => {}
    }
    result
}

/// Returns resizes of jobs whose tasks use more than they were given.
fn resize_ops(cell: &Cell, centre: &str, usage: &UsageReport) -> Vec<Op> {
    let mut ops = Vec::new();
    for used in &usage.tasks {
        let Some(id) = task_id(centre, &used.task) else { continue };
        let Some(job) = cell.jobs.get(&id.job) else { continue };
        let beyond = |a: u32, b: u32| f64::from(a) > f64::from(b) * GROWTH_LIMIT;
        let larger = beyond(used.room.cpu, job.room.cpu) || beyond(used.room.mem, job.room.mem);
        let known = ops.iter().any(|op| matches!(op, Op::Resize { job, .. } if *job == id.job));
        if larger && !known && used.room.fits(&cell.largest()) {
            ops.push(Op::Resize { job: id.job, room: used.room });
        }
    }
    ops
}

/// Evicts the cheapest task of a worker that is about to run out of room, unless one is stopping.
fn pressure_op(cell: &Cell, centre: &str, number: u32, usage: &UsageReport) -> Option<Op> {
    let used = usage.tasks.iter().fold(Room::default(), |sum, t| sum + t.room);
    let stopping =
        cell.worker_tasks(number).any(|(_, t, _)| matches!(t.state, State::Stopping(..)));
    if used.share(&cell.workers[number as usize].room) <= MAX_USE || stopping {
        return None;
    }
    let reported = usage.tasks.iter().filter_map(|t| task_id(centre, &t.task));
    let there = reported.filter(|id| cell.workers[number as usize].tasks.contains(id));
    let cheapest = there.min_by_key(|id| {
        let job = &cell.jobs[&id.job];
        (job.spec.long_running(), job.spec.price, std::cmp::Reverse(cell.tasks[id].since))
    })?;
    evict(cell, cheapest, StopReason::Pressure)
}

fn running(cell: &Cell, number: u32) -> impl Iterator<Item = (TaskId, &Task, &Job)> {
    cell.worker_tasks(number).filter(|(_, t, _)| matches!(t.state, State::Running(_)))
}

fn neighbour(cell: &Cell, id: TaskId, task: &Task, job: &Job, interference: f64) -> Neighbour {
    Neighbour {
        id: pack(id),
        price: job.spec.price,
        slowdown: interference,
        // Frequent checkpoints limit the loss, here to 60 s, even for a longer run.
        unsaved: cell.now.since(task.since).min(Millis(60_000)),
        watcher: job.spec.long_running(),
    }
}

fn throttle(cell: &Cell, centre: &str, id: u64, percent: u8) -> Option<Throttle> {
    let id = unpack(id);
    let attempt = cell.tasks.get(&id)?.attempt;
    Some(Throttle { task: task_name(centre, id), attempt, percent })
}

fn pack(id: TaskId) -> u64 {
    u64::from(id.job) << 32 | u64::from(id.index)
}

fn unpack(id: u64) -> TaskId {
    TaskId::new((id >> 32) as u32, id as u32)
}
