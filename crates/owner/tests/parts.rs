//! Lasting tasks that find no room in their cell go on in another one.
//!
//! Symptom: tasks that last do not run for 20 s though other workers have room.
//! Sequence: workers of a data centre leave; lasting tasks on them are stopped in order to go on
//! elsewhere; the cell has no worker with room for them, other cells have.
//! Cause: only jobs of which nothing was ever started went to other cells.
//! Settled by: `event=waits ... reason="no worker with its labels has room"` of tasks whose runs had
//! just been stopped, and `event=cell ... waiting=` above 0 in one cell and 0 in all others.

mod cells;

use myrtle_job::{Key, Load, Part, PartId, State, decode};

use cells::{Cells, JOB, listing, owner, starts, stops};

/// How long a task may find no worker before it should be with a cell that has room.
const SOON: u64 = 2_500;

/// The cells of the tests: the job's home, a cell with room, a further one.
const HOME: usize = 0;
const OTHER: usize = 1;
const THIRD: usize = 2;

/// The name of the first tasks that the home hands on.
const FIRST: PartId = PartId { job: JOB, from: HOME as u32, number: 0 };

/// Names a case and gives it cells of four workers each, the first of them full with one job.
macro_rules! case {
    ($name:ident, $cells:ident, $count:expr, $body:block) => {
        #[test]
        fn $name() {
            let mut $cells = Cells::full($count);
            $body
        }
    };
}

case!(tasks_whose_worker_leaves_go_to_a_cell_with_room, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(SOON);
    assert_eq!(cells.owner(HOME).gist().waiting, 0, "tasks wait though another cell has room");
    let there = starts(&cells.orders[OTHER]);
    assert_eq!(there.len(), 4, "the other cell starts them");
    assert!(
        there
            .iter()
            .all(|(task, run, saved)| { *run == 2 && *saved == format!("saved-{}", task.index) })
    );
    assert_eq!(cells.owner(OTHER).pending().len(), 0, "the home answers for the job");
});

case!(tasks_stay_while_no_other_cell_has_a_worker_with_room, cells, 2, {
    cells.deaf = true;
    cells.leave(HOME, 0);
    let crowded = Load { claimed: 0.0, size: 512_000.0, free: vec![], again: vec![], soon: vec![] };
    for _ in 0..SOON / 100 {
        let now = cells.now;
        cells.owner(HOME).hear(OTHER as u32, crowded.clone(), now);
        cells.run(100);
    }
    assert_eq!(cells.owner(HOME).gist().waiting, 4);
});

case!(what_is_handed_on_is_written_before_it_is_delivered, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(1_700);
    cells.now += 400;
    cells.talk();
    let now = cells.now;
    let cell = cells.owner(HOME);
    cell.plan(now);
    assert_eq!(cell.deliveries(), vec![], "not before the home has written that");
    let batch = cell.batch();
    assert_eq!(cell.deliveries(), vec![]);
    cell.committed(batch, now);
    let deliveries = cell.deliveries();
    assert_eq!(deliveries.len(), 1);
    assert_eq!((deliveries[0].key, deliveries[0].to), (Key::Part(FIRST), OTHER as u32));
    let part: Part = decode(&deliveries[0].record).unwrap();
    assert_eq!(part.tasks.len(), 4);
});

case!(the_next_owner_delivers_what_the_last_one_may_not_have, cells, 2, {
    cells.lossy = true;
    cells.leave(HOME, 0);
    cells.run(SOON);
    assert_eq!(starts(&cells.orders[OTHER]).len(), 0);
    cells.lossy = false;
    cells.take_over(HOME);
    cells.run(SOON);
    assert_eq!(starts(&cells.orders[OTHER]).len(), 4);
    assert_eq!(cells.owner(HOME).gist().waiting, 0);
    cells.take_over(HOME);
    cells.run(SOON);
    assert_eq!(starts(&cells.orders[OTHER]).len(), 4, "once is enough");
});

case!(the_next_owner_of_the_other_cell_goes_on_with_them, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(SOON);
    cells.take_over(OTHER);
    cells.run(SOON);
    let runs: usize = cells.owner(OTHER).workers.values().map(|w| w.flights.len()).sum();
    assert_eq!(runs, 4);
    assert_eq!(starts(&cells.orders[OTHER]).len(), 4, "inherited runs are not started again");
});

case!(a_cancelled_job_stops_in_every_cell, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(SOON);
    let now = cells.now;
    assert!(cells.owner(HOME).cancel(JOB, now, now));
    cells.run(200);
    assert_eq!(stops(&cells.orders[OTHER]).len(), 4);
    assert!(cells.owner(OTHER).state(JOB).unwrap().over());
});

case!(a_cancelled_job_stops_in_every_cell_though_its_owner_dies, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(SOON);
    cells.lossy = true;
    let now = cells.now;
    assert!(cells.owner(HOME).cancel(JOB, now, now));
    cells.run(200);
    cells.lossy = false;
    cells.take_over(HOME);
    cells.run(200);
    assert_eq!(stops(&cells.orders[OTHER]).len(), 4);
});

case!(tasks_that_come_again_change_nothing, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(SOON);
    let part: Part = decode(&cells.records(OTHER)[0].1).unwrap();
    let cell = cells.owner(OTHER);
    let before = cell.jobs[&JOB].progress.clone();
    cell.take_part(FIRST, part, 9_000, 9_000);
    assert_eq!(cell.jobs[&JOB].progress, before);
    assert!(cell.batch().is_empty());
});

case!(tasks_that_come_after_the_end_of_their_job_are_not_started, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(SOON);
    let part: Part = decode(&cells.records(OTHER)[0].1).unwrap();
    let mut late = owner(OTHER as u32, 9, 0);
    late.take_back(JOB, 10, 10);
    late.take_part(FIRST, part, 20, 20);
    late.plan(30);
    let batch = late.batch();
    assert_eq!(late.committed(batch, 30), vec![]);
});

case!(the_end_of_a_job_follows_its_tasks_through_all_cells, cells, 3, {
    cells.leave(HOME, 0);
    cells.run(SOON);
    let there = starts(&cells.orders[OTHER]).len();
    assert_eq!(there + starts(&cells.orders[THIRD]).len(), 4);
    (0..4).for_each(|worker| cells.leave(OTHER, worker));
    cells.run(2 * SOON);
    assert_eq!(starts(&cells.orders[THIRD]).len(), 4, "those of the other cell have followed");
    cells.stay(HOME, 0);
    (0..4).for_each(|worker| cells.leave(THIRD, worker));
    cells.run(2 * SOON);
    assert_eq!(cells.owner(THIRD).gist().waiting, 0, "they are back at home");
    assert_eq!(cells.living(), 16);
    let now = cells.now;
    assert!(cells.owner(HOME).cancel(JOB, now, now));
    cells.run(400);
    assert!(cells.owner(OTHER).state(JOB).unwrap().over());
    assert!(cells.owner(THIRD).state(JOB).unwrap().over());
    assert_eq!(cells.living(), 0);
});

case!(records_of_forgotten_jobs_are_dropped, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(SOON);
    let now = cells.now;
    cells.owner(HOME).cancel(JOB, now, now);
    cells.run(200);
    cells.confirm_stops(OTHER);
    let later = cells.now + 3 * myrtle_owner::Bounds::default().status;
    let cell = cells.owner(OTHER);
    cell.forget(later, later);
    let batch = cell.batch();
    assert_eq!(batch.drops, vec![Key::Part(FIRST), Key::Recall(FIRST)]);
    assert_eq!(batch.records, vec![(JOB, vec![])]);
});

#[test]
fn workers_about_to_leave_count_for_nothing() {
    let mut cell = owner(0, 1, 0);
    assert_eq!((cell.load(10).size, cell.load(10).free.len()), (128_000.0, 4));
    cell.list("w0-0", listing(0, 0, true), 10);
    assert_eq!((cell.load(10).size, cell.load(10).free.len()), (96_000.0, 3));
}

/// Owners die and deliveries are late, lost or repeated at any moment: no task is ever started by
/// two cells under one number, and none is forgotten.
#[test]
fn every_task_is_looked_after_by_exactly_one_cell() {
    for seed in 0..200 {
        let mut cells = Cells::full(3);
        cells.chaos(seed);
        let mut runs: Vec<_> = cells.orders.iter().flat_map(|o| starts(o)).collect();
        runs.sort();
        let all = runs.len();
        runs.dedup_by_key(|(task, run, _)| (*task, *run));
        assert_eq!(runs.len(), all, "seed {seed}: a run was started twice");
        assert_eq!(cells.living(), 16, "seed {seed}: a task runs nowhere, or twice");
        let now = cells.now;
        assert!(cells.owner(HOME).cancel(JOB, now, now));
        cells.run(1_000);
        assert_eq!(cells.living(), 0, "seed {seed}: a task goes on after the end of its job");
    }
}

/// How many workers are lost under a task before its job is given up, whatever the cause.
const LOSSES: u8 = 5;

/// The same while workers start anew under their ids. A task under which too many were lost ends the job, everywhere.
#[test]
fn every_task_is_looked_after_though_workers_start_anew() {
    for seed in 0..200 {
        let mut cells = Cells::full(3);
        cells.restless_chaos(seed);
        let mut runs: Vec<_> = cells.orders.iter().flat_map(|o| starts(o)).collect();
        runs.sort();
        let all = runs.len();
        runs.dedup_by_key(|(task, run, _)| (*task, *run));
        assert_eq!(runs.len(), all, "seed {seed}: a run was started twice");
        let given_up = cells.owner(HOME).state(JOB) == Some(State::Failed);
        let jobs = (0..3).filter_map(|cell| cells.owner(cell).jobs.get(&JOB).cloned());
        let lost = jobs.flat_map(|job| job.progress.crashes.into_values().map(|c| c.seen));
        let most = lost.max().unwrap_or_default();
        assert!(!given_up || most >= LOSSES, "seed {seed}: given up after {most} losses");
        let living = if given_up { 0 } else { 16 };
        assert_eq!(cells.living(), living, "seed {seed}: a task runs nowhere, or twice");
    }
}
