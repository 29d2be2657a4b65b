//! A lasting task that has been missed for long doesn't wait once more before it goes where there is room.
//!
//! Symptom: LOST; a task whose worker is gone runs 0.8 s too late, in the next cell, which had room all the while.
//! Sequence: its run ends unheard, and is given up once its lease is surely over; its own cell is full.
//! Cause: how long a task has found no worker began with the end of the doubt, whatever had passed by then.
//! Settled by: `run-lost` 12 s after the run's end, `waits .. "no worker with its labels has room"` 10 ms later,
//! `tasks-handed-on` 1.70 s after that to the millisecond, and `placed` in the next cell within 40 ms.

mod cells;

use myrtle_job::JobId;

use cells::{Cells, JOB, owner, starts};

/// The longest that a task which is known to have been missed for long may take to start in a cell with room,
/// in milliseconds: one round of questions between cells, and the way.
const AT_ONCE: u64 = 500;

/// Longer than any lease, in milliseconds.
const LEASES: u64 = 15_000;

/// The cells of the tests.
const HOME: usize = 0;
const OTHER: usize = 1;

/// A cell that is not played.
const THIRD: u32 = 2;

/// A job of which a task came from another cell.
const CAME: JobId = JobId(21);

/// Names a case and gives it two cells of four workers, the first of them full with one job.
macro_rules! case {
    ($name:ident, $cells:ident, $body:block) => {
        #[test]
        fn $name() {
            let mut $cells = Cells::full(2);
            $body
        }
    };
}

/// Runs until the home's owner knows that the four runs of a worker are lost.
fn run_until_lost(cells: &mut Cells) {
    let before = cells.now;
    while cells.owner(HOME).gist().waiting == 0 && starts(&cells.orders[OTHER]).is_empty() {
        assert!(cells.now < before + LEASES, "the runs are never given up");
        cells.run(100);
    }
}

/// How many runs of the job were started in the other cell.
fn started(cells: &Cells) -> usize {
    starts(&cells.orders[OTHER]).iter().filter(|(task, ..)| task.job == JOB).count()
}

case!(what_was_lost_with_its_worker_goes_on_at_once, cells, {
    cells.silence(HOME, 0);
    run_until_lost(&mut cells);
    cells.run(AT_ONCE);
    assert_eq!(started(&cells), 4, "tasks wait once more though they were missed for long");
});

case!(what_an_owner_found_lost_goes_on_at_once, cells, {
    cells.silence(HOME, 0);
    cells.run(2_000);
    cells.take_over(HOME);
    run_until_lost(&mut cells);
    cells.run(AT_ONCE);
    assert_eq!(started(&cells), 4, "tasks wait once more though they were missed for long");
});

/// Symptom: a lasting task waits for 9 s though another cell has room.
/// Cause: the wait began anew with each owner, also where that knew at once that no worker had room.
#[test]
fn owners_in_a_row_do_not_put_the_wait_off() {
    let mut cells = Cells::full(2);
    cells.leave(HOME, 0);
    for _ in 0..6 {
        cells.run(1_500);
        cells.take_over(HOME);
    }
    assert_eq!(started(&cells), 4, "no owner hands them on");
}

/// Symptom: tasks go round several cells without room, with a record in each.
/// Cause: a cell that was given tasks sent them on by what it had been told before they came.
#[test]
fn what_comes_from_another_cell_goes_on_only_by_what_is_told_since() {
    let mut cells = Cells::full(2);
    cells.deaf = true;
    let now = cells.now;
    let elsewhere = owner(THIRD, 1, now).load(now);
    cells.owner(HOME).hear(THIRD, elsewhere.clone(), now);
    cells.run(100);
    cells.give_part(HOME, CAME, 1);
    cells.run(1_000);
    let handed = |cells: &mut Cells| cells.owner(HOME).jobs[&CAME].progress.handed.len();
    assert_eq!(handed(&mut cells), 0, "sent on by an old word");
    cells.lossy = true;
    let now = cells.now;
    cells.owner(HOME).hear(THIRD, elsewhere, now);
    cells.run(100);
    assert_eq!(handed(&mut cells), 1, "it is known that the third cell has room");
}

case!(what_was_stopped_a_moment_ago_waits_for_room_at_home, cells, {
    cells.leave(HOME, 0);
    cells.run(1_000);
    assert_eq!(started(&cells), 0, "handed on without a wait");
});
