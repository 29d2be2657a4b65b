//! How workers form cells.

use std::collections::BTreeMap;

use myrtle_front::{Cells, Layout};
use myrtle_job::JobId;

fn workers(counts: &[(&str, usize)]) -> BTreeMap<String, usize> {
    counts.iter().map(|(name, n)| (name.to_string(), *n)).collect()
}

#[test]
fn a_small_deployment_is_one_cell_that_every_host_looks_after() {
    let layout = Layout::new(Cells::Auto, &workers(&[("a", 16), ("b", 16), ("c", 16)]));
    assert_eq!(layout.count(), 1);
    assert!(["a", "b", "c", "new"].iter().all(|dc| layout.at_home(0, dc)));
    assert_eq!(layout.cell_of("b", 7), 0);
}

#[test]
fn a_larger_one_has_cells_in_each_data_centre() {
    let layout = Layout::new(Cells::Auto, &workers(&[("a", 117), ("b", 300), ("c", 10)]));
    assert_eq!(layout.count(), 1 + 3 + 1);
    assert_eq!(layout.cell_of("a", 9), 0);
    assert_eq!(layout.cell_of("c", 9), 4);
    let cells: Vec<u32> = (0..300).map(|n| layout.cell_of("b", n << 16)).collect();
    assert!((1..4).all(|cell| cells.iter().filter(|&&c| c == cell).count() > 60));
    assert!(layout.at_home(2, "b") && !layout.at_home(2, "a"));
    assert!((0..99).all(|n| layout.home(JobId(n)) < 5));
}

#[test]
fn a_worker_of_an_unknown_data_centre_belongs_to_the_first_cell() {
    let layout = Layout::new(Cells::DataCentre, &workers(&[("a", 2), ("b", 2)]));
    assert_eq!(layout.count(), 2);
    assert_eq!(layout.cell_of("new", 3), 0);
    assert!(!layout.at_home(0, "new"));
}

#[test]
fn there_are_never_more_cells_than_partitions() {
    let centres: Vec<(String, usize)> = (0..20).map(|n| (format!("d{n}"), 1_400)).collect();
    let layout = Layout::new(Cells::Auto, &centres.into_iter().collect());
    assert!(layout.count() <= 24, "{} cells", layout.count());
}
