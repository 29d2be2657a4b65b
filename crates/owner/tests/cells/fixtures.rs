//! The workers, owners and jobs that tests begin with, and filters of orders.

use myrtle_base::Room;
use myrtle_job::{
    Incarnation, JobId, JobSpec, Listing, Policy, StepSpec, Submission, TaskId, WorkerRuns,
};
use myrtle_owner::{Cell, Order, TimeLimits};

use super::WORKERS;

/// The job that fills the first cell.
pub const JOB: JobId = JobId(7);

/// The start time of the first incarnation of each worker.
const FIRST: u64 = 1;

/// The first incarnation of a worker.
pub fn name(cell: usize, worker: u16) -> Incarnation {
    Incarnation::new(format!("w{cell}-{worker}"), FIRST)
}

/// The first incarnation of the same worker.
pub fn first_of(incarnation: &Incarnation) -> Incarnation {
    incarnation.with_start(FIRST)
}

/// The listing of a worker of 32 cores.
pub fn listing(cell: usize, worker: u16, draining: bool) -> Listing {
    Listing {
        service: "s".into(),
        address: ([10, 0, cell as u8, 1], 1000 + worker).into(),
        data_centre: format!("d{cell}"),
        draining,
        remaining_ms: None,
        room: Room { cpu: 32_000, mem: 128_000, accel: 0 },
        labels: vec![],
        machine: None,
        version: String::new(),
        offset: 1,
        warmup_ms: 0,
        started_at: FIRST,
    }
}

/// An owner of a cell of four workers, which is one of several cells.
pub fn owner(number: u32, fence: u64, now: u64) -> Cell {
    let mut cell = Cell::new(TimeLimits::default(), fence, now);
    cell.number = number;
    cell.only_cell = false;
    cell.loaded = true;
    for worker in 0..WORKERS {
        cell.apply_listing(
            name(number as usize, worker).id(),
            listing(number as usize, worker, false),
            now,
        );
        let held = WorkerRuns { started_at: 0, clock_ms: now, running: vec![], ended: vec![] };
        cell.renewed(&name(number as usize, worker), held, now, now, now);
    }
    cell
}

/// A step of 16 long-running tasks that fill four workers of 32 cores.
pub fn step() -> StepSpec {
    StepSpec {
        count: 16,
        room: Room { cpu: 8_000, mem: 1_000, accel: 0 },
        estimate_ms: 1_000,
        long_running: true,
        ..StepSpec::default()
    }
}

/// A job of these steps.
pub fn submission(steps: Vec<StepSpec>) -> Submission {
    let spec = JobSpec { body: "b".into(), steps, repeat: None };
    let policy =
        Policy { queue: "q".into(), service: "s".into(), max_failures: 3, ..Policy::default() };
    Submission { policy, spec, accepted_at: 0 }
}

/// The starts among some orders: task, run, checkpoint.
pub fn starts(orders: &[Order]) -> Vec<(TaskId, u32, String)> {
    let starts = orders.iter().filter_map(|order| match order {
        Order::Start { task, run, saved, .. } => Some((*task, *run, saved.clone())),
        _ => None,
    });
    starts.collect()
}

/// The stops among some orders: task and run.
pub fn stops(orders: &[Order]) -> Vec<(TaskId, u32)> {
    let stops = orders.iter().filter_map(|order| match order {
        Order::Stop { task, run, .. } => Some((*task, *run)),
        _ => None,
    });
    stops.collect()
}
