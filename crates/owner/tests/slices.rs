//! A planning pass over the waiting tasks is split into short slices, whatever the number of tasks and workers.
//!
//! Fault: hundreds of workers leave a cell of 660, all their tasks wait at once, and the owner plans them in one pass of
//! 1.5 to 6.9 s. Lease renewals and group joins wait meanwhile, the owner's membership lapses, and the log rejects all
//! that it planned. The next owner finds more tasks waiting, so the cell changes its owner every two to seven seconds;
//! leases lapse and cancelled jobs run on.

mod common;

use myrtle_base::Room;
use myrtle_job::{Incarnation, JobId, Policy, StepSpec, Submission, WorkerRuns};
use myrtle_owner::{Cell, Presence, TimeLimits};

use common::{job, listing, policy, step};

/// The number of workers.
const WORKERS: u16 = 600;

/// The number of jobs that wait.
const JOBS: u64 = 100;

/// The number of tasks of each job.
const TASKS: u16 = 20;

/// The most tasks that one slice may place in a cell of this size.
const SLICE_LIMIT: usize = 100;

/// A cell of workers with 32 cores each.
fn cell() -> Cell {
    let mut cell = Cell::new(TimeLimits::default(), 1, 1_000);
    cell.loaded = true;
    for n in 0..WORKERS {
        let incarnation = Incarnation::new(format!("w{n}"), 0);
        cell.apply_listing(incarnation.id(), listing(n), 1_000);
        let held = WorkerRuns { started_at: 0, clock_ms: 1_000, running: vec![], ended: vec![] };
        cell.renewed(&incarnation, held, 1_000, 1_000, 1_000);
    }
    cell
}

/// Admits a job of tasks with `cores` each; every step differs, so that a failed search for one doesn't settle the others.
fn admit(cell: &mut Cell, id: u64, cores: f64, submitted_at: u64) {
    let room = Room::new(cores, 100, 0);
    let step = StepSpec { room, worker_limit: 1, estimate_ms: 1_000 + id, ..step(TASKS) };
    let submission = Submission { policy: policy(), spec: job(vec![step]), accepted_at: 0 };
    cell.admit(JobId(id), submission, submitted_at, submitted_at);
}

fn placed(cell: &Cell) -> usize {
    cell.workers.values().map(|w| w.active_runs.len()).sum()
}

#[test]
fn many_waiting_tasks_are_placed_in_short_slices() {
    let mut cell = cell();
    (0..JOBS).for_each(|id| admit(&mut cell, id, 2.0, 1_000));
    let all = JOBS as usize * usize::from(TASKS);
    while placed(&cell) < all {
        let before = placed(&cell);
        cell.plan(2_000);
        let more = placed(&cell) - before;
        assert!(more > 0, "a slice places at least one task");
        assert!(more <= SLICE_LIMIT, "one slice placed {more} tasks");
    }
}

#[test]
fn tasks_that_do_not_fit_do_not_block_others() {
    let mut cell = cell();
    (0..JOBS).for_each(|id| admit(&mut cell, id, 33.0, 1_000));
    admit(&mut cell, JOBS, 2.0, 3_000);
    let slices = (1..20).find(|_| {
        cell.plan(4_000);
        placed(&cell) == usize::from(TASKS)
    });
    assert!(slices.is_some(), "the last job was never planned");
}

#[test]
fn a_job_admitted_during_a_pass_is_planned_before_the_pass_ends() {
    let mut cell = cell();
    (0..10 * JOBS).for_each(|id| admit(&mut cell, id, 33.0, 2_000));
    cell.plan(3_000);
    // Its submission time is the earliest, so it is the most urgent.
    admit(&mut cell, 10 * JOBS, 2.0, 1_000);
    cell.plan(3_000);
    assert_eq!(placed(&cell), usize::from(TASKS));
}

/// The most slices that a pass over the cells below may take.
///
/// Fault: the failed searches of one job fill a slice (copies of its runs on silent workers, a gang, or many steps with
/// narrow constraints). Unless the pass remembers them, the next slice repeats them: the pass never ends, jobs behind
/// that one never start, and no new pass searches again for those before it.
const MAX_SLICES: usize = 20;

/// Asserts that a small job behind those admitted is placed, and that the pass ends.
fn assert_pass_ends(cell: &mut Cell, now: u64) {
    let before = placed(cell);
    let later = Policy { priority: 1, ..policy() };
    let submission = Submission { policy: later, spec: job(vec![step(1)]), accepted_at: 0 };
    cell.admit(JobId(1_000), submission, now, now);
    let ends = (0..MAX_SLICES).any(|_| !cell.plan(now));
    assert!(placed(cell) > before, "the job behind was never planned");
    assert!(ends, "the pass never ends");
}

/// Admits a job of the earliest submission time, so that it is planned first.
fn admit_steps(cell: &mut Cell, id: u64, steps: Vec<StepSpec>) {
    let submission = Submission { policy: policy(), spec: job(steps), accepted_at: 0 };
    cell.admit(JobId(id), submission, 1_000, 1_000);
}

#[test]
fn steps_that_do_not_fit_do_not_block_others() {
    let mut cell = cell();
    let room = Room::new(33.0, 100, 0);
    let steps =
        (0..60).map(|_| StepSpec { room, worker_limit: 1, estimate_ms: 1, ..step(1) }).collect();
    admit_steps(&mut cell, 1, steps);
    assert_pass_ends(&mut cell, 1_100);
}

#[test]
fn a_gang_that_does_not_fit_does_not_block_others() {
    let mut cell = cell();
    let spread =
        |count, cores| StepSpec { room: Room::new(cores, 100, 0), worker_limit: 1, ..step(count) };
    admit_steps(&mut cell, 1, vec![spread(WORKERS - 80, 20.0)]);
    while cell.plan(1_050) {}
    assert_eq!(placed(&cell), usize::from(WORKERS) - 80);
    let gang = StepSpec { gang: true, estimate_ms: 1, ..spread(100, 20.0) };
    let after = StepSpec { estimate_ms: 1, ..spread(1, 33.0) };
    admit_steps(&mut cell, 2, vec![gang, after]);
    assert_pass_ends(&mut cell, 1_100);
}

#[test]
fn copies_that_do_not_fit_do_not_block_others() {
    let mut cell = cell();
    let room = Room::new(30.0, 100, 0);
    let copied = StepSpec { room, speculative: true, estimate_ms: 1, ..step(WORKERS) };
    admit_steps(&mut cell, 1, vec![copied]);
    while cell.plan(1_050) {}
    assert_eq!(placed(&cell), usize::from(WORKERS));
    let batch = cell.batch();
    cell.committed(batch, 1_100);
    // A data centre with 100 of the workers becomes unreachable.
    for worker in cell.workers.values_mut().take(100) {
        worker.presence = Presence::Silent;
        worker.answered_at = 1_000;
    }
    cell.find_late_runs(2_000);
    assert_pass_ends(&mut cell, 2_000);
}
