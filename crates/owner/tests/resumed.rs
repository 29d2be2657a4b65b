//! Long-running tasks that ran before are placed first in any cell with room for them, however overloaded it is.
//!
//! Fault: all cells are overloaded, and workers of all of them leave at once. An overloaded cell got no transferred
//! tasks, although those that waited there were too large for its free room; and transferred tasks were ranked behind
//! all that waited. A task stopped because its worker leaves then doesn't run for 17 s, although other workers have
//! twice the room that it needs.

mod cells;

use myrtle_base::Room;
use myrtle_job::{JobId, StepSpec};

use cells::{Cells, JOB, starts, step};

/// The time within which a stopped task has to run in another cell, in milliseconds.
const START_LIMIT: u64 = 4_000;

/// The home cell of the job.
const HOME: usize = 0;

/// A cell with room for transferred tasks.
const OTHER: usize = 1;

/// A job of large tasks in the other cell.
const LARGE: JobId = JobId(21);

/// A job that waits in the other cell.
const WAITING: JobId = JobId(22);

/// A job that is cancelled in the other cell.
const CANCELLED: JobId = JobId(23);

/// A job whose stopped tasks are transferred to the other cell.
const STOPPED: JobId = JobId(24);

/// Declares a test with two cells of four workers each, of which one job fills the first.
macro_rules! case {
    ($name:ident, $cells:ident, $body:block) => {
        #[test]
        fn $name() {
            let mut $cells = Cells::full(2);
            $body
        }
    };
}

/// A step of long-running tasks with `cores` each.
fn long_running(count: u16, cores: u32) -> StepSpec {
    let room = Room { cpu: 1_000 * cores, mem: 1_000, accel: 0 };
    StepSpec { count, room, ..step() }
}

/// The number of runs of a job that were started in a cell.
fn started(cells: &Cells, cell: usize, job: JobId) -> usize {
    starts(&cells.orders[cell]).iter().filter(|(task, ..)| task.job == job).count()
}

case!(stopped_tasks_are_transferred_to_an_overloaded_cell_with_room, cells, {
    cells.give_job(OTHER, LARGE, vec![long_running(4, 24)]);
    cells.give_job(OTHER, WAITING, vec![long_running(4, 16)]);
    cells.run(START_LIMIT);
    assert_eq!(started(&cells, OTHER, LARGE), 4);
    assert_eq!(started(&cells, OTHER, WAITING), 0, "each worker has 8 cores left");
    cells.leave(HOME, 0);
    cells.run(START_LIMIT);
    assert_eq!(started(&cells, OTHER, JOB), 4, "tasks wait although there is room");
});

case!(transferred_tasks_start_before_tasks_that_never_ran, cells, {
    cells.deaf = true;
    cells.give_job(OTHER, LARGE, vec![long_running(3, 32)]);
    cells.give_job(OTHER, CANCELLED, vec![long_running(1, 32)]);
    cells.run(START_LIMIT);
    cells.give_job(OTHER, WAITING, vec![long_running(4, 8)]);
    cells.run(START_LIMIT);
    cells.give_part(OTHER, STOPPED, 4);
    cells.run(START_LIMIT);
    cells.cancel(OTHER, CANCELLED);
    cells.run(START_LIMIT);
    assert_eq!(started(&cells, OTHER, STOPPED), 4, "tasks that ran before start first");
    assert_eq!(started(&cells, OTHER, WAITING), 0);
});
