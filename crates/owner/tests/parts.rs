//! Long-running tasks that find no room in their cell are transferred to another one.
//!
//! Fault: workers of a data centre leave, and long-running tasks on them are stopped to run elsewhere. Their cell has no
//! worker with room and other cells have, but if only jobs that never started are transferred, the tasks don't run for
//! 20 s.

mod cells;

use myrtle_job::{Key, Load, State, Transfer, TransferId, decode};

use cells::{Cells, JOB, listing, owner, starts, stops};

/// The time within which a task that finds no worker is transferred to a cell with room, in milliseconds.
const TRANSFER_LIMIT: u64 = 2_500;

/// The home cell of the job.
const HOME: usize = 0;

/// A cell with room.
const OTHER: usize = 1;

/// A further cell.
const THIRD: usize = 2;

/// The id of the home cell's first outgoing transfer.
const FIRST: TransferId = TransferId { job: JOB, from: HOME as u32, number: 0 };

/// Declares a test with cells of four workers each, of which one job fills the first.
macro_rules! case {
    ($name:ident, $cells:ident, $count:expr, $body:block) => {
        #[test]
        fn $name() {
            let mut $cells = Cells::full($count);
            $body
        }
    };
}

case!(tasks_of_a_leaving_worker_are_transferred_to_a_cell_with_room, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(TRANSFER_LIMIT);
    assert_eq!(cells.owner(HOME).summary().waiting, 0, "tasks wait although another cell has room");
    let started = starts(&cells.orders[OTHER]);
    assert_eq!(started.len(), 4, "the other cell starts them");
    assert!(
        started
            .iter()
            .all(|(task, run, saved)| { *run == 2 && *saved == format!("saved-{}", task.index) })
    );
    assert_eq!(cells.owner(OTHER).pending().len(), 0, "the home cell answers for the job");
});

case!(tasks_stay_while_no_other_cell_has_a_worker_with_room, cells, 2, {
    cells.deaf = true;
    cells.leave(HOME, 0);
    let full = Load {
        claimed: 0.0,
        capacity: 512_000.0,
        free: vec![],
        restart_free: vec![],
        soon_free: vec![],
    };
    for _ in 0..TRANSFER_LIMIT / 100 {
        let now = cells.now;
        cells.owner(HOME).record_load(OTHER as u32, full.clone(), now);
        cells.run(100);
    }
    assert_eq!(cells.owner(HOME).summary().waiting, 4);
});

case!(an_outgoing_transfer_is_logged_before_its_delivery, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(1_700);
    cells.now += 400;
    cells.talk();
    let now = cells.now;
    let cell = cells.owner(HOME);
    cell.plan(now);
    assert_eq!(cell.deliveries(), vec![], "no delivery before the home cell has logged it");
    let batch = cell.batch();
    assert_eq!(cell.deliveries(), vec![]);
    cell.committed(batch, now);
    let deliveries = cell.deliveries();
    assert_eq!(deliveries.len(), 1);
    assert_eq!((deliveries[0].key, deliveries[0].to), (Key::Transfer(FIRST), OTHER as u32));
    let transfer: Transfer = decode(&deliveries[0].record).unwrap();
    assert_eq!(transfer.tasks.len(), 4);
});

case!(the_next_owner_delivers_transfers_that_may_be_undelivered, cells, 2, {
    cells.lossy = true;
    cells.leave(HOME, 0);
    cells.run(TRANSFER_LIMIT);
    assert_eq!(starts(&cells.orders[OTHER]).len(), 0);
    cells.lossy = false;
    cells.take_over(HOME);
    cells.run(TRANSFER_LIMIT);
    assert_eq!(starts(&cells.orders[OTHER]).len(), 4);
    assert_eq!(cells.owner(HOME).summary().waiting, 0);
    cells.take_over(HOME);
    cells.run(TRANSFER_LIMIT);
    assert_eq!(starts(&cells.orders[OTHER]).len(), 4, "a second delivery starts nothing");
});

case!(the_next_owner_of_the_other_cell_keeps_transferred_runs, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(TRANSFER_LIMIT);
    cells.take_over(OTHER);
    cells.run(TRANSFER_LIMIT);
    let runs: usize = cells.owner(OTHER).workers.values().map(|w| w.active_runs.len()).sum();
    assert_eq!(runs, 4);
    assert_eq!(starts(&cells.orders[OTHER]).len(), 4, "inherited runs are not started again");
});

case!(a_cancelled_job_stops_in_every_cell, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(TRANSFER_LIMIT);
    let now = cells.now;
    assert!(cells.owner(HOME).cancel(JOB, now, now));
    cells.run(200);
    assert_eq!(stops(&cells.orders[OTHER]).len(), 4);
    assert!(cells.owner(OTHER).state(JOB).unwrap().over());
});

case!(a_cancelled_job_stops_in_every_cell_though_its_owner_crashes, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(TRANSFER_LIMIT);
    cells.lossy = true;
    let now = cells.now;
    assert!(cells.owner(HOME).cancel(JOB, now, now));
    cells.run(200);
    cells.lossy = false;
    cells.take_over(HOME);
    cells.run(200);
    assert_eq!(stops(&cells.orders[OTHER]).len(), 4);
});

case!(a_repeated_transfer_changes_nothing, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(TRANSFER_LIMIT);
    let transfer: Transfer = decode(&cells.records(OTHER)[0].1).unwrap();
    let cell = cells.owner(OTHER);
    let before = cell.jobs[&JOB].progress.clone();
    cell.receive_transfer(FIRST, transfer, 9_000, 9_000);
    assert_eq!(cell.jobs[&JOB].progress, before);
    assert!(cell.batch().is_empty());
});

case!(a_transfer_after_the_end_of_its_job_starts_nothing, cells, 2, {
    cells.leave(HOME, 0);
    cells.run(TRANSFER_LIMIT);
    let transfer: Transfer = decode(&cells.records(OTHER)[0].1).unwrap();
    let mut late = owner(OTHER as u32, 9, 0);
    late.cancel_transferred(FIRST, 10, 10);
    late.receive_transfer(FIRST, transfer, 20, 20);
    late.plan(30);
    let batch = late.batch();
    assert_eq!(late.committed(batch, 30), vec![]);
});

case!(the_end_of_a_job_reaches_its_tasks_in_all_cells, cells, 3, {
    cells.leave(HOME, 0);
    cells.run(TRANSFER_LIMIT);
    let started = starts(&cells.orders[OTHER]).len();
    assert_eq!(started + starts(&cells.orders[THIRD]).len(), 4);
    (0..4).for_each(|worker| cells.leave(OTHER, worker));
    cells.run(2 * TRANSFER_LIMIT);
    assert_eq!(
        starts(&cells.orders[THIRD]).len(),
        4,
        "tasks of the other cell were transferred on"
    );
    cells.stay(HOME, 0);
    (0..4).for_each(|worker| cells.leave(THIRD, worker));
    cells.run(2 * TRANSFER_LIMIT);
    assert_eq!(cells.owner(THIRD).summary().waiting, 0, "the tasks are back in their home cell");
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
    cells.run(TRANSFER_LIMIT);
    let now = cells.now;
    cells.owner(HOME).cancel(JOB, now, now);
    cells.run(200);
    cells.confirm_stops(OTHER);
    let later = cells.now + 3 * myrtle_owner::TimeLimits::default().status_ttl;
    let cell = cells.owner(OTHER);
    cell.remove_expired(later, later);
    let groups = cell.take_removals();
    assert_eq!(groups, vec![vec![Key::Transfer(FIRST), Key::Recall(FIRST)]]);
    assert!(cell.batch().is_empty(), "the progress stays as long as the records may");
    cell.removals_appended(&groups, 9);
    cell.records_read(10);
    assert_eq!(cell.batch().records, vec![(JOB, vec![])]);
});

// Guards against recalls that stay in the log for good since the transfer that they recall never came.
#[test]
fn the_recall_of_a_transfer_that_never_came_is_removed() {
    let mut cell = owner(OTHER as u32, 1, 0);
    cell.cancel_transferred(FIRST, 10, 10);
    let batch = cell.batch();
    cell.committed(batch, 10);
    assert!(cell.take_removals().is_empty());
    let later = 3 * myrtle_owner::TimeLimits::default().status_ttl;
    cell.remove_expired(later, later);
    assert_eq!(cell.take_removals(), vec![vec![Key::Recall(FIRST)]]);
    assert_eq!(cell.batch().records, vec![(JOB, vec![])]);
}

#[test]
fn draining_workers_add_no_room_to_the_load() {
    let mut cell = owner(0, 1, 0);
    assert_eq!((cell.load(10).capacity, cell.load(10).free.len()), (128_000.0, 4));
    cell.apply_listing("w0-0", listing(0, 0, true), 10);
    assert_eq!((cell.load(10).capacity, cell.load(10).free.len()), (96_000.0, 3));
}

/// Owners crash and deliveries are late, lost or repeated at any time: no two cells start the same run, and no task is
/// forgotten.
#[test]
fn exactly_one_cell_runs_each_task() {
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

/// The number of workers lost under a task after which its job is given up, whatever the cause.
const LOSSES: u8 = 5;

/// The same while workers restart under their ids; a task that lost too many workers ends its job in every cell.
#[test]
fn exactly_one_cell_runs_each_task_though_workers_restart() {
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
        let lost = jobs.flat_map(|job| job.progress.crashes.into_values().map(|c| c.losses));
        let most = lost.max().unwrap_or_default();
        assert!(!given_up || most >= LOSSES, "seed {seed}: given up after {most} losses");
        let living = if given_up { 0 } else { 16 };
        assert_eq!(cells.living(), living, "seed {seed}: a task runs nowhere, or twice");
    }
}
