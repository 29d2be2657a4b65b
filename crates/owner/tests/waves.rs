//! Maintenance waves, also across owners that end at any moment of a turn.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use myrtle_job::StepSpec;
use myrtle_owner::{Maintenance, Wave, WaveRecord};

use common::{World, job, step};

/// How long maintenance takes, in milliseconds.
const DOWN: u64 = 2_000;

/// The simulated machine service.
struct Machines {
    wave: Wave,
    /// When each machine that is down is up again.
    down: BTreeMap<String, u64>,
    begun: BTreeSet<String>,
    /// Orders under way: when they arrive, the owner, and the machine.
    sent: Vec<(u64, usize, String)>,
    /// Replies under way: when they arrive, the owner, the machine and the outcome.
    replies: Vec<(u64, usize, String, Maintenance)>,
    /// The record in the log.
    record: WaveRecord,
    /// The owner that last fenced the others off the log.
    writer: usize,
    complete: bool,
    /// The longest times of orders and replies on their way.
    travel: u64,
    /// The share of replies that are lost, which the host takes for a failure after a second.
    lost: f64,
    /// Whether workers come back under their ids.
    same_id: bool,
    orders: u32,
    rng: ChaCha8Rng,
}

impl Machines {
    fn new(machines: usize, limit: usize, seed: u64) -> Self {
        let machines = (0..machines).map(|n| format!("m{n}")).collect();
        Self {
            wave: Wave { number: 1, machines, duration: 60_000, limit },
            down: BTreeMap::new(),
            begun: BTreeSet::new(),
            sent: Vec::new(),
            replies: Vec::new(),
            record: WaveRecord::default(),
            writer: 0,
            complete: false,
            travel: 20,
            lost: 0.0,
            same_id: false,
            orders: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Acts for the owner of a world as its host does: what is about to be ordered is written first.
    fn act(&mut self, world: &mut World) {
        let (now, at) = (world.now, world.owners.len() - 1);
        let (wave, record) = (self.wave.clone(), self.record.clone());
        let cell = &mut world.owner().cell;
        cell.add_wave(wave, record, now);
        let orders = cell.advance_waves(now);
        for change in cell.changed_waves() {
            assert_eq!(self.writer, at, "only the newest owner writes");
            self.record = change.record;
            self.complete |= change.news && change.complete;
        }
        for (machine, _) in orders {
            self.orders += 1;
            let due = now + self.rng.random_range(0..=self.travel);
            self.sent.push((due, at, machine));
        }
    }

    /// Carries out orders and passes on replies.
    fn work(&mut self, world: &mut World) {
        let now = world.now;
        for machine in self.down.extract_if(.., |_, until| *until <= now).map(|(m, _)| m) {
            let address: u16 = machine[1..].parse().unwrap();
            let id = match self.same_id {
                true => format!("w{address}"),
                false => format!("again{address}"),
            };
            world.add_worker(&id, address);
        }
        for (_, at, machine) in
            self.sent.extract_if(.., |(due, ..)| *due <= now).collect::<Vec<_>>()
        {
            let outcome = self.carry_out(world, &machine);
            let lost = self.rng.random_bool(self.lost);
            let due = now + if lost { 1_000 } else { self.rng.random_range(0..=self.travel) };
            let outcome = if lost { Maintenance::Again } else { outcome };
            self.replies.push((due, at, machine, outcome));
        }
        for (_, at, machine, outcome) in
            self.replies.extract_if(.., |(due, ..)| *due <= now).collect::<Vec<_>>()
        {
            let owner = &mut world.owners[at];
            if owner.awake {
                owner.cell.maintenance_replied(1, &machine, outcome, now);
            }
        }
    }

    fn carry_out(&mut self, world: &mut World, machine: &str) -> Maintenance {
        if self.begun.contains(machine) {
            return Maintenance::Begun;
        }
        let on_machine = |w: &common::FakeWorker| w.listing.machine.as_deref() == Some(machine);
        let worker = world.workers.iter().find(|(_, w)| !w.gone && on_machine(w));
        let Some(id) = worker.map(|(id, _)| id.clone()) else {
            return Maintenance::Again;
        };
        if self.down.len() >= self.wave.limit {
            let down: Vec<_> = self.down.keys().collect();
            world.judge.broken.push(format!("{}: {machine} goes down beside {down:?}", world.now));
        }
        if world.workers[&id].count() > 0 {
            world.judge.broken.push(format!("{}: {machine} isn't empty", world.now));
        }
        self.begun.insert(machine.into());
        self.down.insert(machine.into(), world.now + DOWN);
        let mut judge = std::mem::take(&mut world.judge);
        world.workers.get_mut(&id).unwrap().crash(&mut judge);
        world.judge = judge;
        Maintenance::Begun
    }

    /// Runs for some milliseconds.
    fn run(&mut self, world: &mut World, millis: u64) {
        let end = world.now + millis;
        while world.now < end {
            world.run(10);
            self.work(world);
            if world.now.is_multiple_of(50) {
                self.act(world);
            }
        }
    }

    /// Ends the owner and starts the next one, which reads the record once it has fenced the others off.
    fn succeed(&mut self, world: &mut World) {
        self.writer = world.succeed();
    }

    /// Runs until the wave is complete, for some milliseconds at most.
    fn finish(&mut self, world: &mut World, millis: u64) {
        let end = world.now + millis;
        while !self.complete && world.now < end {
            self.run(world, 50);
        }
        assert!(self.complete, "{:?} {:?}", self.record, self.down);
        assert_eq!(self.begun.len(), self.wave.machines.len());
        assert_eq!(world.judge.broken, Vec::<String>::new());
    }
}

// Guards against a successor that doesn't count the machines which its predecessor has had taken down.
#[rstest]
fn a_successor_counts_the_machines_that_are_down(
    #[values(0, 20, 100, 400, 1_000, 1_900, 2_100)] after: u64,
    #[values(1, 2)] limit: usize,
    #[values(false, true)] same_id: bool,
) {
    let mut world = World::new(5, 6);
    let mut machines = Machines::new(6, limit, 1);
    machines.same_id = same_id;
    while machines.begun.is_empty() {
        machines.run(&mut world, 10);
    }
    machines.run(&mut world, after);
    machines.succeed(&mut world);
    machines.finish(&mut world, 60_000);
}

// Guards against an order that is carried out after the successor has taken down another machine.
#[test]
fn a_successor_counts_machines_whose_order_is_under_way() {
    let mut world = World::new(5, 4);
    let mut machines = Machines::new(4, 1, 1);
    machines.travel = 3_000;
    while machines.orders == 0 {
        machines.run(&mut world, 10);
    }
    machines.succeed(&mut world);
    machines.finish(&mut world, 120_000);
}

#[test]
fn owners_in_a_row_keep_to_the_limit() {
    let mut world = World::new(5, 6);
    let mut machines = Machines::new(6, 1, 1);
    for _ in 0..8 {
        machines.run(&mut world, 700);
        machines.succeed(&mut world);
    }
    machines.finish(&mut world, 90_000);
}

// Each kind of course: owners end at random moments, replies are lost or late, machines run long-running tasks.
#[test]
fn drawn_courses_keep_to_the_limit() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(seed, 8);
        let mut serving = StepSpec { long_running: true, ..step(6) };
        serving.disruption_budget = Some(2);
        world.submit(job(vec![serving]));
        world.run(1_000);
        let mut machines = Machines::new(6, rng.random_range(1..4), seed);
        machines.travel = [10, 200, 1_500][rng.random_range(0..3)];
        machines.lost = [0.0, 0.3][rng.random_range(0..2)];
        machines.same_id = rng.random_bool(0.5);
        for _ in 0..rng.random_range(1..6) {
            machines.run(&mut world, rng.random_range(0..4_000));
            machines.succeed(&mut world);
        }
        println!("seed {seed}");
        machines.finish(&mut world, 240_000);
    }
}

// Guards against a worker that gets no work any more, though the platform knows no maintenance for its machine.
#[test]
fn a_worker_whose_machine_is_not_in_the_wave_gets_work_again() {
    let mut world = World::new(5, 1);
    let wave = Machines::new(1, 1, 1).wave;
    let now = world.now;
    world.owner().cell.add_wave(wave, WaveRecord::default(), now);
    world.run(200);
    let now = world.now;
    assert!(world.owner().cell.advance_waves(now).is_empty(), "its worker is drained first");
    assert_eq!(world.owner().cell.advance_waves(now), [("m0".to_string(), 1)]);
    world.owner().cell.maintenance_replied(1, "m0", Maintenance::Dropped, now);
    world.submit(job(vec![step(2)]));
    assert!(world.finish(5_000));
}

// Guards against orders that are sent again while one is under way, and at a fixed pace however often they fail.
#[test]
fn a_service_that_fails_is_sent_fewer_orders() {
    let mut world = World::new(5, 12);
    let mut machines = Machines::new(12, 12, 1);
    machines.lost = 1.0;
    machines.run(&mut world, 10_000);
    assert!(machines.orders <= 12 * 6, "{} orders", machines.orders);
}

// Guards against a wave of many machines at once whose orders the platform refuses, as they are more than it takes.
#[test]
fn a_wide_wave_is_ordered_at_the_pace_that_the_platform_takes() {
    let mut world = World::new(5, 100);
    let mut machines = Machines::new(100, 100, 1);
    machines.run(&mut world, 1_000);
    assert!((20..=50).contains(&machines.orders), "{} orders in a second", machines.orders);
    machines.finish(&mut world, 20_000);
}
