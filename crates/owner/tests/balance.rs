//! Long-running jobs are transferred to cells with more room, and exactly one cell starts their tasks.

use myrtle_base::Room;
use myrtle_job::{
    Incarnation, JobId, JobSpec, Key, Listing, Load, Policy, Progress, StepSpec, Submission, decode,
};
use myrtle_owner::{Cell, Order, TimeLimits};

/// The number of the other cell.
const OTHER: u32 = 1;

/// The job that is submitted.
const JOB: JobId = JobId(7);

/// Declares a test with an owner of four workers of 32 cores.
macro_rules! case {
    ($name:ident, $cell:ident, $body:block) => {
        #[test]
        fn $name() {
            let mut $cell = owner(1);
            $body
        }
    };
}

fn owner(fence: u64) -> Cell {
    let mut cell = Cell::new(TimeLimits::default(), fence, 0);
    for n in 0..4u16 {
        let listing = Listing {
            service: "s".into(),
            address: ([10, 0, 0, 1], 1000 + n).into(),
            data_centre: "d".into(),
            draining: false,
            remaining_ms: None,
            room: Room { cpu: 32_000, mem: 128_000, accel: 0 },
            labels: vec![],
            machine: None,
            version: String::new(),
            offset: 1,
            warmup_ms: 0,
            started_at: 0,
        };
        cell.apply_listing(&format!("w{n}"), listing, 0);
        let held =
            myrtle_job::WorkerRuns { started_at: 0, clock_ms: 5, running: vec![], ended: vec![] };
        cell.renewed(&Incarnation::new(format!("w{n}"), 0), held, 0, 1, 1);
    }
    cell.loaded = true;
    cell.only_cell = false;
    cell
}

/// Submits a job to its home cell.
fn submit(cell: &mut Cell, id: JobId, long_running: bool, now: u64) {
    cell.admit(id, submission(long_running), now, 0);
    cell.set_home(id, cell.number);
}

fn submission(long_running: bool) -> Submission {
    let step = StepSpec {
        count: 4,
        room: Room { cpu: 8_000, mem: 1_000, accel: 0 },
        estimate_ms: 1_000,
        long_running,
        ..StepSpec::default()
    };
    let spec = JobSpec { body: "b".into(), steps: vec![step], repeat: None };
    let policy =
        Policy { queue: "q".into(), service: "s".into(), max_failures: 3, ..Policy::default() };
    Submission { policy, spec, accepted_at: 0 }
}

fn load(claimed: f64) -> Load {
    Load { claimed, capacity: 128_000.0, free: vec![], restart_free: vec![], soon_free: vec![] }
}

/// The load of a cell four times as large, without long-running tasks.
fn roomy() -> Load {
    Load {
        claimed: 0.0,
        capacity: 512_000.0,
        free: vec![],
        restart_free: vec![],
        soon_free: vec![],
    }
}

/// Plans and writes once; returns the progress written for the job, and the starts.
fn write(cell: &mut Cell) -> (Option<Progress>, Vec<Order>) {
    write_at(cell, 10)
}

fn write_at(cell: &mut Cell, now: u64) -> (Option<Progress>, Vec<Order>) {
    cell.plan(now);
    let batch = cell.batch();
    let record = batch.records.iter().find(|(id, _)| *id == JOB);
    let progress = record.map(|(_, bytes)| Progress::read(bytes).unwrap());
    (progress, cell.committed(batch, now))
}

case!(a_long_running_job_is_transferred_to_a_cell_with_more_room, cell, {
    cell.record_load(OTHER, roomy(), 10);
    submit(&mut cell, JOB, true, 10);
    cell.plan(10);
    assert_eq!(cell.deliveries(), vec![], "not before its home cell has written the transfer");
    let (progress, starts) = write(&mut cell);
    assert_eq!(starts, vec![]);
    assert_eq!(progress.unwrap().job_transfer.unwrap().to, OTHER);
    let deliveries = cell.deliveries();
    assert_eq!(deliveries.len(), 1);
    assert_eq!(decode::<Submission>(&deliveries[0].record).unwrap(), submission(true));
    assert_eq!(cell.transferred_to(JOB), Some(OTHER));
    assert!(cell.pending().is_empty(), "the other cell counts it");
    cell.delivered(Key::Job(JOB));
    assert!(write(&mut cell).0.unwrap().job_transfer.unwrap().delivered);
    assert_eq!(cell.deliveries(), vec![]);
});

case!(the_successor_delivers_a_transfer_that_may_not_have_arrived, cell, {
    cell.record_load(OTHER, roomy(), 10);
    submit(&mut cell, JOB, true, 10);
    let progress = write(&mut cell).0.unwrap();
    let mut next = owner(2);
    submit(&mut next, JOB, true, 20);
    next.restore_progress(JOB, progress, 20);
    assert_eq!(write(&mut next).1, vec![], "only the other cell starts it");
    assert_eq!(next.deliveries().len(), 1);
    next.delivered(Key::Job(JOB));
    let progress = write(&mut next).0.unwrap();
    let mut last = owner(3);
    submit(&mut last, JOB, true, 30);
    last.restore_progress(JOB, progress, 30);
    assert_eq!(last.deliveries(), vec![]);
    assert_eq!(write(&mut last).1, vec![]);
});

case!(a_job_that_has_begun_stays, cell, {
    cell.record_load(OTHER, load(32_000.0), 10);
    submit(&mut cell, JOB, true, 10);
    assert_eq!(write(&mut cell).1.len(), 4);
    cell.record_load(OTHER, roomy(), 10);
    cell.plan(20);
    assert_eq!(cell.transferred_to(JOB), None);
});

case!(a_short_job_stays, cell, {
    cell.record_load(OTHER, roomy(), 10);
    submit(&mut cell, JOB, false, 10);
    assert_eq!(write(&mut cell).1.len(), 4);
    assert_eq!(cell.transferred_to(JOB), None);
});

case!(nothing_is_transferred_to_a_cell_that_is_as_full, cell, {
    cell.record_load(OTHER, load(32_000.0), 10);
    submit(&mut cell, JOB, true, 10);
    assert_eq!(cell.transferred_to(JOB), None);
    assert_eq!(write(&mut cell).1.len(), 4);
});

case!(loads_that_are_old_or_without_workers_are_ignored, cell, {
    cell.record_load(OTHER, roomy(), 10);
    cell.record_load(2, Load::default(), 9_000);
    submit(&mut cell, JOB, true, 9_000);
    assert_eq!(write_at(&mut cell, 9_000).1.len(), 4);
    assert_eq!(cell.transferred_to(JOB), None);
});

case!(a_new_owner_waits_for_the_loads_of_other_cells, cell, {
    submit(&mut cell, JOB, true, 10);
    assert_eq!(write_at(&mut cell, 500).1, vec![]);
    cell.record_load(OTHER, roomy(), 600);
    write_at(&mut cell, 610);
    assert_eq!(cell.transferred_to(JOB), Some(OTHER));
});

case!(a_new_owner_that_receives_no_load_keeps_the_job, cell, {
    submit(&mut cell, JOB, true, 10);
    assert_eq!(write_at(&mut cell, 500).1, vec![]);
    assert_eq!(write_at(&mut cell, 1_100).1.len(), 4);
});

case!(a_job_that_was_transferred_is_not_transferred_again, cell, {
    cell.record_load(OTHER, roomy(), 10);
    cell.admit(JOB, submission(true), 10, 0);
    assert_eq!(write(&mut cell).1.len(), 4);
    assert_eq!(cell.transferred_to(JOB), None);
});

case!(jobs_submitted_at_once_are_spread_over_cells, cell, {
    cell.record_load(1, load(0.0), 10);
    cell.record_load(2, load(0.0), 10);
    (0..9).for_each(|n| submit(&mut cell, JobId(100 + n), true, 10));
    cell.plan(10);
    let to = |number| (0..9).filter(|n| cell.transferred_to(JobId(100 + n)) == number).count();
    assert_eq!((to(None), to(Some(1)), to(Some(2))), (3, 3, 3));
});

case!(a_transferred_job_that_is_over_is_forgotten, cell, {
    cell.record_load(OTHER, roomy(), 10);
    submit(&mut cell, JOB, true, 10);
    write(&mut cell);
    cell.delivered(Key::Job(JOB));
    let later = 3 * TimeLimits::default().status_ttl;
    assert_eq!(cell.maybe_removed(100), vec![]);
    assert_eq!(cell.maybe_removed(later), vec![(JOB, OTHER)]);
    cell.remove_transferred(JOB);
    let groups = cell.take_removals();
    assert_eq!(groups, vec![vec![Key::Job(JOB)]]);
    cell.removals_appended(&groups, 1);
    cell.records_read(2);
    assert!(cell.batch().records.contains(&(JOB, vec![])));
});

#[test]
fn progress_written_before_transfers_existed_is_read() {
    let new = myrtle_job::encode(&Progress::default());
    // The last byte says that no run has lasted for long, the one before it that no losses are of runs that had not
    // begun, the one before that that no workers were lost, the three before that one that there are no outgoing and
    // no incoming transfers and that the cell is no guest, and the one before them that the job was not transferred
    // as a whole.
    let unsettled = &new[..new.len() - 1];
    assert_eq!(Progress::read(unsettled).unwrap(), Progress::default());
    let undivided = &new[..new.len() - 2];
    assert_eq!(Progress::read(undivided).unwrap(), Progress::default());
    let uncounted = &new[..new.len() - 3];
    assert_eq!(Progress::read(uncounted).unwrap(), Progress::default());
    let untransferred = &new[..new.len() - 6];
    assert_eq!(Progress::read(untransferred).unwrap(), Progress::default());
    let old = &new[..new.len() - 7];
    assert_eq!(Progress::read(old).unwrap(), Progress::default());
    assert!(Progress::read(&old[..old.len() - 1]).is_err());
}
