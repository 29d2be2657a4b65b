//! Hosts, cells and the directory in virtual time.

use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_front::{Candidate, Directory, Entry, OwnerStatus, Step, Watch};

use super::{CELLS, STEP, TTL};

/// A host and its monitoring state.
pub struct Host {
    pub centre: usize,
    pub has_capacity: bool,
    /// Until when it is down, or paused.
    pub down_until: u64,
    pub paused_until: u64,
    /// Until when it can't reach the store.
    pub cut_until: u64,
    pub watches: Vec<Watch>,
    pub directory: Directory,
    pub applied: Vec<u64>,
    pub read: usize,
    /// When it next reads the directory.
    pub read_at: u64,
}

/// A cell, as the store has it.
#[derive(Clone, Default)]
pub struct Cell {
    pub owner: Option<usize>,
    pub fence: u64,
    /// When its owner last renewed the membership.
    pub renewed_at: u64,
    /// Since when it has no owner.
    pub vacant_since: u64,
}

/// All hosts, cells and the directory.
pub struct World {
    pub now: u64,
    pub hosts: Vec<Host>,
    pub cells: Vec<Cell>,
    /// The directory's records, each with the time from which it can be read.
    pub log: Vec<(u64, u32, Entry)>,
    pub queries: usize,
    pub max_delay: u64,
    pub rng: ChaCha8Rng,
    /// The longest time that a cell had no owner, in milliseconds.
    pub longest_vacancy: u64,
}

fn member(host: usize) -> String {
    format!("h{host}@10.0.0.1:{}", 1_000 + host)
}

impl World {
    pub fn new(seed: u64, per_centre: usize) -> Self {
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

    pub fn write(&mut self, cell: usize, entry: Entry) {
        let at = self.now + self.rng.random_range(0..self.max_delay);
        let at = self.log.last().map_or(at, |(before, ..)| at.max(*before));
        self.log.push((at, cell as u32, entry));
    }

    pub fn run(&mut self, millis: u64) {
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
    pub fn centre_down(&self) -> bool {
        let reachable =
            |host: &&Host| host.down_until.max(host.paused_until).max(host.cut_until) <= self.now;
        (0..3).any(|centre| self.hosts.iter().filter(reachable).all(|host| host.centre != centre))
    }

    /// The largest number of cells owned by a host that reaches the store.
    pub fn most_owned(&self) -> u64 {
        let owned = |at: usize| self.cells.iter().filter(|cell| cell.owner == Some(at)).count();
        let reachable = (0..self.hosts.len()).filter(|&at| self.hosts[at].cut_until <= self.now);
        reachable.map(owned).max().unwrap_or(0) as u64
    }

    pub fn owners(&self) -> Vec<usize> {
        self.cells.iter().filter_map(|cell| cell.owner).collect()
    }
}

/// The address of the owner, if it is among the `small` hosts.
fn small(cell: &Cell, small: &[usize]) -> Option<SocketAddr> {
    cell.owner
        .filter(|at| small.contains(at))
        .and_then(|at| member(at).rsplit_once('@')?.1.parse().ok())
}
