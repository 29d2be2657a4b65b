//! The division of workers into cells.

use std::collections::BTreeMap;

use rstest::rstest;

use myrtle_front::{
    Announcement, Capacity, Cells, Fleet, Layout, member_address, member_max_workers,
};
use myrtle_job::JobId;

/// The capacity of a host of 0.12 cores and a link of 10 megabits a second, in workers.
const SMALL: usize = 90;

/// The number of partitions of a topic.
const PARTITIONS: usize = 24;

fn auto(counts: &[(&str, usize)], largest: usize) -> Layout {
    Layout::new(Cells::Auto, &workers(counts), largest, PARTITIONS)
}

fn workers(counts: &[(&str, usize)]) -> BTreeMap<String, usize> {
    counts.iter().map(|(name, n)| (name.to_string(), *n)).collect()
}

#[test]
fn a_small_deployment_is_one_cell_local_to_every_host() {
    let layout = auto(&[("a", 16), ("b", 16), ("c", 16)], SMALL);
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
    let layout = Layout::new(Cells::DataCentre, &workers(&[("a", 2), ("b", 2)]), SMALL, PARTITIONS);
    assert_eq!(layout.count(), 2);
    assert_eq!(layout.worker_cell("new", 3), 0);
    assert!(!layout.is_local(0, "new"));
}

#[test]
fn there_are_never_more_cells_than_partitions() {
    let centres: Vec<(String, usize)> = (0..20).map(|n| (format!("d{n}"), 1_400)).collect();
    let centres: BTreeMap<String, usize> = centres.into_iter().collect();
    for partitions in [PARTITIONS, 20] {
        let layout = Layout::new(Cells::Auto, &centres, SMALL, partitions);
        assert!(layout.count() as usize <= partitions, "{} cells", layout.count());
    }
}

#[test]
fn hosts_of_more_capacity_make_fewer_cells() {
    let counts = [("a", 164), ("b", 163), ("c", 163)];
    assert_eq!(auto(&counts, SMALL).count(), 6);
    assert_eq!(auto(&counts, 200).count(), 3);
    assert_eq!(auto(&counts, 200).max_size(), 164);
    assert_eq!(auto(&counts, 375).count(), 2);
    assert_eq!(auto(&counts, 500).count(), 1);
}

/// Guards against small cells when hosts of unlike capacity start together and none can own all workers: if each host
/// computed the layout by its own capacity, a small one that writes first would decide for all.
#[test]
fn hosts_of_unlike_capacity_agree_on_the_cells() {
    let counts = [("a", 108), ("b", 108), ("c", 108), ("d", 108), ("e", 108)];
    let hosts = ["a", "b", "c", "d", "e"].map(|dc| vec![(dc, 3, 375), (dc, 16, SMALL)]).concat();
    let fleet = fleet(&counts, &hosts);
    let layout = fleet.layout(Cells::Auto, PARTITIONS);
    let hosts = counts.map(|(dc, _)| (dc.to_string(), 19));
    assert_eq!(layout, auto(&counts, 375).with_hosts(hosts.into()));
    assert_eq!((layout.count(), layout.max_size()), (2, 324));
}

#[rstest]
// One cell for all workers, if two hosts can own it.
#[case::one_cell(&[("a", 100), ("b", 100)], &[("a", 1, 200), ("b", 1, 200), ("b", 4, 60)], 1)]
// Several cells, if only one host could own a single one.
#[case::no_spare(&[("a", 100), ("b", 100)], &[("a", 1, 200), ("a", 4, 60), ("b", 4, 60)], 4)]
// Two of three larger hosts of a data centre own its two cells.
#[case::two_cells(&[("a", 300), ("b", 10)], &[("a", 3, 150), ("b", 9, 90)], 3)]
// One large host can own several cells of a lost one.
#[case::several(&[("a", 300), ("b", 300)], &[("a", 2, 400), ("b", 2, 350), ("b", 9, 90)], 2)]
// Without a spare host: the fewest cells that the hosts can own.
#[case::alone(&[("a", 48)], &[("a", 1, 110)], 1)]
// Too little capacity for all workers: as many cells as the smallest host needs.
#[case::too_small(&[("a", 300), ("b", 300)], &[("a", 1, 100), ("b", 1, 50)], 12)]
// Remote hosts own the cells of a data centre without hosts.
#[case::without_hosts(&[("a", 90), ("b", 200)], &[("a", 2, 90)], 4)]
fn cells_are_the_fewest_that_enough_hosts_can_own(
    #[case] workers: &[(&str, usize)],
    #[case] hosts: &[(&str, usize, usize)],
    #[case] cells: u32,
) {
    assert_eq!(fleet(workers, hosts).layout(Cells::Auto, PARTITIONS).count(), cells);
}

/// A fleet with `count` hosts of a capacity in each data centre.
fn fleet(counts: &[(&str, usize)], hosts: &[(&str, usize, usize)]) -> Fleet {
    let hosts = hosts.iter().flat_map(|&(dc, count, max_workers)| {
        let named = (0..count).map(move |n| format!("{dc}-{max_workers}-{n}"));
        named.map(move |name| (name, Announcement { data_centre: dc.into(), max_workers }))
    });
    Fleet { hosts: hosts.collect(), workers: workers(counts) }
}

/// Guards against many small cells that hosts could own together: each learns alone, and tasks wait in one cell while
/// another has room.
#[test]
fn data_centres_share_a_cell_that_a_host_can_own() {
    let counts = [("a", 108), ("b", 108), ("c", 108), ("d", 108), ("e", 108)];
    let layout = auto(&counts, 375);
    assert_eq!((layout.count(), layout.max_size()), (2, 324));
    let cells: Vec<u32> = counts.iter().map(|(dc, _)| layout.worker_cell(dc, 7)).collect();
    assert_eq!(cells.iter().filter(|&&cell| cell == cells[0]).count(), 3, "{cells:?}");
    assert!(counts.iter().all(|(dc, _)| layout.is_local(layout.worker_cell(dc, 7), dc)));
    let layout = auto(&[("a", 600), ("b", 100), ("c", 100)], 375);
    assert_eq!((layout.count(), layout.max_size()), (3, 300));
}

/// Guards against an equal share of jobs for cells of unlike size, which would send half of the jobs to a third of the
/// workers.
#[test]
fn larger_cells_get_more_jobs() {
    let layout = auto(&[("a", 163), ("b", 163), ("c", 164)], 375);
    assert_eq!((layout.count(), layout.max_size()), (2, 326));
    let small = (0..2).find(|&cell| layout.cell_size(cell) < 200).unwrap();
    let jobs = (0..10_000u64).filter(|&n| layout.job_cell(JobId(n << 20)) == small).count();
    assert!((3_000..3_700).contains(&jobs), "{jobs} of 10,000 jobs for a third of the workers");
}

#[test]
fn capacity_is_limited_by_both_processors_and_link() {
    let host = |share, link| Capacity { share, cores: 1.0, link }.workers();
    assert!(host(0.12, 10.0) < 100, "a small host");
    assert!((300..490).contains(&host(0.5, 200.0)), "a large host");
    assert!(host(0.5, 10.0) < host(0.5, 200.0), "a narrow link");
    assert!(host(0.1, 1_000.0) >= 66, "a host that is short of processors");
}

#[rstest]
#[case("front-a-1-0badcafe+375@10.0.0.1:7000", Some(375))]
#[case("front-a-1-0badcafe@10.0.0.1:7000", None)]
fn a_member_name_contains_the_capacity(#[case] member: &str, #[case] max_workers: Option<usize>) {
    assert_eq!(member_max_workers(member), max_workers);
    assert_eq!(member_address(member), Some(([10, 0, 0, 1], 7000).into()));
}
