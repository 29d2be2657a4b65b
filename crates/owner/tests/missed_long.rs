//! A long-running task whose downtime is already long doesn't wait once more before its transfer to a cell with room.
//!
//! Fault: a task's worker crashes, and its run is given up once its lease is surely over, 12 s later; its own cell is
//! full. If the time for which a task has found no worker begins only then, whatever its downtime, the task is
//! transferred 1.7 s too late, to a cell that had room all the while.

mod cells;

use myrtle_job::JobId;

use cells::{Cells, JOB, owner, starts};

/// The longest time until a task of long downtime starts in a cell with room, in milliseconds: one exchange of loads
/// between cells, and the delivery.
const TRANSFER_LIMIT: u64 = 500;

/// A time longer than any lease, in milliseconds.
const LEASE_LIMIT: u64 = 15_000;

/// The home cell of the job.
const HOME: usize = 0;

/// A cell with room.
const OTHER: usize = 1;

/// A cell that is not simulated.
const THIRD: u32 = 2;

/// A job of which a task is transferred from another cell.
const INCOMING: JobId = JobId(21);

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

/// Runs until the home cell's owner has given up the four runs of a crashed worker.
fn run_until_lost(cells: &mut Cells) {
    let began = cells.now;
    while cells.owner(HOME).summary().waiting == 0 && starts(&cells.orders[OTHER]).is_empty() {
        assert!(cells.now < began + LEASE_LIMIT, "the runs are never given up");
        cells.run(100);
    }
}

/// The number of runs of the job that were started in the other cell.
fn started(cells: &Cells) -> usize {
    starts(&cells.orders[OTHER]).iter().filter(|(task, ..)| task.job == JOB).count()
}

case!(tasks_of_a_crashed_worker_are_transferred_at_once, cells, {
    cells.silence(HOME, 0);
    run_until_lost(&mut cells);
    cells.run(TRANSFER_LIMIT);
    assert_eq!(started(&cells), 4, "tasks wait once more despite their long downtime");
});

case!(tasks_that_a_new_owner_gives_up_are_transferred_at_once, cells, {
    cells.silence(HOME, 0);
    cells.run(2_000);
    cells.take_over(HOME);
    run_until_lost(&mut cells);
    cells.run(TRANSFER_LIMIT);
    assert_eq!(started(&cells), 4, "tasks wait once more despite their long downtime");
});

/// Fault: if the wait restarts with each owner, although each finds at once that no worker has room, a long-running
/// task waits for 9 s while another cell has room.
#[test]
fn successive_owners_do_not_restart_the_wait() {
    let mut cells = Cells::full(2);
    cells.leave(HOME, 0);
    for _ in 0..6 {
        cells.run(1_500);
        cells.take_over(HOME);
    }
    assert_eq!(started(&cells), 4, "no owner transfers them");
}

/// Fault: if a cell transfers tasks on by a load reported before they came, they circle through several cells without
/// room and leave a record in each.
#[test]
fn incoming_tasks_are_transferred_on_only_by_loads_reported_since() {
    let mut cells = Cells::full(2);
    cells.deaf = true;
    let now = cells.now;
    let load = owner(THIRD, 1, now).load(now);
    cells.owner(HOME).record_load(THIRD, load.clone(), now);
    cells.run(100);
    cells.give_part(HOME, INCOMING, 1);
    cells.run(1_000);
    let outgoing = |cells: &mut Cells| cells.owner(HOME).jobs[&INCOMING].progress.outgoing.len();
    assert_eq!(outgoing(&mut cells), 0, "transferred by an old load report");
    cells.lossy = true;
    let now = cells.now;
    cells.owner(HOME).record_load(THIRD, load, now);
    cells.run(100);
    assert_eq!(outgoing(&mut cells), 1, "the third cell has reported room");
}

case!(tasks_stopped_just_now_wait_for_local_room, cells, {
    cells.leave(HOME, 0);
    cells.run(1_000);
    assert_eq!(started(&cells), 0, "transferred without a wait");
});
