//! Long-running tasks after they were transferred to another cell.

mod cells;

use myrtle_base::Room;
use myrtle_job::{Incarnation, JobId, Listing, Load, StepSpec, TaskId, WorkerRuns};

use cells::{Cells, JOB, listing, starts, step, stops};

/// The time within which a task without a worker must be transferred to a cell with room, in milliseconds.
const TRANSFERRED_WITHIN: u64 = 2_500;

/// The shortest wait of a task before its cell may transfer it, in milliseconds.
const MIN_WAIT: u64 = 1_000;

/// The cells: the home of the job, a cell with room, and a further one.
const HOME: usize = 0;
const OTHER: usize = 1;
const THIRD: usize = 2;

fn task(step: u16, index: u16) -> TaskId {
    TaskId { job: JOB, round: 0, step, index }
}

/// Guards against a stopped task being transferred within 100 ms, though its own cell has room soon: after
/// all waiting tasks were transferred the start of the wait must be reset, or tasks of the next worker that leaves
/// count as waiting since then, and use reserved room at once too.
#[test]
fn the_wait_of_transferred_tasks_does_not_count_for_later_ones() {
    let mut cells = Cells::full(2);
    cells.leave(HOME, 0);
    cells.run(TRANSFERRED_WITHIN);
    assert_eq!(starts(&cells.orders[OTHER]).len(), 4);
    cells.run(10_000);
    cells.leave(HOME, 1);
    cells.run(MIN_WAIT);
    assert_eq!(starts(&cells.orders[OTHER]).len(), 4, "transferred without a wait");
}

/// Guards against more unavailable tasks than the disruption budget when some tasks of a step were transferred and
/// workers of both cells leave at once: each cell counts the other's tasks as running and would use the whole budget.
#[test]
fn both_cells_together_keep_the_disruption_budget() {
    let mut cells = Cells::of(2, vec![StepSpec { disruption_budget: Some(2), ..step() }]);
    cells.deaf = false;
    cells.leave(HOME, 0);
    cells.run(30_000);
    assert_eq!((cells.living(), starts(&cells.orders[OTHER]).len()), (16, 4));
    cells.leave(HOME, 1);
    (0..4).for_each(|worker| cells.leave(OTHER, worker));
    for _ in 0..50 {
        cells.run(100);
        let unavailable = 16 - cells.living();
        assert!(unavailable <= 2, "{unavailable} tasks of the step are unavailable at once");
    }
}

/// Guards against transferred tasks that end with their worker, or exceed a disruption budget of one, when that worker
/// announces when it leaves: the cell's share of the budget is zero, so it has to stop the tasks just before the end.
#[test]
fn a_cell_without_disruption_budget_moves_tasks_just_before_their_worker_ends() {
    let mut cells = Cells::of(2, vec![StepSpec { disruption_budget: Some(1), ..step() }]);
    cells.deaf = false;
    cells.leave(HOME, 0);
    cells.run(30_000);
    assert_eq!((cells.living(), starts(&cells.orders[OTHER]).len()), (16, 4));
    for worker in 0..4 {
        let now = cells.now;
        let listing = Listing { remaining_ms: Some(4_000), ..listing(OTHER, worker, true) };
        cells.owner(OTHER).apply_listing(&format!("w{OTHER}-{worker}"), listing, now);
    }
    cells.run(2_000);
    assert_eq!(stops(&cells.orders[OTHER]).len(), 0, "too early");
    cells.run(2_000);
    assert_eq!(stops(&cells.orders[OTHER]).len(), 4, "they end with their workers");
}

/// The disruption budget of a step is divided among cells, and transfers neither raise nor lower its sum.
#[test]
fn the_budgets_of_all_cells_add_up_to_that_of_the_step() {
    for seed in 0..100 {
        let mut cells = Cells::of(3, vec![StepSpec { disruption_budget: Some(5), ..step() }]);
        cells.deaf = false;
        cells.chaos(seed);
        let budgets: Vec<u16> = (0..3)
            .filter_map(|cell| Some(cells.owner(cell).jobs.get(&JOB)?.progress.budget(0, 5)))
            .collect();
        assert_eq!(budgets.iter().sum::<u16>(), 5, "seed {seed}: {budgets:?}");
    }
}

/// Guards against transferred tasks that never start though the cell has room: their step follows one that is done,
/// and a transfer does not say so, so the other cell must not wait for the earlier step.
#[test]
fn tasks_of_a_step_after_a_finished_one_run_in_another_cell() {
    let first = StepSpec { count: 1, long_running: false, ..step() };
    let mut cells = Cells::of(2, vec![first, StepSpec { after: vec![0], ..step() }]);
    cells.finish(task(0, 0));
    cells.run(TRANSFERRED_WITHIN);
    assert_eq!(cells.living(), 16);
    cells.deaf = false;
    cells.leave(HOME, 0);
    cells.run(4 * TRANSFERRED_WITHIN);
    assert_eq!(cells.living(), 16, "transferred tasks do not run");
}

/// Guards against transfers to the cell with the most room if that has no worker of the tasks' service: the loads of
/// cells must name the service of each free worker.
#[test]
fn tasks_go_to_a_cell_that_has_workers_of_their_service() {
    let mut cells = Cells::full(3);
    for worker in 0..4 {
        let now = cells.now;
        let listing = Listing { service: "x".into(), ..listing(OTHER, worker, false) };
        cells.owner(OTHER).apply_listing(&format!("w{OTHER}-{worker}"), listing, now);
    }
    cells.leave(HOME, 0);
    cells.run(TRANSFERRED_WITHIN);
    assert_eq!(
        starts(&cells.orders[THIRD]).len(),
        4,
        "they were transferred to a cell without workers of their service"
    );
}

/// Guards against tasks that are not transferred back to a cell that had them: their cell has room again when the
/// workers of the other cell leave.
#[test]
fn tasks_come_back_to_a_cell_that_has_room_again() {
    let mut cells = Cells::full(2);
    cells.leave(HOME, 0);
    cells.run(TRANSFERRED_WITHIN);
    assert_eq!(starts(&cells.orders[OTHER]).len(), 4);
    cells.stay(HOME, 0);
    (0..4).for_each(|worker| cells.leave(OTHER, worker));
    cells.run(9_000);
    assert_eq!(cells.living(), 16, "tasks do not run though their own cell has room");
}

/// Guards against a running job being shown as `queued` and counted as pending if its home cell has no worker and
/// transfers all tasks, so that none of them starts at home.
#[test]
fn a_job_whose_tasks_all_run_in_another_cell_is_shown_as_running() {
    let mut cells = Cells::full(2);
    (0..4).for_each(|worker| cells.leave(HOME, worker));
    cells.run(2 * TRANSFERRED_WITHIN);
    cells.cancel_home();
    cells.give_job(HOME, JobId(8), vec![step()]);
    cells.run(4 * TRANSFERRED_WITHIN);
    assert_eq!(cells.living(), 16, "the second job runs");
    let state = cells.owner(HOME).state(JobId(8)).unwrap();
    assert!(cells.owner(HOME).pending().is_empty(), "pending though it runs: {state}");
}

/// Guards against transferred tasks that wait 9 to 13 s in a cell without room for them while a further cell has room.
/// A transferred task waits 1.5 s for reserved room; if the cell's load still shows that room as free, it replaces
/// the home's count, and a task of another job is transferred to the same room. The limit on claims does not prevent
/// this, as every worker has processors left.
#[test]
fn no_more_tasks_are_transferred_than_there_is_room_for() {
    let of = |count, cpu| {
        let room = Room { cpu, mem: 1_000, accel: 0 };
        vec![StepSpec { count, room, ..step() }]
    };
    let mut cells = Cells::of(3, of(2, 20_000));
    cells.give_job(HOME, JobId(8), of(2, 20_000));
    cells.give_job(OTHER, JobId(9), of(3, 20_000));
    cells.give_job(THIRD, JobId(10), of(3, 28_000));
    cells.run(TRANSFERRED_WITHIN);
    assert_eq!(cells.living(), 10);
    cells.deaf = false;
    cells.leave_with(HOME, JOB);
    cells.run(600);
    cells.leave_with(HOME, JobId(8));
    cells.run(2_200);
    assert_eq!(cells.owner(HOME).summary().waiting, 0, "both are transferred");
    let waiting = cells.owner(OTHER).summary().waiting;
    assert!(waiting <= 1, "{waiting} tasks wait in the other cell for the room of one");
}

/// Guards against a task that waits for an accelerator though another cell has one free: a load lists only the few
/// workers with the most free processors.
#[test]
fn the_load_of_a_cell_includes_free_accelerators() {
    let mut cells = Cells::full(2);
    let now = cells.now;
    let owner = cells.owner(OTHER);
    for n in 0..Load::MAX_WORKERS as u16 {
        let held = WorkerRuns { started_at: 0, clock_ms: now, running: vec![], ended: vec![] };
        let id = Incarnation::new(format!("x{n}"), listing(OTHER, n, false).started_at);
        owner.apply_listing(id.id(), listing(OTHER, 10 + n, false), now);
        owner.renewed(&id, held, now, now, now);
    }
    let mut with = listing(OTHER, 99, false);
    with.room.cpu = 16_000;
    with.room.accel = 8;
    let held = WorkerRuns { started_at: 0, clock_ms: now, running: vec![], ended: vec![] };
    let id = Incarnation::new("gpu", with.started_at);
    owner.apply_listing(id.id(), with, now);
    owner.renewed(&id, held, now, now, now);
    assert!(
        owner.load(now).free.iter().any(|free| free.room.accel > 0),
        "the load lists no free accelerator"
    );
}

/// Guards against tasks that do not run though their job's home has room: a job was transferred as a whole before it
/// began, and a worker leaves the full cell. The home must not count as a cell that has had the tasks, as none of
/// them ran there, or with two cells none is left.
#[test]
fn tasks_of_a_job_that_was_transferred_as_a_whole_go_to_its_home() {
    let of = |count| vec![StepSpec { count, ..step() }];
    let mut cells = Cells::of(2, of(1));
    cells.give_job(OTHER, JobId(8), of(4));
    cells.run(TRANSFERRED_WITHIN);
    cells.deaf = false;
    cells.home = OTHER as u32;
    cells.run(100);
    cells.give_job(OTHER, JobId(9), of(15));
    cells.run(TRANSFERRED_WITHIN);
    assert_eq!(cells.owner(OTHER).transferred_to(JobId(9)), Some(HOME as u32));
    assert_eq!(cells.living(), 20);
    cells.leave(HOME, 0);
    cells.run(9_000);
    assert_eq!(cells.living(), 20, "tasks do not run though their home has room");
}
