//! What becomes of lasting tasks after they went to another cell.

mod cells;

use myrtle_job::{Listing, StepSpec, TaskId};

use cells::{Cells, JOB, listing, starts, step};

/// How long a task may find no worker before it should be with a cell that has room.
const SOON: u64 = 2_500;

/// How long a cell lets a task wait before it hands it on, at the least.
const EARLY: u64 = 1_000;

/// The cells of the tests: the job's home, a cell with room, a further one.
const HOME: usize = 0;
const OTHER: usize = 1;
const THIRD: usize = 2;

fn task(step: u16, index: u16) -> TaskId {
    TaskId { job: JOB, round: 0, step, index }
}

/// Symptom: a task that was stopped is with another cell 100 ms later, though its own cell would have
/// had room soon.
/// Sequence: a worker leaves, its tasks are handed on; later another one leaves.
/// Cause: nothing waits any more once all are handed on, but the time since when something waited
/// stays, so the next task counts as one that has waited since then; it takes of kept room at once too.
/// Settled by: eight starts in the other cell 1 s after the second worker left, in place of four.
#[test]
fn tasks_that_wait_anew_are_not_handed_on_for_the_wait_of_earlier_ones() {
    let mut cells = Cells::full(2);
    cells.leave(HOME, 0);
    cells.run(SOON);
    assert_eq!(starts(&cells.orders[OTHER]).len(), 4);
    cells.run(10_000);
    cells.leave(HOME, 1);
    cells.run(EARLY);
    assert_eq!(starts(&cells.orders[OTHER]).len(), 4, "handed on without a wait");
}

/// Symptom: AVAIL; more tasks of a step are away at once than it allows.
/// Sequence: some tasks of the step were handed on; workers of both cells leave at the same time.
/// Cause: each cell counts the tasks that the other looks after as at work, so each takes all that
/// the step allows.
#[test]
fn both_cells_together_stop_no_more_than_the_step_allows() {
    let mut cells = Cells::of(2, vec![StepSpec { may_miss: Some(2), ..step() }]);
    cells.deaf = false;
    cells.leave(HOME, 0);
    cells.run(30_000);
    assert_eq!((cells.living(), starts(&cells.orders[OTHER]).len()), (16, 4));
    cells.leave(HOME, 1);
    (0..4).for_each(|worker| cells.leave(OTHER, worker));
    for _ in 0..50 {
        cells.run(100);
        let away = 16 - cells.living();
        assert!(away <= 2, "{away} tasks of the step are away at once");
    }
}

/// Symptom: LOST; handed-on tasks run nowhere though a cell has room.
/// Sequence: one step is done, the lasting step that waited for it runs; its worker leaves, its tasks
/// go to another cell.
/// Cause: the part does not say that the earlier step is done, so the step's turn never comes there.
#[test]
fn tasks_of_a_step_that_waited_for_an_earlier_one_go_on_elsewhere() {
    let first = StepSpec { count: 1, lasting: false, ..step() };
    let mut cells = Cells::of(2, vec![first, StepSpec { after: vec![0], ..step() }]);
    cells.finish(task(0, 0));
    cells.run(SOON);
    assert_eq!(cells.living(), 16);
    cells.deaf = false;
    cells.leave(HOME, 0);
    cells.run(4 * SOON);
    assert_eq!(cells.living(), 16, "tasks that were handed on run nowhere");
}

/// Symptom: LOST; handed-on tasks run nowhere though a further cell has workers for them.
/// Sequence: a worker leaves; the cell with the most room has no worker of the tasks' service.
/// Cause: what cells tell of free workers does not say whose they are.
#[test]
fn tasks_go_to_a_cell_that_has_workers_of_their_service() {
    let mut cells = Cells::full(3);
    for worker in 0..4 {
        let now = cells.now;
        let listing = Listing { service: "x".into(), ..listing(OTHER, worker, false) };
        cells.owner(OTHER).list(&format!("w{OTHER}-{worker}"), listing, now);
    }
    cells.leave(HOME, 0);
    cells.run(SOON);
    assert_eq!(starts(&cells.orders[THIRD]).len(), 4, "no worker elsewhere may run them");
}

/// Symptom: LOST; a task runs nowhere though its own cell has room again.
/// Sequence: a worker leaves, its tasks go to the other cell; the worker is there again; then the
/// other cell's workers leave.
/// Cause: tasks never go back to a cell that has had them.
#[test]
fn tasks_come_back_to_a_cell_that_has_room_again() {
    let mut cells = Cells::full(2);
    cells.leave(HOME, 0);
    cells.run(SOON);
    assert_eq!(starts(&cells.orders[OTHER]).len(), 4);
    cells.stay(HOME, 0);
    (0..4).for_each(|worker| cells.leave(OTHER, worker));
    cells.run(9_000);
    assert_eq!(cells.living(), 16, "tasks run nowhere, and their own cell has room");
}
