//! The totals of a worker's active runs follow every change.

use myrtle_base::Room;
use myrtle_job::{JobId, StepSpec, TaskId};
use myrtle_owner::{ActiveRun, Stage, Worker};

fn task(index: u16) -> TaskId {
    TaskId { job: JobId(1), round: 0, step: 0, index }
}

fn step(filler: bool) -> StepSpec {
    StepSpec {
        count: 1,
        room: Room { cpu: 2_000, mem: 100, accel: 0 },
        filler,
        ..StepSpec::default()
    }
}

/// Declares a test with a worker without runs.
macro_rules! case {
    ($name:ident, $worker:ident, $body:block) => {
        #[test]
        fn $name() {
            let mut $worker = Worker::new(0);
            $body
        }
    };
}

case!(a_run_that_begins_or_ends_counts_at_once, worker, {
    assert_eq!(worker.used().cpu, 0);
    worker.active_runs.insert(task(0), ActiveRun::new(1, &step(false), Stage::Running, 0));
    assert_eq!((worker.used().cpu, worker.used().mem), (2_000, 100));
    worker.active_runs.insert(task(1), ActiveRun::new(1, &step(true), Stage::Running, 0));
    assert_eq!((worker.used().cpu, worker.used().mem), (2_000, 200), "fillers take no processors");
    worker.active_runs.remove(&task(0));
    assert_eq!((worker.used().cpu, worker.used().mem), (0, 100));
    drop(std::mem::take(&mut worker.active_runs));
    assert_eq!(worker.used(), Room::default());
});

case!(a_changed_speed_limit_counts_at_once, worker, {
    worker.active_runs.insert(task(0), ActiveRun::new(1, &step(true), Stage::Running, 0));
    assert_eq!(worker.filler_demand(), 2_000.0);
    worker.active_runs.get_mut(&task(0)).unwrap().speed_limit = 50;
    assert_eq!(worker.filler_demand(), 1_000.0);
    for (_, run) in &mut worker.active_runs {
        run.speed_limit = 10;
    }
    assert_eq!(worker.filler_demand(), 200.0);
});

case!(a_long_running_run_is_reported_while_active, worker, {
    assert!(!worker.has_long_running());
    let long_running = StepSpec { long_running: true, ..step(false) };
    worker.active_runs.insert(task(0), ActiveRun::new(1, &long_running, Stage::Running, 0));
    assert!(worker.has_long_running());
    worker.active_runs.clear();
    assert!(!worker.has_long_running());
});
