//! Tasks that are handed on while records take their time, come twice and out of turn, and owners
//! die between writing and acting.

mod cells;

use cells::{Cells, starts};

/// How many random courses are played.
const SEEDS: u64 = 300;

fn no_run_twice(cells: &Cells, seed: u64) {
    let mut runs: Vec<_> = cells.orders.iter().flat_map(|o| starts(o)).collect();
    let all = runs.len();
    runs.sort();
    runs.dedup_by_key(|(task, run, _)| (*task, *run));
    assert_eq!(runs.len(), all, "seed {seed}: a run was started twice");
}

#[test]
fn every_task_runs_once_though_records_are_late() {
    for seed in 0..SEEDS {
        let mut cells = Cells::full(4);
        cells.slow_chaos(seed, None);
        no_run_twice(&cells, seed);
        assert_eq!(cells.living(), 16, "seed {seed}: a task runs nowhere, or twice");
    }
}

#[test]
fn nothing_runs_on_though_the_end_comes_before_the_tasks() {
    for seed in 0..SEEDS {
        let mut cells = Cells::full(4);
        cells.slow_chaos(seed, Some(seed % 80));
        no_run_twice(&cells, seed);
        assert_eq!(cells.living(), 0, "seed {seed}: a task goes on after the end of its job");
    }
}
