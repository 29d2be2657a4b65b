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

use myrtle_base::Room;
use myrtle_job::{Held, Incarnation, JobId, Policy, StepSpec, Submission};
use myrtle_owner::{Bounds, Cell, Life};

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
        let id = Incarnation::new(format!("w{n}"), 0);
        cell.list(id.id(), listing(n), 1_000);
        let held = Held { start: 0, clock: 1_000, running: vec![], ended: vec![] };
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

/// Symptom: a pass never ends and owners plan all the time; jobs behind one job are never started, and
/// no new pass looks again for those before it.
/// Sequence: one job's looks that find nothing fill a slice: copies of its runs on silent workers, a
/// gang, or many steps that are choosy; the next slice begins with the same looks.
/// Cause: what a cut job has looked for in vain is not remembered within the pass.
/// Settled by: `plan` asks to be called again 20 times in a row with nothing placed between.
///
/// The slices that a pass over the cells below may take at most.
const SLICES: usize = 20;

/// Whether a small job behind `first` gets its turn, and the pass an end.
fn ends_with_a_small_job_behind(cell: &mut Cell, now: u64) {
    let before = placed(cell);
    let behind = Policy { priority: 1, ..policy() };
    let submission = Submission { policy: behind, spec: job(vec![step(1)]), taken: 0 };
    cell.admit(JobId(1_000), submission, now, now);
    let ends = (0..SLICES).any(|_| !cell.plan(now));
    assert!(placed(cell) > before, "the job behind never had its turn");
    assert!(ends, "the pass never ends");
}

/// Hands in a job that came long ago, so that its turn is first.
fn admit_steps(cell: &mut Cell, id: u64, steps: Vec<StepSpec>) {
    let submission = Submission { policy: policy(), spec: job(steps), taken: 0 };
    cell.admit(JobId(id), submission, 1_000, 1_000);
}

#[test]
fn steps_that_find_no_place_do_not_keep_others_from_theirs() {
    let mut cell = owner();
    let room = Room::new(33.0, 100, 0);
    let steps = (0..60).map(|_| StepSpec { room, spread: 1, estimate: 1, ..step(1) }).collect();
    admit_steps(&mut cell, 1, steps);
    ends_with_a_small_job_behind(&mut cell, 1_100);
}

#[test]
fn a_gang_that_finds_no_place_does_not_keep_others_from_theirs() {
    let mut cell = owner();
    let spread =
        |count, cores| StepSpec { room: Room::new(cores, 100, 0), spread: 1, ..step(count) };
    admit_steps(&mut cell, 1, vec![spread(WORKERS - 80, 20.0)]);
    while cell.plan(1_050) {}
    assert_eq!(placed(&cell), usize::from(WORKERS) - 80);
    let gang = StepSpec { gang: true, estimate: 1, ..spread(100, 20.0) };
    let after = StepSpec { estimate: 1, ..spread(1, 33.0) };
    admit_steps(&mut cell, 2, vec![gang, after]);
    ends_with_a_small_job_behind(&mut cell, 1_100);
}

#[test]
fn copies_that_find_no_place_do_not_keep_others_from_theirs() {
    let mut cell = owner();
    let room = Room::new(30.0, 100, 0);
    let late = StepSpec { room, copies: true, estimate: 1, ..step(WORKERS) };
    admit_steps(&mut cell, 1, vec![late]);
    while cell.plan(1_050) {}
    assert_eq!(placed(&cell), usize::from(WORKERS));
    let batch = cell.batch();
    cell.committed(batch, 1_100);
    // A data centre with 100 of the workers is cut off.
    for worker in cell.workers.values_mut().take(100) {
        worker.life = Life::Silent;
        worker.heard = 1_000;
    }
    cell.look_for_copies(2_000);
    ends_with_a_small_job_behind(&mut cell, 2_000);
}
