//! A long-running task that has run before gets the room that short tasks leave in another cell.
//!
//! Guards against a long-running task that waits in a full cell while a second full cell goes on to start short tasks:
//! if a cell announces only free room, its own waiting short tasks take the room of each task that ends at once, and
//! no task is ever transferred to it.

mod cells;

use myrtle_base::Room;
use myrtle_job::{JobId, StepSpec, TaskId};

use cells::{Cells, JOB, starts, step};

/// The longest downtime of a long-running task, in milliseconds: 6 s from its last run, and 3 s.
const MAX_DOWNTIME: u64 = 9_000;

/// The interval at which short tasks end, in milliseconds.
const INTERVAL: u64 = 300;

/// The two cells.
const HOME: usize = 0;
const OTHER: usize = 1;

/// Jobs of the other cell: a long-running one, and one of short tasks.
const LARGE: JobId = JobId(21);
const SHORT: JobId = JobId(22);

/// A step of `count` tasks of `cores` cores each.
fn tasks(count: u16, cores: u32, long_running: bool) -> StepSpec {
    let room = Room { cpu: 1_000 * cores, mem: 1_000, accel: 0 };
    StepSpec { count, room, long_running, estimate_ms: 5_000, ..step() }
}

/// The tasks of a job that were started in the other cell.
fn started(cells: &Cells, job: JobId) -> Vec<TaskId> {
    let starts = starts(&cells.orders[OTHER]).into_iter();
    starts.map(|(task, ..)| task).filter(|task| task.job == job).collect()
}

#[test]
fn long_running_tasks_precede_short_tasks_of_another_cell() {
    let mut cells = Cells::full(2);
    cells.give_job(OTHER, LARGE, vec![tasks(4, 24, true)]);
    cells.run(MAX_DOWNTIME);
    cells.give_job(OTHER, SHORT, vec![tasks(120, 8, false)]);
    cells.run(INTERVAL);
    assert_eq!((started(&cells, LARGE).len(), started(&cells, SHORT).len()), (4, 4));
    cells.leave(HOME, 0);
    for n in 0..(MAX_DOWNTIME / INTERVAL) as usize {
        // Once the long-running tasks have taken the room, no short task may be left to end.
        started(&cells, SHORT).get(n).copied().into_iter().for_each(|task| cells.finish(task));
        cells.run(INTERVAL);
    }
    let restarted = started(&cells, JOB).len();
    assert_eq!(
        restarted,
        4,
        "{} short tasks were started in their place",
        started(&cells, SHORT).len()
    );
}
