//! Tasks are transferred while records are delayed, duplicated and reordered, and owners end between
//! writing and acting.

mod cells;

use cells::{Cells, starts};

/// The number of random sequences of events that are tried.
const SEEDS: u64 = 300;

/// Checks that no run was started twice.
fn check_unique(cells: &Cells, seed: u64) {
    let mut runs: Vec<_> = cells.orders.iter().flat_map(|o| starts(o)).collect();
    let total = runs.len();
    runs.sort();
    runs.dedup_by_key(|(task, run, _)| (*task, *run));
    assert_eq!(runs.len(), total, "seed {seed}: a run was started twice");
}

#[test]
fn every_task_runs_once_if_records_are_late() {
    for seed in 0..SEEDS {
        let mut cells = Cells::full(4);
        cells.delayed_chaos(seed, None);
        check_unique(&cells, seed);
        assert_eq!(cells.living(), 16, "seed {seed}: a task runs nowhere, or twice");
    }
}

#[test]
fn no_task_goes_on_if_the_end_of_its_job_arrives_first() {
    for seed in 0..SEEDS {
        let mut cells = Cells::full(4);
        cells.delayed_chaos(seed, Some(seed % 80));
        check_unique(&cells, seed);
        assert_eq!(cells.living(), 0, "seed {seed}: a task goes on after the end of its job");
    }
}
