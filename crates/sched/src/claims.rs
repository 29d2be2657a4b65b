//! Chooses a worker for each pending task: builds the fleet from the fold and queries a placer.

use std::collections::BTreeMap;

use myrtle_base::Room;
use myrtle_cell::{Cell, Health, Job, Op, State, StopReason, TaskId};
use myrtle_place::{Fleet, Machine, Placer, TaskRequest};

/// Most claims proposed at once.
const MAX_CLAIMS: usize = 256;

/// Number of tasks that do not fit after which a round ends, as the rest is unlikely to fit.
const MAX_MISSES: usize = 32;

/// A task preempts only tasks whose price is at most this share of its own.
const PREEMPT_RATIO: f64 = 0.5;

/// Assigns numbers to kinds of tasks.
#[derive(Debug, Default)]
pub struct Kinds {
    numbers: BTreeMap<String, u16>,
}

impl Kinds {
    /// Returns the number of a kind, which stays the same while the process runs.
    pub fn number(&mut self, kind: &str) -> u16 {
        let next = self.numbers.len() as u16;
        *self.numbers.entry(kind.into()).or_insert(next)
    }
}

/// Builds the fleet from the fold; `tails` are tail latencies by worker, relative to the target.
pub fn fleet(cell: &Cell, kinds: &mut Kinds, tails: &BTreeMap<u32, f64>) -> Fleet {
    let mut racks = BTreeMap::new();
    let mut machines = Vec::with_capacity(cell.workers.len());
    for (number, worker) in cell.workers.iter().enumerate() {
        let next = racks.len() as u32;
        let mut machine = Machine {
            room: worker.room,
            free: worker.room,
            rack: *racks.entry(&worker.rack).or_insert(next),
            tail_ratio: tails.get(&(number as u32)).copied().unwrap_or_default(),
            accepting: worker.health == Health::Up && worker.accepts(cell.now),
            ..Machine::default()
        };
        for (_, task, job) in cell.worker_tasks(number as u32) {
            machine.add(&task.reserved, kinds.number(&job.spec.kind));
        }
        machines.push(machine);
    }
    Fleet { machines }
}

/// Returns claims for pending tasks, the dearest first, and a preemption for the first misfit.
pub fn claims<P: Placer>(
    cell: &Cell,
    fleet: &mut Fleet,
    kinds: &mut Kinds,
    placer: &mut P,
) -> Vec<Op> {
    let mut ops = Vec::new();
    let mut misses = 0;
    for (id, task, job) in cell.pending_tasks() {
        if ops.len() >= MAX_CLAIMS || misses >= MAX_MISSES {
            break;
        }
        if cell.now < task.not_before {
            continue;
        }
        let request = TaskRequest {
            room: job.room,
            kind: kinds.number(&job.spec.kind),
            avoid: job.sole_failure().filter(|_| cell.workers.len() > 1).or(task.failed_worker),
            urgent: job.spec.price > 0 && job.spec.long_running(),
            group: id.job,
        };
        match placer.place(fleet, &request) {
            Some(worker) => {
                fleet.machines[worker as usize].add(&request.room, request.kind);
                ops.push(Op::Claim { task: id, attempt: task.attempt + 1, worker });
            }
            None => {
                misses += 1;
                if misses == 1 {
                    ops.extend(preempt(cell, job));
                }
            }
        }
    }
    ops
}

/// Makes room for the job on the worker where that costs least, unless a preemption is under way.
fn preempt(cell: &Cell, job: &Job) -> Vec<Op> {
    let preempting =
        cell.tasks.values().any(|t| matches!(t.state, State::Stopping(_, StopReason::HigherPrice)));
    if preempting {
        return Vec::new();
    }
    let candidates =
        (0..cell.workers.len() as u32).filter_map(|number| preemption(cell, number, job));
    let cheapest = candidates.min_by_key(|(price, _)| *price);
    cheapest.map(|(_, ops)| ops).unwrap_or_default()
}

/// Returns the price and the stops that make room for the job on one worker, if it can be made.
fn preemption(cell: &Cell, number: u32, job: &Job) -> Option<(u64, Vec<Op>)> {
    let worker = &cell.workers[number as usize];
    if worker.health != Health::Up || !worker.accepts(cell.now) || !job.room.fits(&worker.room) {
        return None;
    }
    let limit = (f64::from(job.spec.price) * PREEMPT_RATIO) as u32;
    let mut cheap: Vec<(u32, TaskId, u16, Room)> = cell
        .worker_tasks(number)
        .filter(|(_, t, j)| j.spec.price <= limit && matches!(t.state, State::Running(_)))
        .map(|(id, t, j)| (j.spec.price, id, t.attempt, t.reserved))
        .collect();
    cheap.sort_by_key(|c| c.0);
    let mut free = worker.free();
    let mut price = 0;
    let mut ops = Vec::new();
    for (cost, task, attempt, room) in cheap {
        if job.room.fits(&free) {
            break;
        }
        free += room;
        price += u64::from(cost) + 1;
        ops.push(Op::Stop { task, attempt, reason: StopReason::HigherPrice });
    }
    (job.room.fits(&free) && !ops.is_empty()).then_some((price, ops))
}
