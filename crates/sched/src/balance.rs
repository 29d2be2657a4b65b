//! What follows from a worker's measurements: pure but for the policy's own memory.
//!
//! A service beyond its target makes tasks beside it give way, throttled first and evicted last.
//! Tasks that use more than they were given are declared larger for their next attempt, and the
//! cheapest goes before the worker runs out.

use myrtle_base::{Millis, Room};
use myrtle_cell::{Cell, Job, Op, State, Task, TaskId, Why};
use myrtle_place::{Action, Learned, Neighbour, Relief, Sample};
use myrtle_platform::{Throttle, UsageReport};

use crate::claims::Kinds;
use crate::names::{task_id, task_name};
use crate::reports::evict;

/// The part of a worker that may be used before a task has to go.
const FULL: f64 = 0.95;

/// Measured use above this multiple of what was given corrects the job's room.
const GROWN: f64 = 1.2;

/// The number of the one service that the policy tells apart today.
const SERVICE: u16 = 0;

/// What the policy remembers.
#[derive(Debug)]
pub struct Policy {
    /// Places tasks and learns what they cost.
    pub placer: Learned,
    /// The numbers of kinds.
    pub kinds: Kinds,
}

/// What to do after a measurement.
#[derive(Debug, Default, PartialEq)]
pub struct Measures {
    /// Commands for the log.
    pub ops: Vec<Op>,
    /// Tasks to slow down or to let run freely.
    pub throttle: Option<Throttle>,
}

/// Weighs a measurement of worker `no`; `tail` is its service's against the target.
pub fn weigh(
    cell: &Cell,
    centre: &str,
    no: u32,
    usage: &UsageReport,
    tail: Option<f64>,
    policy: &mut Policy,
    relief: &mut Relief,
) -> Measures {
    let mut measures = Measures { ops: grown(cell, centre, usage), throttle: None };
    measures.ops.extend(pressed(cell, centre, no, usage));
    let Some(tail) = tail else { return measures };
    let room = cell.workers[no as usize].room;
    let part = |task: &Task| f64::from(task.given.cpu) / f64::from(room.cpu.max(1));
    let mut sample = Sample { service: SERVICE, shares: Vec::new(), tail_ratio: tail };
    for (_, task, job) in running(cell, no) {
        sample.shares.push((policy.kinds.number(&job.spec.kind), part(task)));
    }
    policy.placer.update(&sample);
    let mut neighbours = Vec::new();
    for (id, task, job) in running(cell, no) {
        let kind = policy.kinds.number(&job.spec.kind);
        let slowdown = policy.placer.costs().cost(SERVICE, kind) * part(task);
        neighbours.push(neighbour(cell, id, task, job, slowdown));
    }
    match relief.observe(tail, &neighbours) {
        Some(Action::Throttle(id, percent)) => {
            measures.throttle = throttle(cell, centre, id, percent)
        }
        Some(Action::Lift(id)) => measures.throttle = throttle(cell, centre, id, 100),
        Some(Action::Evict(id)) => measures.ops.extend(evict(cell, unpack(id), Why::Interference)),
        None => {}
    }
    measures
}

/// Jobs whose tasks use more than they were given.
fn grown(cell: &Cell, centre: &str, usage: &UsageReport) -> Vec<Op> {
    let mut ops = Vec::new();
    for used in &usage.tasks {
        let Some(id) = task_id(centre, &used.task) else { continue };
        let Some(job) = cell.jobs.get(&id.job) else { continue };
        let beyond = |a: u32, b: u32| f64::from(a) > f64::from(b) * GROWN;
        let larger = beyond(used.room.cpu, job.room.cpu) || beyond(used.room.mem, job.room.mem);
        let known = ops.iter().any(|op| matches!(op, Op::Resize { job, .. } if *job == id.job));
        if larger && !known && used.room.fits(&cell.largest()) {
            ops.push(Op::Resize { job: id.job, room: used.room });
        }
    }
    ops
}

/// The cheapest task of a worker that is about to run out, unless one is going already.
fn pressed(cell: &Cell, centre: &str, no: u32, usage: &UsageReport) -> Option<Op> {
    let used = usage.tasks.iter().fold(Room::default(), |sum, t| sum + t.room);
    let going = cell.tasks_on(no).any(|(_, t, _)| matches!(t.state, State::Stopping(..)));
    if used.share(&cell.workers[no as usize].room) <= FULL || going {
        return None;
    }
    let reported = usage.tasks.iter().filter_map(|t| task_id(centre, &t.task));
    let there = reported.filter(|id| cell.workers[no as usize].tasks.contains(id));
    let cheapest = there.min_by_key(|id| {
        let job = &cell.jobs[&id.job];
        (job.spec.watcher(), job.spec.price, std::cmp::Reverse(cell.tasks[id].since))
    })?;
    evict(cell, cheapest, Why::Pressure)
}

fn running(cell: &Cell, no: u32) -> impl Iterator<Item = (TaskId, &Task, &Job)> {
    cell.tasks_on(no).filter(|(_, t, _)| matches!(t.state, State::Running(_)))
}

fn neighbour(cell: &Cell, id: TaskId, task: &Task, job: &Job, slowdown: f64) -> Neighbour {
    Neighbour {
        id: pack(id),
        price: job.spec.price,
        slowdown,
        // Checkpoints are frequent: at most the run so far is lost.
        unsaved: cell.now.since(task.since).min(Millis(60_000)),
        watcher: job.spec.watcher(),
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
