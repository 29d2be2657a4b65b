//! Hosts that query the owners of cells in turns, in virtual time: the rate of queries per cell does not grow with the
//! number of hosts, and a cell without an owner gets one soon, whatever else fails meanwhile.

mod fault;
mod world;

use rstest::rstest;

use fault::Fault;
use world::World;

/// The length of a step, in milliseconds.
const STEP: u64 = 10;

/// The time to live of a group membership, in milliseconds.
const TTL: u64 = 1_600;

/// The longest time without an owner after the last one's membership lapsed, while local hosts are reachable, in
/// milliseconds: a query interval, the jitter, the delay of hosts without the capacity, and 1,500 ms more.
const LOCAL_LIMIT: u64 = 450 + 500 + 1_500 + 1_500;

/// The same without local hosts: two remote query intervals, the jitter and the delay of hosts without the capacity.
const REMOTE_LIMIT: u64 = 2 * 2_500 + JITTER + 1_500;

/// The jitter, which is also the delay of a host for each cell that it owns, in milliseconds.
const JITTER: u64 = 500;

/// The largest rate of queries per cell and second without faults.
const MAX_QUERIES: f64 = 25.0;

/// The number of cells of each data centre.
const CELLS: usize = 2;

#[rstest]
fn a_cell_without_owner_gets_one_soon_after_any_fault(
    #[values(
        Fault::Owners,
        Fault::Successor,
        Fault::Power,
        Fault::Capable,
        Fault::Centre,
        Fault::Rejected,
        Fault::Store,
        Fault::Paused,
        Fault::Late,
        Fault::FalseVacancy
    )]
    fault: Fault,
    #[values(3, 12, 40)] per_centre: usize,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
) {
    let mut world = World::new(seed, per_centre);
    world.run(6_000);
    assert!(
        world.cells.iter().all(|cell| cell.owner.is_some()),
        "a cell has no owner after the start"
    );
    let fences: Vec<u64> = world.cells.iter().map(|cell| cell.fence).collect();
    world.longest_vacancy = 0;
    world.inject(fault);
    let centre_down = world.centre_down();
    world.run(14_000);
    let limit = if centre_down { REMOTE_LIMIT + JITTER * world.most_owned() } else { LOCAL_LIMIT };
    assert!(world.longest_vacancy <= limit, "a cell was free for {} ms", world.longest_vacancy);
    assert!(world.cells.iter().all(|cell| cell.owner.is_some()));
    if fault == Fault::FalseVacancy {
        let after: Vec<u64> = world.cells.iter().map(|cell| cell.fence).collect();
        assert_eq!(after, fences, "a cell changed owners although the first one was reachable");
    }
}

#[rstest]
fn queries_per_cell_do_not_grow_with_the_hosts(#[values(3, 12, 40, 160)] per_centre: usize) {
    let mut world = World::new(5, per_centre);
    world.run(6_000);
    world.queries = 0;
    world.run(20_000);
    let rate = world.queries as f64 / world.cells.len() as f64 / 20.0;
    assert!(rate <= MAX_QUERIES, "{rate} queries a second and cell");
}
