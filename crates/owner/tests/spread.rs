//! Short jobs go to cells that start them far sooner, and exactly one cell starts them.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;

use common::{job, listing, policy, step};
use myrtle_base::Room;
use myrtle_job::{
    CellReport, Incarnation, JobId, Key, Listing, Load, Policy, Progress, StepSpec, Submission,
    TaskId, TaskQueue, WorkerRuns, decode,
};
use myrtle_owner::{Cell, Delivery, Order, TimeLimits};

/// The number of the home cell and of the other one.
const HOME: u32 = 0;
const OTHER: u32 = 1;

/// The workers of a cell.
const WORKERS: u16 = 4;

/// The time between two passes, in milliseconds.
const STEP: u64 = 50;

/// An owner of workers of 32 cores.
fn owner(number: u32, fence: u64) -> Cell {
    let mut cell = Cell::new(TimeLimits::default(), fence, 0);
    cell.number = number;
    cell.loaded = true;
    cell.only_cell = false;
    for n in 0..WORKERS {
        let address = 100 * number as u16 + n;
        let name = format!("w{address}");
        cell.apply_listing(&name, Listing { started_at: 0, ..listing(address) }, 0);
        let held = WorkerRuns { clock_ms: 5, ..WorkerRuns::default() };
        cell.renewed(&Incarnation::new(name, 0), held, 0, 1, 1);
    }
    cell
}

/// A short job of two tasks that need half a worker each.
fn submission(filler: bool) -> Submission {
    let room = Room { cpu: 16_000, ..step(2).room };
    let image = filler.then(|| "filler".into());
    let spec = StepSpec { room, filler, image, estimate_ms: 1_000, ..step(2) };
    let policy = Policy { stretch: 1.5, slack_ms: 300, ..policy() };
    Submission { policy, spec: job(vec![spec]), accepted_at: 0 }
}

/// The report of a cell without waiting tasks.
fn idle() -> CellReport {
    let queue = TaskQueue { waiting: 0.0, rate: 128_000.0 };
    CellReport {
        load: Load { capacity: 128_000.0, ..Load::default() },
        short: queue,
        fillers: queue,
    }
}

/// Admits short jobs at their home.
fn submit(cell: &mut Cell, ids: std::ops::Range<u64>, now: u64) {
    for id in ids {
        cell.admit(JobId(id), submission(false), now, 0);
        cell.set_home(JobId(id), HOME);
    }
}

/// Plans and writes at each step; returns the starts, with the progress as the log holds it.
fn run(cell: &mut Cell, from: u64, to: u64, log: &mut BTreeMap<JobId, Progress>) -> Vec<TaskId> {
    let mut starts = Vec::new();
    for now in (from..to).step_by(STEP as usize) {
        while cell.plan(now) {}
        let batch = cell.batch();
        for (id, record) in &batch.records {
            log.insert(*id, Progress::read(record).unwrap());
        }
        starts.extend(cell.committed(batch, now).iter().filter_map(|order| match order {
            Order::Start { task, .. } => Some(*task),
            _ => None,
        }));
    }
    starts
}

/// How many of the jobs are transferred.
fn gone(cell: &Cell, ids: std::ops::Range<u64>) -> usize {
    ids.filter(|id| cell.transferred_to(JobId(*id)).is_some()).count()
}

/// Declares a test with the owner of the home cell.
macro_rules! case {
    ($(#[$doc:meta])* $name:ident, $cell:ident, $body:block) => {
        $(#[$doc])*
        #[test]
        fn $name() {
            let mut $cell = owner(HOME, 1);
            $body
        }
    };
}

case! {
    /// Guards against short jobs that wait in a cell without room while another one is idle: four jobs fill the cell,
    /// eight more wait.
    jobs_that_find_no_room_go_to_a_cell_that_starts_them_sooner, cell, {
        cell.record_report(OTHER, idle(), 10);
        submit(&mut cell, 0..12, 10);
        let mut starts = run(&mut cell, 10, 2_900, &mut BTreeMap::new());
        // Nothing ends here, so the last one waits until the rate of starts has faded.
        cell.record_report(OTHER, idle(), 2_900);
        starts.extend(run(&mut cell, 2_900, 5_800, &mut BTreeMap::new()));
        assert_eq!(starts.len(), 8);
        assert_eq!(gone(&cell, 0..12), 8);
    }
}

case! {
    /// Guards against jobs that leave though their home starts them at once.
    jobs_stay_while_their_home_has_room, cell, {
        cell.record_report(OTHER, idle(), 10);
        submit(&mut cell, 0..4, 10);
        run(&mut cell, 10, 1_500, &mut BTreeMap::new());
        assert_eq!(gone(&cell, 0..4), 0);
    }
}

case! {
    /// Guards against jobs that go to a cell where as much waits.
    jobs_stay_while_other_cells_are_as_far_behind, cell, {
        let queue = TaskQueue { waiting: 4e8, rate: 64_000.0 };
        cell.record_report(OTHER, CellReport { short: queue, fillers: queue, ..idle() }, 10);
        submit(&mut cell, 0..12, 10);
        run(&mut cell, 10, 1_500, &mut BTreeMap::new());
        assert_eq!(gone(&cell, 0..12), 0);
    }
}

case! {
    /// Guards against jobs that go to a cell of which only an earlier build's report is known, or an old one.
    jobs_stay_without_a_recent_report_of_queues, cell, {
        cell.record_load(OTHER, idle().load, 10);
        submit(&mut cell, 0..12, 10);
        run(&mut cell, 10, 1_500, &mut BTreeMap::new());
        cell.record_report(2, idle(), 10);
        run(&mut cell, 4_000, 5_000, &mut BTreeMap::new());
        assert_eq!(gone(&cell, 0..12), 0);
    }
}

case! {
    /// Guards against jobs that begin where they are and go elsewhere with a part of their tasks.
    jobs_of_which_a_task_was_started_stay, cell, {
        submit(&mut cell, 0..3, 10);
        // The last task of these finds no room.
        cell.admit(JobId(3), Submission { spec: job(vec![StepSpec {
            room: Room { cpu: 16_000, ..step(4).room }, ..step(4) }]), ..submission(false) }, 10, 0);
        cell.set_home(JobId(3), HOME);
        cell.record_report(OTHER, idle(), 10);
        run(&mut cell, 10, 2_000, &mut BTreeMap::new());
        assert_eq!(gone(&cell, 3..4), 0);
    }
}

case! {
    /// Guards against jobs that go from cell to cell.
    jobs_that_came_from_another_cell_stay, cell, {
        for id in 0..12 {
            cell.admit(JobId(id), submission(false), 10, 0);
            cell.set_home(JobId(id), OTHER);
        }
        cell.record_report(OTHER, idle(), 10);
        run(&mut cell, 10, 1_500, &mut BTreeMap::new());
        assert_eq!(gone(&cell, 0..12), 0);
    }
}

case! {
    /// Guards against all waiting jobs rushing to one cell between two of its reports: what was sent there counts.
    what_was_sent_to_a_cell_counts_until_its_next_report, cell, {
        cell.evacuate_centres(&BTreeSet::from(["d".to_string()]));
        let queue = TaskQueue { waiting: 0.0, rate: 32_000.0 };
        cell.record_report(OTHER, CellReport { short: queue, ..idle() }, 10);
        let late = TaskQueue { waiting: 64e6, rate: 32_000.0 };
        cell.record_report(2, CellReport { short: late, ..idle() }, 10);
        submit(&mut cell, 0..40, 10);
        run(&mut cell, 10, 2_500, &mut BTreeMap::new());
        let to = |n| (0..40).filter(|id| cell.transferred_to(JobId(*id)) == Some(n)).count();
        assert_eq!(to(OTHER) + to(2), 40, "nothing starts at home");
        assert!(to(2) >= 10, "{} of 40 went to the cell that was further behind", to(2));
    }
}

/// Two cells with their logs; records between them may be repeated.
struct Pair {
    cells: [Cell; 2],
    logs: [BTreeMap<JobId, Progress>; 2],
    started: Vec<TaskId>,
    fences: u64,
    sent: Vec<Delivery>,
}

impl Pair {
    fn step(&mut self, now: u64) {
        for at in 0..2 {
            self.started.extend(run(&mut self.cells[at], now, now + 1, &mut self.logs[at]));
        }
    }

    /// Puts the records that the home has written into the other cell's log.
    fn deliver(&mut self, confirmed: bool, now: u64) {
        for delivery in self.cells[0].deliveries() {
            let Key::Job(id) = delivery.key else { continue };
            self.receive(&delivery, now);
            if confirmed {
                self.cells[0].delivered(Key::Job(id));
            }
            self.sent.push(delivery);
        }
    }

    fn receive(&mut self, delivery: &Delivery, now: u64) {
        let submission = decode::<Submission>(&delivery.record).unwrap();
        let id = delivery.key.job();
        self.cells[1].admit(id, submission, now, 0);
        self.cells[1].set_home(id, HOME);
    }

    /// Replaces an owner by one that reads the log.
    fn succeed(&mut self, at: usize, ids: &[JobId], now: u64) {
        self.fences += 1;
        let mut next = owner(at as u32, self.fences);
        next.loaded = false;
        for id in ids {
            let known = at == 0 || self.sent.iter().any(|d| d.key.job() == *id);
            if known {
                next.admit(*id, submission(false), now, 0);
                next.set_home(*id, HOME);
            }
        }
        for (id, progress) in &self.logs[at] {
            next.restore_progress(*id, progress.clone(), now);
        }
        next.loaded = true;
        self.cells[at] = next;
    }
}

/// Guards against jobs that are started by two cells or by none: owners end between the write and the delivery, or
/// after it, deliveries are repeated, and some are not confirmed.
#[rstest]
fn exactly_one_cell_starts_each_job(#[values(0, 1, 2, 3, 4, 5, 6, 7)] course: u64) {
    let cells = [owner(HOME, 1), owner(OTHER, 1)];
    let logs = [BTreeMap::new(), BTreeMap::new()];
    let mut pair = Pair { cells, logs, started: Vec::new(), fences: 1, sent: Vec::new() };
    let ids: Vec<JobId> = (0..8).map(JobId).collect();
    submit(&mut pair.cells[0], 0..8, 10);
    for (n, now) in (10..4_000).step_by(STEP as usize).enumerate() {
        // Runs at an owner that has ended are not heard of again here, so only the home is replaced while it has none.
        pair.cells[0].record_report(OTHER, idle(), now);
        pair.cells[0].evacuate_centres(&BTreeSet::from(["d".to_string()]));
        pair.step(now);
        if n as u64 % 9 == course {
            pair.succeed(0, &ids, now);
        }
        if n as u64 % 4 >= course % 4 {
            pair.deliver(n as u64 % 3 != course % 3, now);
        }
        if n as u64 % 7 == course && !pair.sent.is_empty() {
            let again = pair.sent[n % pair.sent.len()].clone();
            pair.receive(&again, now);
        }
    }
    let mut started = pair.started.clone();
    started.sort();
    started.dedup();
    assert_eq!(started.len(), pair.started.len(), "a task was started twice");
    let jobs: BTreeSet<_> = started.iter().map(|t| t.job).collect();
    // The other cell has room for four jobs at once, and nothing ends here.
    assert_eq!(jobs.len(), 4, "{started:?}");
    let known = ids.iter().filter(|id| pair.cells[1].jobs.contains_key(id)).count();
    assert_eq!(known, 8, "each job reached the other cell");
}
