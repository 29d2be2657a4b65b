//! What becomes of lasting tasks after they went to another cell.

mod cells;

use cells::{Cells, starts};

/// How long a task may find no worker before it should be with a cell that has room.
const SOON: u64 = 2_500;

/// How long a cell lets a task wait before it hands it on, at the least.
const EARLY: u64 = 1_000;

/// The cells of the tests: the job's home, a cell with room.
const HOME: usize = 0;
const OTHER: usize = 1;

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
