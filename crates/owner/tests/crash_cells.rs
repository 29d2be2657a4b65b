//! A long-running task that crashes its workers is transferred to another cell with its crash count, and
//! comes back to the home cell, which can end its job.

mod cells;

use myrtle_job::{State, StepSpec, TaskId};

use cells::{Cells, JOB, step};

/// The cells: the home of the job, which has room for four more tasks, and one with free room.
const HOME: usize = 0;
const OTHER: usize = 1;

/// The task that crashes its workers.
const CULPRIT: TaskId = TaskId { job: JOB, round: 0, step: 0, index: 0 };

/// Two cells, the first of them with a job that fills three of its four workers.
fn two_cells() -> Cells {
    let mut cells = Cells::of(2, vec![StepSpec { count: 12, ..step() }]);
    cells.deaf = false;
    cells
}

/// The most workers that one task may crash under any faults: the platform allows three, and fewer than
/// three more.
const LIMIT: usize = 5;

/// Checks that the job has ended in both cells.
fn ended(mut cells: Cells) {
    assert_eq!(cells.owner(HOME).state(JOB), Some(State::Failed));
    assert_eq!(cells.living(), 0, "the other cell has stopped its tasks");
}

#[test]
fn the_crash_count_is_transferred_and_the_home_cell_ends_the_job() {
    let mut cells = two_cells();
    let crashes = cells.run_with_culprit(CULPRIT, false, 60_000);
    // The first run was an old one, so the first crash is not counted against the task.
    assert_eq!((crashes[HOME], crashes[OTHER]), (2, 2));
    ended(cells);
}

#[test]
fn the_limit_holds_if_a_new_owner_follows_each_crash() {
    let mut cells = two_cells();
    let crashes = cells.run_with_culprit(CULPRIT, true, 60_000);
    assert!(crashes.iter().sum::<usize>() <= LIMIT, "{crashes:?}");
    ended(cells);
}
