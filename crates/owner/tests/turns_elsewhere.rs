//! A long-running task that ran before is placed before short ones, despite changes of owner and whatever is scarce.
//!
//! Fault: short tasks start one after the other, in the task's own cell or another one, and a long-running task that
//! needs more room than one of them waits for as long as they are submitted, since nothing keeps the room of those that
//! end until there is enough of it.

mod cells;

use myrtle_base::Room;
use myrtle_job::{JobId, StepSpec, TaskId};

use cells::{Cells, JOB, starts, step};

/// The longest downtime of a long-running task, in milliseconds: 6 s from its last run, and 3 s.
const MAX_DOWNTIME: u64 = 9_000;

/// The time between the ends of two short tasks, in milliseconds.
const INTERVAL: u64 = 300;

/// The home cell of the job.
const HOME: usize = 0;

/// A cell that short tasks fill.
const OTHER: usize = 1;

/// A further cell.
const THIRD: usize = 2;

/// A long-running job of large tasks.
const LARGE: JobId = JobId(21);

/// A job of short tasks.
const SHORT: JobId = JobId(22);

/// A worker's memory, in megabytes.
const MEMORY: u32 = 128_000;

/// The number of a worker's cores.
const CORES: u32 = 32;

/// Declares a test with a number of cells of four workers each, of which one job fills the first.
macro_rules! case {
    ($name:ident, $cells:ident, $count:expr, $body:block) => {
        #[test]
        fn $name() {
            let mut $cells = Cells::full($count);
            $cells.lively = true;
            $body
        }
    };
}

/// A step of tasks with `cores` each; short ones are estimated at 5 s.
fn tasks(count: u16, cores: u32, long_running: bool) -> StepSpec {
    let room = Room { cpu: 1_000 * cores, mem: 1_000, accel: 0 };
    StepSpec { count, room, long_running, estimate_ms: 5_000, ..step() }
}

/// The tasks of a job that were started in a cell.
fn started(cells: &Cells, cell: usize, job: JobId) -> Vec<TaskId> {
    let starts = starts(&cells.orders[cell]).into_iter();
    starts.map(|(task, ..)| task).filter(|task| task.job == job).collect()
}

/// Fills a cell with a long-running job and with short tasks, of which many more wait.
fn fill(cells: &mut Cells, cell: usize) {
    cells.give_job(cell, LARGE, vec![tasks(4, 24, true)]);
    cells.run(MAX_DOWNTIME);
    cells.give_job(cell, SHORT, vec![tasks(120, 8, false)]);
    cells.run(INTERVAL);
    assert_eq!((started(cells, cell, LARGE).len(), started(cells, cell, SHORT).len()), (4, 4));
}

/// Ends one short task after the other in some cells, for the longest downtime of a long-running task.
fn end_short(cells: &mut Cells, at: &[usize], mut each: impl FnMut(&mut Cells, u64)) {
    for n in 0..MAX_DOWNTIME / INTERVAL {
        for &cell in at {
            let next = started(cells, cell, SHORT).get(n as usize).copied();
            next.into_iter().for_each(|task| cells.finish(task));
        }
        each(cells, n * INTERVAL);
        cells.run(INTERVAL);
    }
}

/// The number of runs of the home cell's job that were started in other cells.
fn started_remote(cells: &Cells) -> usize {
    (OTHER..cells.orders.len()).map(|cell| started(cells, cell, JOB).len()).sum()
}

case!(tasks_start_remotely_though_their_cell_changes_owners, cells, 2, {
    fill(&mut cells, OTHER);
    cells.leave(HOME, 0);
    end_short(&mut cells, &[OTHER], |cells, at| {
        if at == 0 || at == 1_200 || at == 2_400 {
            cells.take_over(HOME);
        }
    });
    assert_eq!(started_remote(&cells), 4);
});

case!(tasks_start_remotely_though_the_other_cell_changes_owners, cells, 2, {
    fill(&mut cells, OTHER);
    cells.leave(HOME, 0);
    end_short(&mut cells, &[OTHER], |cells, at| {
        if at % 2_400 == 0 {
            cells.take_over(OTHER);
        }
    });
    assert_eq!(started_remote(&cells), 4);
});

case!(tasks_start_remotely_though_a_transfer_is_lost_with_its_owner, cells, 2, {
    fill(&mut cells, OTHER);
    cells.lossy = true;
    cells.leave(HOME, 0);
    end_short(&mut cells, &[OTHER], |cells, at| {
        if at == 2_400 {
            cells.lossy = false;
            cells.take_over(HOME);
        }
    });
    assert_eq!(started_remote(&cells), 4);
});

case!(tasks_start_remotely_though_both_owners_crash_at_once, cells, 2, {
    fill(&mut cells, OTHER);
    cells.leave(HOME, 0);
    end_short(&mut cells, &[OTHER], |cells, at| {
        if at == 2_400 {
            cells.take_over(HOME);
            cells.take_over(OTHER);
        }
    });
    assert_eq!(started_remote(&cells), 4);
});

case!(tasks_start_remotely_though_two_cells_have_to_free_room, cells, 3, {
    fill(&mut cells, OTHER);
    cells.give_job(THIRD, JobId(23), vec![tasks(4, 24, true)]);
    cells.run(MAX_DOWNTIME);
    cells.give_job(THIRD, JobId(24), vec![tasks(120, 8, false)]);
    cells.run(INTERVAL);
    cells.leave(HOME, 0);
    cells.leave(HOME, 1);
    let third = |cells: &Cells| started(cells, THIRD, JobId(24));
    end_short(&mut cells, &[OTHER], |cells, at| {
        let next = third(cells).get((at / INTERVAL) as usize).copied();
        next.into_iter().for_each(|task| cells.finish(task));
    });
    assert_eq!(started_remote(&cells), 8);
});

case!(short_tasks_run_on_beside_the_room_kept, cells, 2, {
    fill(&mut cells, OTHER);
    cells.leave(HOME, 0);
    let before = started(&cells, OTHER, SHORT).len();
    end_short(&mut cells, &[OTHER], |_, _| ());
    assert_eq!(started_remote(&cells), 4);
    let ended = before.max(started(&cells, OTHER, SHORT).len());
    let running = cells.living() - 16 - 4;
    assert!(
        running <= 4 && ended >= 4,
        "expected no short task to be stopped: {running} of {ended} run"
    );
});

/// One cell of four workers, in which a long-running task's worker leaves and short tasks fill all others.
fn single_cell(wanted: StepSpec, short: StepSpec) -> Cells {
    let mut cells = Cells::of(1, vec![wanted]);
    cells.lively = true;
    cells.give_job(HOME, SHORT, vec![short]);
    cells.run(INTERVAL);
    cells.leave_with(HOME, JOB);
    cells
}

/// The number of runs of the home cell's job that start within the longest downtime.
fn restarted(mut cells: Cells) -> usize {
    let before = started(&cells, HOME, JOB).len();
    end_short(&mut cells, &[HOME], |_, _| ());
    started(&cells, HOME, JOB).len() - before
}

#[test]
fn a_task_larger_than_one_short_task_gets_its_room() {
    let cells = single_cell(tasks(1, 24, true), tasks(200, 8, false));
    assert_eq!(restarted(cells), 1, "short tasks take the room of each one that ends");
}

#[test]
fn a_task_that_lacks_memory_gets_it() {
    let memory = |step: StepSpec, mem| StepSpec { room: Room { mem, ..step.room }, ..step };
    let wanted = memory(tasks(1, 1, true), MEMORY / 2);
    let short = memory(tasks(200, 1, false), MEMORY / 4);
    assert_eq!(
        restarted(single_cell(wanted, short)),
        1,
        "short tasks take the memory of each one that ends"
    );
}

#[test]
fn a_gang_gets_room_for_all_of_it() {
    let wanted = StepSpec { gang: true, ..tasks(2, CORES / 2, true) };
    assert_eq!(
        restarted(single_cell(wanted, tasks(200, 8, false))),
        2,
        "short tasks take its room"
    );
}

/// Nothing ends in the cell that was to free room, whatever load it reported; later a third one has room.
#[test]
fn tasks_that_wait_remotely_are_transferred_on_to_a_cell_with_room() {
    const FILLING: JobId = JobId(23);
    let mut cells = Cells::full(3);
    cells.lively = true;
    cells.give_job(THIRD, FILLING, vec![tasks(4, CORES, true)]);
    cells.run(MAX_DOWNTIME);
    fill(&mut cells, OTHER);
    assert_eq!(started(&cells, THIRD, FILLING).len(), 4);
    cells.leave(HOME, 0);
    cells.run(MAX_DOWNTIME / 2);
    assert_eq!(
        (cells.owner(HOME).summary().waiting, started_remote(&cells)),
        (0, 0),
        "the tasks wait in the other cell"
    );
    cells.cancel(THIRD, FILLING);
    cells.run(MAX_DOWNTIME / 2);
    assert_eq!(
        started(&cells, THIRD, JOB).len(),
        4,
        "tasks keep waiting in a cell where nothing ends"
    );
}

/// Fault: if tasks that wait for room in another cell count as running after the time that a transfer takes, more tasks
/// of a step are unavailable at once than its disruption budget allows.
#[test]
fn tasks_that_wait_remotely_count_against_the_disruption_budget() {
    const BUDGET: u16 = 2;
    let mut cells = Cells::of(2, vec![StepSpec { disruption_budget: Some(BUDGET), ..step() }]);
    cells.lively = true;
    cells.deaf = false;
    fill(&mut cells, OTHER);
    let others = cells.living() - 16;
    cells.leave(HOME, 0);
    for _ in 0..MAX_DOWNTIME / INTERVAL {
        cells.run(INTERVAL);
        let down = 16 + others - cells.living();
        assert!(down <= usize::from(BUDGET), "{down} tasks of the step are unavailable at once");
    }
    assert_eq!(started(&cells, OTHER, JOB).len(), 0, "nothing has ended in the other cell");
}
