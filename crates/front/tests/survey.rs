//! Every order in which hosts start comes to the same cells; the store is virtual, and so is time.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_front::{Announcement, Cells, Fleet, Layout, Survey};

/// How many fleets are drawn.
const SEEDS: u64 = 300;

/// The pause between two looks of a host, in milliseconds.
const PAUSE: u64 = 700;

/// The time within which the cells have to stand, in milliseconds: traffic begins 10 s after the hosts
/// of a deployment have started.
const SOON: u64 = 9_000;

/// Partitions of a topic.
const PARTS: usize = 24;

/// Classes of strength.
const CLASSES: u32 = 12;

/// A host that looks until it knows the cells.
struct Host {
    name: String,
    dies: u64,
    /// How many hosts of its class were there before it, once it has announced itself.
    place: Option<usize>,
    survey: Survey,
    layout: Option<Layout>,
    next: u64,
    /// What it is about to write, and when that arrives.
    writing: Option<(u64, Layout)>,
}

/// What goes wrong while the cells are cut.
#[derive(Default)]
struct Trouble {
    /// The latest start of a host, in milliseconds.
    late: u64,
    /// The share of hosts that die within the first seconds.
    die: f64,
    /// When the store is away.
    away: std::ops::Range<u64>,
}

/// A deployment that starts.
struct Start {
    fleet: Fleet,
    known: BTreeMap<String, Announcement>,
    /// Announcements of each class.
    classes: BTreeMap<u32, usize>,
    hosts: Vec<Host>,
    layout: Option<Layout>,
    /// How often a host has read the list of workers.
    counts: usize,
    full: u64,
    rng: ChaCha8Rng,
}

fn draw(rng: &mut ChaCha8Rng) -> Fleet {
    let mut fleet = Fleet::default();
    for dc in 0..rng.random_range(1..=6) {
        let dc = format!("d{dc}");
        fleet.workers.insert(dc.clone(), rng.random_range(4..300));
        let strengths = [rng.random_range(60..120), rng.random_range(120..600)];
        for n in 0..rng.random_range(2..24) {
            let max_workers = strengths[usize::from(rng.random_bool(0.25))];
            let host = Announcement { data_centre: dc.clone(), max_workers };
            fleet.hosts.insert(format!("{dc}-{n}"), host);
        }
    }
    fleet
}

impl Start {
    fn new(fleet: Fleet, seed: u64, trouble: &Trouble) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts = fleet.hosts.keys().map(|name| {
            let starts = rng.random_range(0..300 + trouble.late);
            let dies =
                if rng.random_bool(trouble.die) { rng.random_range(500..4_000) } else { u64::MAX };
            let (name, survey) = (name.clone(), Survey::default());
            Host { name, dies, place: None, survey, layout: None, next: starts, writing: None }
        });
        let hosts = hosts.collect();
        let full = rng.random_range(200..3_000);
        let (known, classes) = (BTreeMap::new(), BTreeMap::new());
        Self { fleet, known, classes, hosts, layout: None, counts: 0, full, rng }
    }

    /// Runs until a moment, in milliseconds.
    fn run(&mut self, trouble: &Trouble, until: u64) {
        for now in 0..until {
            for at in 0..self.hosts.len() {
                if self.hosts[at].dies <= now {
                    continue;
                }
                if let Some((_, layout)) = self.hosts[at].writing.take_if(|(due, _)| *due <= now)
                    && !trouble.away.contains(&now)
                {
                    self.layout.get_or_insert(layout);
                }
                if self.hosts[at].next <= now && self.hosts[at].layout.is_none() {
                    // Hosts that are short of processors take their time.
                    self.hosts[at].next = now + PAUSE + self.rng.random_range(1..200);
                    if !trouble.away.contains(&now) {
                        self.look(at, now);
                    }
                }
            }
        }
    }

    fn look(&mut self, at: usize, now: u64) {
        let host = &mut self.hosts[at];
        host.layout.clone_from(&self.layout);
        if host.layout.is_some() {
            return;
        }
        let own = &self.fleet.hosts[&host.name];
        let class = own.class(CLASSES);
        if host.place.is_none() {
            let before = self.classes.entry(class).or_default();
            host.place = Some(*before);
            *before += 1;
            self.known.insert(host.name.clone(), own.clone());
        }
        let stronger: usize = self.classes.range(class + 1..).map(|(_, n)| n).sum();
        let rank = host.place.unwrap_or_default() + stronger;
        let counts = rank < host.survey.counters();
        host.survey.add_rounds(1);
        if !counts {
            return;
        }
        host.survey.hosts(self.known.clone());
        self.counts += 1;
        let there = |n: &usize| *n * now.min(self.full) as usize / self.full as usize;
        let workers = self.fleet.workers.iter().map(|(dc, n)| (dc.clone(), there(n)));
        let layout = host.survey.workers(workers.collect(), Cells::Auto, PARTS);
        host.writing = layout.map(|layout| (now + self.rng.random_range(1..300), layout));
    }

    /// The cells, as every host that lives has come to know them.
    fn agreed(&self, seed: u64) -> &Layout {
        let layout = self.layout.as_ref().unwrap_or_else(|| panic!("seed {seed}: no cells"));
        let alive = self.hosts.iter().filter(|h| h.dies == u64::MAX);
        assert!(alive.clone().all(|h| h.layout.as_ref() == Some(layout)), "seed {seed}: two minds");
        layout
    }
}

#[test]
fn every_order_of_starts_gives_the_same_cells() {
    let trouble = Trouble::default();
    for seed in 0..SEEDS {
        let fleet = draw(&mut ChaCha8Rng::seed_from_u64(seed));
        let expected = fleet.layout(Cells::Auto, PARTS);
        for order in 0..3 {
            let mut start = Start::new(fleet.clone(), 1_000 * seed + order, &trouble);
            start.run(&trouble, SOON);
            assert_eq!(*start.agreed(seed), expected, "seed {seed} order {order}");
        }
    }
}

#[test]
fn the_list_of_workers_is_read_by_few_hosts() {
    let trouble = Trouble::default();
    let mut fleet = Fleet::default();
    for n in 0..300 {
        let host = Announcement { data_centre: format!("d{}", n % 5), max_workers: 90 + n % 7 };
        fleet.hosts.insert(format!("h{n}"), host);
    }
    fleet.workers = (0..5).map(|n| (format!("d{n}"), 600)).collect();
    for seed in 0..20 {
        let mut start = Start::new(fleet.clone(), seed, &trouble);
        start.run(&trouble, SOON);
        start.agreed(seed);
        // Each of them reads 3,000 entries; all together read 300 lists in every look before.
        assert!(start.counts <= 60, "seed {seed}: {} lists were read", start.counts);
    }
}

#[test]
fn the_cells_stand_though_hosts_are_late_or_die_and_the_store_is_away() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let fleet = draw(&mut rng);
        let from = rng.random_range(0..4_000);
        let away = from..from + rng.random_range(0..6_000);
        let trouble = Trouble { late: 3_000, die: 0.4, away };
        let end = trouble.away.end + SOON + 5_000;
        let mut start = Start::new(fleet, seed, &trouble);
        if start.hosts.iter().all(|h| h.dies != u64::MAX) {
            continue;
        }
        start.run(&trouble, end);
        start.agreed(seed);
    }
}
