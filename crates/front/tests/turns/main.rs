//! Hosts that query the owners of cells in turns, in virtual time: the rate of queries per cell does not grow with the
//! number of hosts, and a cell without an owner gets one soon, whatever else fails meanwhile.

use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use myrtle_front::{Candidate, Directory, Entry, OwnerStatus, Step, Watch};

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

/// A host and its monitoring state.
struct Host {
    centre: usize,
    has_capacity: bool,
    /// Until when it is down, or paused.
    down_until: u64,
    paused_until: u64,
    /// Until when it can't reach the store.
    cut_until: u64,
    watches: Vec<Watch>,
    directory: Directory,
    applied: Vec<u64>,
    read: usize,
    /// When it next reads the directory.
    read_at: u64,
}

/// A cell, as the store has it.
#[derive(Clone, Default)]
struct Cell {
    owner: Option<usize>,
    fence: u64,
    /// When its owner last renewed the membership.
    renewed_at: u64,
    /// Since when it has no owner.
    vacant_since: u64,
}

/// The kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// Every owner is killed.
    Owners,
    /// Every owner is killed, and soon after one of the successors.
    Successor,
    /// More than half of all hosts lose power.
    Power,
    /// All hosts with the capacity are lost.
    Capable,
    /// A data centre is cut off.
    Centre,
    /// The store rejects the owners and a third of the other hosts.
    Rejected,
    /// The store is unreachable, and all memberships lapse.
    Store,
    /// Owners are paused and resume.
    Paused,
    /// Records of the directory are delayed, and owners are killed.
    Late,
    /// The directory announces cells as free that have owners.
    FalseVacancy,
}

struct World {
    now: u64,
    hosts: Vec<Host>,
    cells: Vec<Cell>,
    /// The directory's records, each with the time from which it can be read.
    log: Vec<(u64, u32, Entry)>,
    queries: usize,
    max_delay: u64,
    rng: ChaCha8Rng,
    /// The longest time that a cell had no owner, in milliseconds.
    longest_vacancy: u64,
}

fn member(host: usize) -> String {
    format!("h{host}@10.0.0.1:{}", 1_000 + host)
}

impl World {
    fn new(seed: u64, per_centre: usize) -> Self {
        let mut world = Self {
            now: 1_000,
            hosts: Vec::new(),
            cells: vec![Cell::default(); 3 * CELLS],
            log: Vec::new(),
            queries: 0,
            max_delay: 20,
            rng: ChaCha8Rng::seed_from_u64(seed),
            longest_vacancy: 0,
        };
        for n in 0..3 * per_centre {
            let host = world.host(n % 3, n / 3 < per_centre.div_ceil(10).max(2), per_centre);
            world.hosts.push(host);
        }
        world
    }

    /// A host that has just started.
    fn host(&mut self, centre: usize, has_capacity: bool, per_centre: usize) -> Host {
        let candidate = |cell| {
            let local = cell / CELLS == centre;
            Candidate {
                local,
                has_capacity,
                hosts: if local { per_centre } else { 2 * per_centre },
            }
        };
        let (now, rng) = (self.now, &mut self.rng);
        let watches = (0..3 * CELLS).map(|cell| Watch::new(candidate(cell), now, rng.random()));
        let watches = watches.collect();
        let (directory, applied) = (Directory::default(), vec![0; 3 * CELLS]);
        let (down_until, paused_until, cut_until, read, read_at) = (0, 0, 0, 0, now);
        Host {
            centre,
            has_capacity,
            down_until,
            paused_until,
            cut_until,
            watches,
            directory,
            applied,
            read,
            read_at,
        }
    }

    fn write(&mut self, cell: usize, entry: Entry) {
        let at = self.now + self.rng.random_range(0..self.max_delay);
        let at = self.log.last().map_or(at, |(before, ..)| at.max(*before));
        self.log.push((at, cell as u32, entry));
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.now += STEP;
            self.renew();
            for at in 0..self.hosts.len() {
                let host = &self.hosts[at];
                if host.down_until <= self.now && host.paused_until <= self.now {
                    self.read(at);
                    (0..self.cells.len()).for_each(|cell| self.act(at, cell));
                }
            }
        }
    }

    /// Renews the memberships of owners that reach the store; those of others lapse.
    fn renew(&mut self) {
        let now = self.now;
        for cell in &mut self.cells {
            if let Some(host) = cell.owner.map(|at| &self.hosts[at]) {
                if host.down_until <= now && host.paused_until <= now && host.cut_until <= now {
                    cell.renewed_at = now;
                } else if now > cell.renewed_at + TTL {
                    (cell.owner, cell.vacant_since) = (None, now);
                }
            }
            if cell.owner.is_none() {
                self.longest_vacancy = self.longest_vacancy.max(now - cell.vacant_since);
            }
        }
    }

    /// Lets a host read the directory, if it reaches the store.
    fn read(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        if host.cut_until > self.now || host.read_at > self.now {
            return;
        }
        let due_records = self.log[host.read..].iter().take_while(|(due, ..)| *due <= self.now);
        for (_, cell, entry) in due_records {
            host.directory.apply(*cell, entry.clone());
            host.read += 1;
        }
    }

    fn act(&mut self, at: usize, cell: usize) {
        if self.cells[cell].owner == Some(at) {
            return;
        }
        let now = self.now;
        let owned = self.cells.iter().filter(|c| c.owner == Some(at)).count();
        let draw = self.rng.random();
        let host = &mut self.hosts[at];
        let mut fence = 0;
        if let Some((entry, records)) = host.directory.entry(cell as u32) {
            fence = entry.fence;
            if records > host.applied[cell] {
                host.applied[cell] = records;
                match entry.free() {
                    true => host.watches[cell].on_free(owned, now, draw),
                    false => host.watches[cell].on_owner(small(&self.cells[cell], &[]), now, draw),
                }
            }
        }
        let reaches = host.cut_until <= now;
        match host.watches[cell].next(now) {
            Step::Wait(until) => assert!(until > now, "a wait has to end in the future"),
            Step::Query => {
                self.queries += 1;
                let status = match self.cells[cell].owner {
                    _ if !reaches => OwnerStatus::Unknown,
                    Some(_) => OwnerStatus::Capable,
                    None => OwnerStatus::Vacant,
                };
                self.hosts[at].watches[cell].on_query(status, owned, now, draw);
            }
            Step::Announce if reaches && self.hosts[at].applied[cell] > 0 => {
                self.write(cell, Entry { fence, member: String::new() })
            }
            Step::Join if reaches && self.cells[cell].owner.is_none() => self.take(at, cell),
            Step::Join => self.hosts[at].watches[cell].on_attempt(now, draw),
            Step::Announce | Step::Relieve(_) => {}
        }
    }

    fn take(&mut self, at: usize, cell: usize) {
        let taken = &mut self.cells[cell];
        taken.fence += 1;
        (taken.owner, taken.renewed_at) = (Some(at), self.now);
        let fence = taken.fence;
        self.write(cell, Entry { fence, member: member(at) });
    }

    /// Whether a data centre has no host that reaches the store.
    fn centre_down(&self) -> bool {
        let reachable =
            |host: &&Host| host.down_until.max(host.paused_until).max(host.cut_until) <= self.now;
        (0..3).any(|centre| self.hosts.iter().filter(reachable).all(|host| host.centre != centre))
    }

    /// The largest number of cells owned by a host that reaches the store.
    fn most_owned(&self) -> u64 {
        let owned = |at: usize| self.cells.iter().filter(|cell| cell.owner == Some(at)).count();
        let reachable = (0..self.hosts.len()).filter(|&at| self.hosts[at].cut_until <= self.now);
        reachable.map(owned).max().unwrap_or(0) as u64
    }

    fn owners(&self) -> Vec<usize> {
        self.cells.iter().filter_map(|cell| cell.owner).collect()
    }

    /// Injects a fault.
    fn inject(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Owners => self.kill(&self.owners()),
            Fault::Successor => {
                self.kill(&self.owners());
                self.run(TTL + LOCAL_LIMIT);
                // Killing only one leaves enough hosts.
                let next = self.owners();
                self.kill(&next[..1]);
            }
            Fault::Power => {
                let hosts = (0..self.hosts.len()).filter(|_| self.rng.random_bool(0.55));
                let hosts: Vec<usize> = hosts.collect();
                self.kill(&hosts);
            }
            Fault::Capable => {
                let has_capacity = (0..self.hosts.len()).filter(|&at| self.hosts[at].has_capacity);
                self.kill(&has_capacity.collect::<Vec<_>>());
            }
            Fault::Centre => {
                let own = self.hosts.iter_mut().filter(|host| host.centre == 0);
                own.for_each(|host| host.cut_until = now + 30_000);
            }
            Fault::Rejected => {
                let owners = self.owners();
                for (at, host) in self.hosts.iter_mut().enumerate() {
                    if owners.contains(&at) || self.rng.random_bool(0.33) {
                        host.cut_until = now + 9_000;
                    }
                }
            }
            Fault::Store => {
                self.hosts.iter_mut().for_each(|host| host.cut_until = now + 4_500);
                self.run(4_500);
                self.cells
                    .iter_mut()
                    .for_each(|cell| cell.vacant_since = cell.vacant_since.max(self.now));
                self.longest_vacancy = 0;
            }
            Fault::Paused => {
                let owners = self.owners();
                owners.iter().for_each(|&at| self.hosts[at].paused_until = now + 4_000);
            }
            Fault::Late => {
                self.max_delay = 3_000;
                self.kill(&self.owners());
            }
            Fault::FalseVacancy => {
                for cell in 0..self.cells.len() {
                    let fence = self.cells[cell].fence + 5;
                    self.write(cell, Entry { fence, member: String::new() });
                }
            }
        }
    }

    fn kill(&mut self, hosts: &[usize]) {
        let down_until = self.now + 30_000;
        hosts.iter().for_each(|&at| self.hosts[at].down_until = down_until);
    }
}

/// The address of the owner, if it is among the `small` hosts.
fn small(cell: &Cell, small: &[usize]) -> Option<SocketAddr> {
    cell.owner
        .filter(|at| small.contains(at))
        .and_then(|at| member(at).rsplit_once('@')?.1.parse().ok())
}

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
