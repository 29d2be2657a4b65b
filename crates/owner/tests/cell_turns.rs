//! A lasting task that ran before gets the room that short ones leave in another cell.
//!
//! Symptom: a lasting task waits for 4.3 s in a full cell, while the next cell starts 40 short tasks that waited.
//! Sequence: both cells are full; in one of them short tasks wait, and each takes the room of one that ends.
//! Cause: a cell tells others only of room that is free, and what waits in it takes that at once.
//! Settled by: `event=placed .. tasks=1` of waiting short tasks every 20 to 400 ms in the other cell, no
//! `tasks-handed-on` for 4.5 s, and 149 ms from the first one that was taken there to its start.

mod cells;

use myrtle_base::Room;
use myrtle_job::{JobId, StepSpec, TaskId};

use cells::{Cells, JOB, starts, step};

/// How long a lasting task may be without a run, in milliseconds: 6 s from its last run, and 3 s.
const SOON: u64 = 9_000;

/// The time after which the next short task ends, in milliseconds.
const ENDS: u64 = 300;

/// The cells of the test.
const HOME: usize = 0;
const OTHER: usize = 1;

/// Jobs of the other cell: one that lasts, and one whose tasks are short.
const LARGE: JobId = JobId(21);
const SHORT: JobId = JobId(22);

/// A step of tasks of so many cores each.
fn tasks(count: u16, cores: u32, lasting: bool) -> StepSpec {
    let room = Room { cpu: 1_000 * cores, mem: 1_000, accel: 0 };
    StepSpec { count, room, lasting, estimate: 5_000, ..step() }
}

/// The tasks of a job that were started in the other cell.
fn started(cells: &Cells, job: JobId) -> Vec<TaskId> {
    let starts = starts(&cells.orders[OTHER]).into_iter();
    starts.map(|(task, ..)| task).filter(|task| task.job == job).collect()
}

#[test]
fn what_ran_before_goes_before_short_tasks_of_another_cell() {
    let mut cells = Cells::full(2);
    cells.give_job(OTHER, LARGE, vec![tasks(4, 24, true)]);
    cells.run(SOON);
    cells.give_job(OTHER, SHORT, vec![tasks(120, 8, false)]);
    cells.run(ENDS);
    assert_eq!((started(&cells, LARGE).len(), started(&cells, SHORT).len()), (4, 4));
    cells.leave(HOME, 0);
    for n in 0..(SOON / ENDS) as usize {
        // Once those that ran before have taken the room, no more short ones are there to end.
        started(&cells, SHORT).get(n).copied().into_iter().for_each(|task| cells.finish(task));
        cells.run(ENDS);
    }
    let here = started(&cells, JOB).len();
    assert_eq!(here, 4, "{} short ones were started in their place", started(&cells, SHORT).len());
}
