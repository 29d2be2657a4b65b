//! A pass over the waiting tasks is cut into short slices, whatever the number of tasks and workers.
//!
//! Symptom: a cell of 660 workers changes its owner every two to seven seconds and never comes to
//! rest; leases lapse, cancelled jobs run on.
//! Sequence: workers leave by the hundred, their tasks wait all at once, and the owner looks for
//! places for all of them in one go; its renewals and joins wait meanwhile; its membership lapses and
//! the log turns away all that it has planned; the next owner finds more tasks waiting.
//! Cause: nothing bounded a pass.
//! Settled by: spells of 1.5 to 6.9 s with nothing but `event=placed` in the owner's log, after each
//! `event=owner-deposed ... by="the log"` and `event=membership-lapsed`.

mod common;

use std::sync::Arc;

use myrtle_base::Room;
use myrtle_job::{Held, JobId, StepSpec, Submission};
use myrtle_owner::{Bounds, Cell};

use common::{job, listing, policy, step};

/// How many workers the cell has, and how many tasks wait.
const WORKERS: u16 = 600;
const JOBS: u64 = 100;
const TASKS: u16 = 20;

/// The most tasks that may be looked at with so many workers before others get a turn.
const AT_ONCE: usize = 100;

/// A cell of workers of 32 cores.
fn owner() -> Cell {
    let mut cell = Cell::new(Bounds::default(), 1, 1_000);
    cell.loaded = true;
    for n in 0..WORKERS {
        let id: Arc<str> = format!("w{n}").into();
        cell.list(&id, listing(n), 1_000);
        let held = Held { clock: 1_000, running: vec![], ended: vec![] };
        cell.held(&id, held, 1_000, 1_000, 1_000);
    }
    cell
}

/// Hands in a job of tasks of so many cores; no two steps are alike, so that what found no place
/// says nothing of the others.
fn admit(cell: &mut Cell, id: u64, cores: f64, came: u64) {
    let room = Room::new(cores, 100, 0);
    let step = StepSpec { room, spread: 1, estimate: 1_000 + id, ..step(TASKS) };
    let submission = Submission { policy: policy(), spec: job(vec![step]), taken: 0 };
    cell.admit(JobId(id), submission, came, came);
}

fn placed(cell: &Cell) -> usize {
    cell.workers.values().map(|w| w.flights.len()).sum()
}

#[test]
fn many_waiting_tasks_are_placed_in_short_slices() {
    let mut cell = owner();
    (0..JOBS).for_each(|id| admit(&mut cell, id, 2.0, 1_000));
    let all = JOBS as usize * usize::from(TASKS);
    while placed(&cell) < all {
        let before = placed(&cell);
        cell.plan(2_000);
        let more = placed(&cell) - before;
        assert!(more > 0, "a slice places something");
        assert!(more <= AT_ONCE, "{more} tasks were placed in one go");
    }
}

#[test]
fn tasks_that_find_no_place_do_not_keep_others_from_theirs() {
    let mut cell = owner();
    (0..JOBS).for_each(|id| admit(&mut cell, id, 33.0, 1_000));
    admit(&mut cell, JOBS, 2.0, 3_000);
    let slices = (1..20).find(|_| {
        cell.plan(4_000);
        placed(&cell) == usize::from(TASKS)
    });
    assert!(slices.is_some(), "the last job never had its turn");
}

#[test]
fn a_job_that_comes_amid_a_pass_need_not_wait_for_its_end() {
    let mut cell = owner();
    (0..10 * JOBS).for_each(|id| admit(&mut cell, id, 33.0, 2_000));
    cell.plan(3_000);
    // It came first by its stamp, so it is the most urgent.
    admit(&mut cell, 10 * JOBS, 2.0, 1_000);
    cell.plan(3_000);
    assert_eq!(placed(&cell), usize::from(TASKS));
}
