//! How workers form cells.

use std::collections::BTreeMap;

use rstest::rstest;

use myrtle_front::{
    Announcement, Capacity, Cells, Fleet, Layout, member_address, member_max_workers,
};
use myrtle_job::JobId;

/// What a host of 0.12 cores and a link of 10 megabits a second carries, in workers.
const WEAK: usize = 90;

/// Partitions of a topic.
const PARTS: usize = 24;

fn auto(counts: &[(&str, usize)], largest: usize) -> Layout {
    Layout::new(Cells::Auto, &workers(counts), largest, PARTS)
}

fn workers(counts: &[(&str, usize)]) -> BTreeMap<String, usize> {
    counts.iter().map(|(name, n)| (name.to_string(), *n)).collect()
}

#[test]
fn a_small_deployment_is_one_cell_that_every_host_looks_after() {
    let layout = auto(&[("a", 16), ("b", 16), ("c", 16)], WEAK);
    assert_eq!(layout.count(), 1);
    assert!(["a", "b", "c", "new"].iter().all(|dc| layout.is_local(0, dc)));
    assert_eq!(layout.worker_cell("b", 7), 0);
}

#[test]
fn a_larger_one_has_cells_in_each_data_centre() {
    let layout = auto(&[("a", 117), ("b", 300), ("c", 10)], 120);
    assert_eq!(layout.count(), 1 + 3 + 1);
    assert_eq!(layout.worker_cell("a", 9), 0);
    assert_eq!(layout.worker_cell("c", 9), 4);
    let cells: Vec<u32> = (0..300).map(|n| layout.worker_cell("b", n << 16)).collect();
    assert!((1..4).all(|cell| cells.iter().filter(|&&c| c == cell).count() > 60));
    assert!(layout.is_local(2, "b") && !layout.is_local(2, "a"));
    assert!((0..99).all(|n| layout.job_cell(JobId(n)) < 5));
}

#[test]
fn a_worker_of_an_unknown_data_centre_belongs_to_the_first_cell() {
    let layout = Layout::new(Cells::DataCentre, &workers(&[("a", 2), ("b", 2)]), WEAK, PARTS);
    assert_eq!(layout.count(), 2);
    assert_eq!(layout.worker_cell("new", 3), 0);
    assert!(!layout.is_local(0, "new"));
}

#[test]
fn there_are_never_more_cells_than_partitions() {
    let centres: Vec<(String, usize)> = (0..20).map(|n| (format!("d{n}"), 1_400)).collect();
    let centres: BTreeMap<String, usize> = centres.into_iter().collect();
    for parts in [PARTS, 20] {
        let layout = Layout::new(Cells::Auto, &centres, WEAK, parts);
        assert!(layout.count() as usize <= parts, "{} cells", layout.count());
    }
}

#[test]
fn hosts_that_carry_more_make_fewer_cells() {
    let counts = [("a", 164), ("b", 163), ("c", 163)];
    assert_eq!(auto(&counts, WEAK).count(), 6);
    assert_eq!(auto(&counts, 200).count(), 3);
    assert_eq!(auto(&counts, 200).max_size(), 164);
    assert_eq!(auto(&counts, 375).count(), 2);
    assert_eq!(auto(&counts, 500).count(), 1);
}

/// Symptom: cells of 54 workers at weak hosts, each learning alone, beside strong hosts that carry 375.
/// Sequence: hosts of unlike strength start together; none carries all workers as one cell.
/// Cause: each host cuts the cells by its own strength, and the first to write decides for all.
#[test]
fn hosts_of_any_strength_come_to_the_same_cells() {
    let counts = [("a", 108), ("b", 108), ("c", 108), ("d", 108), ("e", 108)];
    let hosts = ["a", "b", "c", "d", "e"].map(|dc| vec![(dc, 3, 375), (dc, 16, WEAK)]).concat();
    let fleet = fleet(&counts, &hosts);
    let layout = fleet.layout(Cells::Auto, PARTS);
    let hosts = counts.map(|(dc, _)| (dc.to_string(), 19));
    assert_eq!(layout, auto(&counts, 375).with_hosts(hosts.into()));
    assert_eq!((layout.count(), layout.max_size()), (2, 324));
}

#[rstest]
// One cell of all, if two hosts carry it.
#[case::one_cell(&[("a", 100), ("b", 100)], &[("a", 1, 200), ("b", 1, 200), ("b", 4, 60)], 1)]
// Not if nobody could follow the only host that does.
#[case::no_spare(&[("a", 100), ("b", 100)], &[("a", 1, 200), ("a", 4, 60), ("b", 4, 60)], 4)]
// Two of three strong hosts of a data centre own its two cells.
#[case::two_cells(&[("a", 300), ("b", 10)], &[("a", 3, 150), ("b", 9, 90)], 3)]
// A strong host carries several cells of one that was lost.
#[case::several(&[("a", 300), ("b", 300)], &[("a", 2, 400), ("b", 2, 350), ("b", 9, 90)], 2)]
// Too few hosts for a spare one: the fewest cells that they can own.
#[case::alone(&[("a", 48)], &[("a", 1, 110)], 1)]
// Hosts that carry too little for all: as many cells as the weakest calls for.
#[case::too_weak(&[("a", 300), ("b", 300)], &[("a", 1, 100), ("b", 1, 50)], 12)]
// A data centre without hosts is looked after from others.
#[case::without_hosts(&[("a", 90), ("b", 200)], &[("a", 2, 90)], 4)]
fn cells_are_the_fewest_that_enough_hosts_can_own(
    #[case] workers: &[(&str, usize)],
    #[case] hosts: &[(&str, usize, usize)],
    #[case] cells: u32,
) {
    assert_eq!(fleet(workers, hosts).layout(Cells::Auto, PARTS).count(), cells);
}

/// Some hosts of a strength in a data centre each.
fn fleet(counts: &[(&str, usize)], hosts: &[(&str, usize, usize)]) -> Fleet {
    let hosts = hosts.iter().flat_map(|&(dc, count, max_workers)| {
        let named = (0..count).map(move |n| format!("{dc}-{max_workers}-{n}"));
        named.map(move |name| (name, Announcement { data_centre: dc.into(), max_workers }))
    });
    Fleet { hosts: hosts.collect(), workers: workers(counts) }
}

/// Symptom: five cells of 108 workers at hosts that carry 375; each learns alone, and one has 345 tasks
/// waiting while another has none.
/// Cause: a cell never spans data centres.
#[test]
fn data_centres_share_a_cell_that_a_host_carries() {
    let counts = [("a", 108), ("b", 108), ("c", 108), ("d", 108), ("e", 108)];
    let layout = auto(&counts, 375);
    assert_eq!((layout.count(), layout.max_size()), (2, 324));
    let cells: Vec<u32> = counts.iter().map(|(dc, _)| layout.worker_cell(dc, 7)).collect();
    assert_eq!(cells.iter().filter(|&&cell| cell == cells[0]).count(), 3, "{cells:?}");
    assert!(counts.iter().all(|(dc, _)| layout.is_local(layout.worker_cell(dc, 7), dc)));
    let layout = auto(&[("a", 600), ("b", 100), ("c", 100)], 375);
    assert_eq!((layout.count(), layout.max_size()), (3, 300));
}

/// Symptom: days with trouble earn 0.04 less with a cell of 327 workers and one of 163 than with three
/// of 163.
/// Cause: names say each cell as home equally often, so half of the jobs come to a third of the workers.
#[test]
fn larger_cells_are_the_home_of_more_jobs() {
    let layout = auto(&[("a", 163), ("b", 163), ("c", 164)], 375);
    assert_eq!((layout.count(), layout.max_size()), (2, 326));
    let small = (0..2).find(|&cell| layout.cell_size(cell) < 200).unwrap();
    let homes = (0..10_000u64).filter(|&n| layout.job_cell(JobId(n << 20)) == small).count();
    assert!((3_000..3_700).contains(&homes), "{homes} of 10,000 jobs for a third of the workers");
}

#[test]
fn a_host_carries_what_both_its_processors_and_its_link_do() {
    let host = |share, link| Capacity { share, cores: 1.0, link }.workers();
    assert!(host(0.12, 10.0) < 100, "a weak host");
    assert!((300..490).contains(&host(0.5, 200.0)), "a strong one");
    assert!(host(0.5, 10.0) < host(0.5, 200.0), "a narrow link");
    assert!(host(0.1, 1_000.0) >= 66, "what small hosts own today");
}

#[rstest]
#[case("front-a-1-0badcafe+375@10.0.0.1:7000", Some(375))]
#[case("front-a-1-0badcafe@10.0.0.1:7000", None)]
fn a_member_tells_what_it_carries(#[case] member: &str, #[case] max_workers: Option<usize>) {
    assert_eq!(member_max_workers(member), max_workers);
    assert_eq!(member_address(member), Some(([10, 0, 0, 1], 7000).into()));
}
