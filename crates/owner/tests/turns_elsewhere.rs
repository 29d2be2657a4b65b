//! A lasting task that ran before goes before short ones, whatever goes on meanwhile and whatever is short.
//!
//! Symptom: as in `cell_turns.rs`, and in a cell by itself: short tasks start one after the other, and a lasting task
//! that ran before and asks for more than one of them waits for as long as they come.
//! Cause: nothing kept the room of short tasks that end until there was enough of it, in its own cell or in another.
//! Settled by: `event=placed` of short tasks on a worker that has the lasting task's room without them.

mod cells;

use myrtle_base::Room;
use myrtle_job::{JobId, StepSpec, TaskId};

use cells::{Cells, JOB, starts, step};

/// How long a lasting task may be without a run, in milliseconds: 6 s from its last run, and 3 s.
const SOON: u64 = 9_000;

/// The time after which the next short task ends, in milliseconds.
const ENDS: u64 = 300;

/// The cells of the tests.
const HOME: usize = 0;
const OTHER: usize = 1;
const THIRD: usize = 2;

/// Jobs beside the home's.
const LARGE: JobId = JobId(21);
const SHORT: JobId = JobId(22);

/// A worker's memory, in megabytes, and its cores.
const MEMORY: u32 = 128_000;
const CORES: u32 = 32;

/// Names a case and gives it so many cells of four workers, the first of them full with one job.
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

/// A step of tasks of so many cores each; short ones take 5 s by their own word.
fn tasks(count: u16, cores: u32, lasting: bool) -> StepSpec {
    let room = Room { cpu: 1_000 * cores, mem: 1_000, accel: 0 };
    StepSpec { count, room, lasting, estimate: 5_000, ..step() }
}

/// The tasks of a job that were started in a cell.
fn started(cells: &Cells, cell: usize, job: JobId) -> Vec<TaskId> {
    let starts = starts(&cells.orders[cell]).into_iter();
    starts.map(|(task, ..)| task).filter(|task| task.job == job).collect()
}

/// Fills a cell with a job that lasts and with short tasks, of which many more wait.
fn crowd(cells: &mut Cells, cell: usize) {
    cells.give_job(cell, LARGE, vec![tasks(4, 24, true)]);
    cells.run(SOON);
    cells.give_job(cell, SHORT, vec![tasks(120, 8, false)]);
    cells.run(ENDS);
    assert_eq!((started(cells, cell, LARGE).len(), started(cells, cell, SHORT).len()), (4, 4));
}

/// One short task after the other ends in some cells, for as long as lasting ones may be missed.
fn pass_time(cells: &mut Cells, at: &[usize], mut each: impl FnMut(&mut Cells, u64)) {
    for n in 0..SOON / ENDS {
        for &cell in at {
            let next = started(cells, cell, SHORT).get(n as usize).copied();
            next.into_iter().for_each(|task| cells.finish(task));
        }
        each(cells, n * ENDS);
        cells.run(ENDS);
    }
}

/// The lasting tasks of the home's job that were started elsewhere.
fn elsewhere(cells: &Cells) -> usize {
    (OTHER..cells.orders.len()).map(|cell| started(cells, cell, JOB).len()).sum()
}

case!(also_if_the_owner_of_their_own_cell_changes, cells, 2, {
    crowd(&mut cells, OTHER);
    cells.leave(HOME, 0);
    pass_time(&mut cells, &[OTHER], |cells, at| {
        if at == 0 || at == 1_200 || at == 2_400 {
            cells.take_over(HOME);
        }
    });
    assert_eq!(elsewhere(&cells), 4);
});

case!(also_if_the_owner_of_the_other_cell_changes, cells, 2, {
    crowd(&mut cells, OTHER);
    cells.leave(HOME, 0);
    pass_time(&mut cells, &[OTHER], |cells, at| {
        if at % 2_400 == 0 {
            cells.take_over(OTHER);
        }
    });
    assert_eq!(elsewhere(&cells), 4);
});

case!(also_if_what_is_handed_on_is_lost_with_its_owner, cells, 2, {
    crowd(&mut cells, OTHER);
    cells.lossy = true;
    cells.leave(HOME, 0);
    pass_time(&mut cells, &[OTHER], |cells, at| {
        if at == 2_400 {
            cells.lossy = false;
            cells.take_over(HOME);
        }
    });
    assert_eq!(elsewhere(&cells), 4);
});

case!(also_if_both_owners_die_at_once, cells, 2, {
    crowd(&mut cells, OTHER);
    cells.leave(HOME, 0);
    pass_time(&mut cells, &[OTHER], |cells, at| {
        if at == 2_400 {
            cells.take_over(HOME);
            cells.take_over(OTHER);
        }
    });
    assert_eq!(elsewhere(&cells), 4);
});

case!(also_if_two_cells_have_to_make_room, cells, 3, {
    crowd(&mut cells, OTHER);
    cells.give_job(THIRD, JobId(23), vec![tasks(4, 24, true)]);
    cells.run(SOON);
    cells.give_job(THIRD, JobId(24), vec![tasks(120, 8, false)]);
    cells.run(ENDS);
    cells.leave(HOME, 0);
    cells.leave(HOME, 1);
    let third = |cells: &Cells| started(cells, THIRD, JobId(24));
    pass_time(&mut cells, &[OTHER], |cells, at| {
        let next = third(cells).get((at / ENDS) as usize).copied();
        next.into_iter().for_each(|task| cells.finish(task));
    });
    assert_eq!(elsewhere(&cells), 8);
});

case!(short_ones_go_on_beside_what_is_kept, cells, 2, {
    crowd(&mut cells, OTHER);
    cells.leave(HOME, 0);
    let before = started(&cells, OTHER, SHORT).len();
    pass_time(&mut cells, &[OTHER], |_, _| ());
    assert_eq!(elsewhere(&cells), 4);
    let ended = before.max(started(&cells, OTHER, SHORT).len());
    let running = cells.living() - 16 - 4;
    assert!(running <= 4 && ended >= 4, "none of them was stopped: {running} of {ended}");
});

/// One cell of four workers, in which a lasting task has left its worker and short ones fill all others.
fn alone(wanted: StepSpec, short: StepSpec) -> Cells {
    let mut cells = Cells::of(1, vec![wanted]);
    cells.lively = true;
    cells.give_job(HOME, SHORT, vec![short]);
    cells.run(ENDS);
    cells.leave_with(HOME, JOB);
    cells
}

/// How many runs of the home's job go on after the time that its tasks may be missed.
fn back(mut cells: Cells) -> usize {
    let before = started(&cells, HOME, JOB).len();
    pass_time(&mut cells, &[HOME], |_, _| ());
    started(&cells, HOME, JOB).len() - before
}

#[test]
fn one_that_asks_for_more_than_a_short_one_leaves_gets_its_room() {
    let cells = alone(tasks(1, 24, true), tasks(200, 8, false));
    assert_eq!(back(cells), 1, "short ones take the room of each that ends");
}

#[test]
fn one_that_lacks_memory_gets_it() {
    let memory = |step: StepSpec, mem| StepSpec { room: Room { mem, ..step.room }, ..step };
    let wanted = memory(tasks(1, 1, true), MEMORY / 2);
    let short = memory(tasks(200, 1, false), MEMORY / 4);
    assert_eq!(back(alone(wanted, short)), 1, "short ones take the memory of each that ends");
}

#[test]
fn a_gang_gets_room_for_all_of_it() {
    let wanted = StepSpec { gang: true, ..tasks(2, CORES / 2, true) };
    assert_eq!(back(alone(wanted, tasks(200, 8, false))), 2, "short ones take its room");
}

/// Nothing ends in the cell that was to make room, whatever it said; later a third one has some.
#[test]
fn what_waits_for_room_elsewhere_goes_on_to_a_cell_that_has_it() {
    const FILLS: JobId = JobId(23);
    let mut cells = Cells::full(3);
    cells.lively = true;
    cells.give_job(THIRD, FILLS, vec![tasks(4, CORES, true)]);
    cells.run(SOON);
    crowd(&mut cells, OTHER);
    assert_eq!(started(&cells, THIRD, FILLS).len(), 4);
    cells.leave(HOME, 0);
    cells.run(SOON / 2);
    assert_eq!((cells.owner(HOME).gist().waiting, elsewhere(&cells)), (0, 0), "they wait there");
    cells.cancel(THIRD, FILLS);
    cells.run(SOON / 2);
    assert_eq!(started(&cells, THIRD, JOB).len(), 4, "they wait on where nothing ends");
}

/// Symptom: AVAIL; more tasks of a step are away at once than it allows.
/// Cause: tasks that wait in another cell for room counted as at work after the time that a hand-over takes.
#[test]
fn what_waits_for_room_elsewhere_counts_as_away() {
    const MOST: u16 = 2;
    let mut cells = Cells::of(2, vec![StepSpec { may_miss: Some(MOST), ..step() }]);
    cells.lively = true;
    cells.deaf = false;
    crowd(&mut cells, OTHER);
    let others = cells.living() - 16;
    cells.leave(HOME, 0);
    for _ in 0..SOON / ENDS {
        cells.run(ENDS);
        let away = 16 + others - cells.living();
        assert!(away <= usize::from(MOST), "{away} tasks of the step are away at once");
    }
    assert_eq!(started(&cells, OTHER, JOB).len(), 0, "nothing has ended there");
}
