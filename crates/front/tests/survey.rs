//! Every order in which hosts start leads to the same layout, with a simulated store in virtual time.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_front::{Announcement, Cells, Fleet, Layout, Survey};

/// The number of random fleets.
const SEEDS: u64 = 300;

/// The pause between two rounds of a host, in milliseconds.
const ROUND_PAUSE: u64 = 700;

/// The time within which the layout has to be written, in milliseconds; traffic begins 10 s after the hosts start.
const LIMIT_MS: u64 = 9_000;

/// The number of partitions of a topic.
const PARTITIONS: usize = 24;

/// The number of capacity classes.
const CLASSES: u32 = 12;

/// A host that searches until it has the layout.
struct Host {
    name: String,
    dies_at: u64,
    /// The number of hosts of its class that announced themselves before, once it has.
    rank_in_class: Option<usize>,
    survey: Survey,
    layout: Option<Layout>,
    next_at: u64,
    /// The layout that it writes, and when that arrives.
    writing: Option<(u64, Layout)>,
}

/// The faults while the layout is computed.
#[derive(Default)]
struct Faults {
    /// The largest additional delay of a host's start, in milliseconds.
    max_delay: u64,
    /// The share of hosts that die within the first seconds.
    death_rate: f64,
    /// When the store is unreachable.
    store_away: std::ops::Range<u64>,
}

/// A starting deployment.
struct Start {
    fleet: Fleet,
    announced: BTreeMap<String, Announcement>,
    /// The number of announcements of each class.
    classes: BTreeMap<u32, usize>,
    hosts: Vec<Host>,
    layout: Option<Layout>,
    /// How often hosts read the list of workers.
    counts: usize,
    listed_at: u64,
    rng: ChaCha8Rng,
}

fn random_fleet(rng: &mut ChaCha8Rng) -> Fleet {
    let mut fleet = Fleet::default();
    for dc in 0..rng.random_range(1..=6) {
        let dc = format!("d{dc}");
        fleet.workers.insert(dc.clone(), rng.random_range(4..300));
        let capacities = [rng.random_range(60..120), rng.random_range(120..600)];
        for n in 0..rng.random_range(2..24) {
            let max_workers = capacities[usize::from(rng.random_bool(0.25))];
            let host = Announcement { data_centre: dc.clone(), max_workers };
            fleet.hosts.insert(format!("{dc}-{n}"), host);
        }
    }
    fleet
}

impl Start {
    fn new(fleet: Fleet, seed: u64, faults: &Faults) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts = fleet.hosts.keys().map(|name| {
            let starts = rng.random_range(0..300 + faults.max_delay);
            let dies_at = if rng.random_bool(faults.death_rate) {
                rng.random_range(500..4_000)
            } else {
                u64::MAX
            };
            let (name, survey) = (name.clone(), Survey::default());
            Host {
                name,
                dies_at,
                rank_in_class: None,
                survey,
                layout: None,
                next_at: starts,
                writing: None,
            }
        });
        let hosts = hosts.collect();
        let listed_at = rng.random_range(200..3_000);
        let (announced, classes) = (BTreeMap::new(), BTreeMap::new());
        Self { fleet, announced, classes, hosts, layout: None, counts: 0, listed_at, rng }
    }

    /// Runs until a time, in milliseconds.
    fn run(&mut self, faults: &Faults, until: u64) {
        for now in 0..until {
            for at in 0..self.hosts.len() {
                if self.hosts[at].dies_at <= now {
                    continue;
                }
                if let Some((_, layout)) = self.hosts[at].writing.take_if(|(due, _)| *due <= now)
                    && !faults.store_away.contains(&now)
                {
                    self.layout.get_or_insert(layout);
                }
                if self.hosts[at].next_at <= now && self.hosts[at].layout.is_none() {
                    // Hosts short of processors are slower by a random time.
                    self.hosts[at].next_at = now + ROUND_PAUSE + self.rng.random_range(1..200);
                    if !faults.store_away.contains(&now) {
                        self.round(at, now);
                    }
                }
            }
        }
    }

    fn round(&mut self, at: usize, now: u64) {
        let host = &mut self.hosts[at];
        host.layout.clone_from(&self.layout);
        if host.layout.is_some() {
            return;
        }
        let own = &self.fleet.hosts[&host.name];
        let class = own.class(CLASSES);
        if host.rank_in_class.is_none() {
            let before = self.classes.entry(class).or_default();
            host.rank_in_class = Some(*before);
            *before += 1;
            self.announced.insert(host.name.clone(), own.clone());
        }
        let larger: usize = self.classes.range(class + 1..).map(|(_, n)| n).sum();
        let rank = host.rank_in_class.unwrap_or_default() + larger;
        let counts = rank < host.survey.counters();
        host.survey.add_rounds(1);
        if !counts {
            return;
        }
        host.survey.hosts(self.announced.clone());
        self.counts += 1;
        let listed = |n: &usize| *n * now.min(self.listed_at) as usize / self.listed_at as usize;
        let workers = self.fleet.workers.iter().map(|(dc, n)| (dc.clone(), listed(n)));
        let layout = host.survey.workers(workers.collect(), Cells::Auto, PARTITIONS);
        host.writing = layout.map(|layout| (now + self.rng.random_range(1..300), layout));
    }

    /// The layout, which all live hosts have to agree on.
    fn agreed(&self, seed: u64) -> &Layout {
        let layout = self.layout.as_ref().unwrap_or_else(|| panic!("seed {seed}: no layout"));
        let alive = self.hosts.iter().filter(|h| h.dies_at == u64::MAX);
        assert!(
            alive.clone().all(|h| h.layout.as_ref() == Some(layout)),
            "seed {seed}: hosts disagree"
        );
        layout
    }
}

#[test]
fn every_order_of_starts_gives_the_same_layout() {
    let faults = Faults::default();
    for seed in 0..SEEDS {
        let fleet = random_fleet(&mut ChaCha8Rng::seed_from_u64(seed));
        let expected = fleet.layout(Cells::Auto, PARTITIONS);
        for order in 0..3 {
            let mut start = Start::new(fleet.clone(), 1_000 * seed + order, &faults);
            start.run(&faults, LIMIT_MS);
            assert_eq!(*start.agreed(seed), expected, "seed {seed} order {order}");
        }
    }
}

#[test]
fn the_list_of_workers_is_read_by_few_hosts() {
    let faults = Faults::default();
    let mut fleet = Fleet::default();
    for n in 0..300 {
        let host = Announcement { data_centre: format!("d{}", n % 5), max_workers: 90 + n % 7 };
        fleet.hosts.insert(format!("h{n}"), host);
    }
    fleet.workers = (0..5).map(|n| (format!("d{n}"), 600)).collect();
    for seed in 0..20 {
        let mut start = Start::new(fleet.clone(), seed, &faults);
        start.run(&faults, LIMIT_MS);
        start.agreed(seed);
        // A list has 3,000 entries; if all hosts read it, there would be 300 reads per round.
        assert!(start.counts <= 60, "seed {seed}: {} lists were read", start.counts);
    }
}

#[test]
fn the_layout_is_written_although_hosts_are_late_or_die_and_the_store_is_away() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let fleet = random_fleet(&mut rng);
        let from = rng.random_range(0..4_000);
        let store_away = from..from + rng.random_range(0..6_000);
        let faults = Faults { max_delay: 3_000, death_rate: 0.4, store_away };
        let end = faults.store_away.end + LIMIT_MS + 5_000;
        let mut start = Start::new(fleet, seed, &faults);
        if start.hosts.iter().all(|h| h.dies_at != u64::MAX) {
            continue;
        }
        start.run(&faults, end);
        start.agreed(seed);
    }
}
