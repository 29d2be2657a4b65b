//! The simulated machine service: waves of maintenance, and machines that crash.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use myrtle_job::StepSpec;
use myrtle_owner::{Maintenance, Wave, WaveRecord};

use crate::common::{FakeWorker, World, job, step};

/// How long maintenance takes, in milliseconds.
const DOWN: u64 = 2_000;

/// A machine of a wave.
type Place = (u64, String);

/// The simulated machine service.
pub struct Machines {
    waves: Vec<Wave>,
    /// The machines that are down, until when, and for which wave; none after a crash.
    down: BTreeMap<String, (u64, Option<u64>)>,
    /// When maintenance has begun.
    pub begun: BTreeMap<Place, u64>,
    /// Orders under way: when they arrive, the owner, and the machine.
    sent: Vec<(u64, usize, Place)>,
    /// Replies under way: when they arrive, the owner, the machine and the outcome.
    replies: Vec<(u64, usize, Place, Maintenance)>,
    /// The records in the log.
    records: BTreeMap<u64, WaveRecord>,
    /// The owner that last fenced the others off the log.
    writer: usize,
    complete: BTreeSet<u64>,
    /// The longest times of orders and replies on their way.
    pub travel: u64,
    /// The share of replies that are lost, which the host takes for a failure after a second.
    pub lost: f64,
    /// Until when the service answers that machines are busy.
    pub busy_until: u64,
    /// Whether workers come back under their ids.
    pub same_id: bool,
    /// The number of orders.
    pub orders: u32,
    /// The number of workers that came back so far.
    lives: u32,
    rng: ChaCha8Rng,
}

impl Machines {
    /// A service of so many machines, and a wave of all of them.
    pub fn new(machines: usize, limit: usize, seed: u64) -> Self {
        Self::of(&[(0..machines).collect::<Vec<_>>().as_slice()], limit, seed)
    }

    /// A service with waves of these machines, numbered from 1.
    pub fn of(waves: &[&[usize]], limit: usize, seed: u64) -> Self {
        let name = |n: &usize| format!("m{n}");
        let waves = waves.iter().zip(1..).map(|(machines, number)| Wave {
            number,
            machines: machines.iter().map(name).collect(),
            duration: 60_000,
            limit,
        });
        Self {
            waves: waves.collect(),
            down: BTreeMap::new(),
            begun: BTreeMap::new(),
            sent: Vec::new(),
            replies: Vec::new(),
            records: BTreeMap::new(),
            writer: 0,
            complete: BTreeSet::new(),
            travel: 20,
            lost: 0.0,
            busy_until: 0,
            same_id: false,
            orders: 0,
            lives: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The first wave.
    pub fn wave(&self) -> Wave {
        self.waves[0].clone()
    }

    /// Acts for the owner of a world as its host does: what is about to be ordered is written first.
    fn act(&mut self, world: &mut World) {
        let (now, at) = (world.now, world.owners.len() - 1);
        let cell = &mut world.owner().cell;
        for wave in &self.waves {
            let record = self.records.get(&wave.number).cloned().unwrap_or_default();
            cell.add_wave(wave.clone(), record, now);
        }
        let orders = cell.advance_waves(now);
        for change in cell.changed_waves() {
            assert_eq!(self.writer, at, "only the newest owner writes");
            self.records.insert(change.number, change.record);
            if change.news && change.complete {
                self.complete.insert(change.number);
            }
        }
        for (machine, wave) in orders {
            self.orders += 1;
            let due = now + self.rng.random_range(0..=self.travel);
            self.sent.push((due, at, (wave, machine)));
        }
    }

    /// Carries out orders and passes on replies.
    fn work(&mut self, world: &mut World) {
        let now = world.now;
        for machine in self.down.extract_if(.., |_, (until, _)| *until <= now).map(|(m, _)| m) {
            let address: u16 = machine[1..].parse().unwrap();
            self.lives += 1;
            let on_machine = |w: &FakeWorker| w.listing.machine.as_ref() == Some(&machine);
            let before = world.workers.iter().filter(|(_, w)| w.gone && on_machine(w));
            let before: Vec<_> = before.map(|(id, _)| id.clone()).collect();
            before.iter().for_each(|id| world.unlist(id));
            let id = match self.same_id {
                true => format!("w{address}"),
                false => format!("again{address}-{}", self.lives),
            };
            world.add_worker(&id, address);
        }
        for (_, at, place) in self.sent.extract_if(.., |(due, ..)| *due <= now).collect::<Vec<_>>()
        {
            let outcome = self.carry_out(world, &place);
            let lost = self.rng.random_bool(self.lost);
            let due = now + if lost { 1_000 } else { self.rng.random_range(0..=self.travel) };
            let outcome = if lost { Maintenance::Again } else { outcome };
            self.replies.push((due, at, place, outcome));
        }
        for (_, at, (wave, machine), outcome) in
            self.replies.extract_if(.., |(due, ..)| *due <= now).collect::<Vec<_>>()
        {
            let owner = &mut world.owners[at];
            if owner.awake {
                owner.cell.maintenance_replied(wave, &machine, outcome, now);
            }
        }
    }

    /// Carries out an order, by the rules as they are written: an upkeep may not begin while as many machines of its
    /// wave as its limit allows are down for their own.
    fn carry_out(&mut self, world: &mut World, place: &Place) -> Maintenance {
        if self.begun.contains_key(place) {
            return Maintenance::Begun;
        }
        let (number, machine) = place;
        let Some(id) = worker_on(world, machine).filter(|_| world.now >= self.busy_until) else {
            return Maintenance::Again;
        };
        let wave = self.waves.iter().find(|wave| wave.number == *number).unwrap();
        let of_wave = self.down.iter().filter(|(_, (_, wave))| *wave == Some(*number));
        let down: Vec<_> = of_wave.map(|(machine, _)| machine.clone()).collect();
        if down.len() >= wave.limit {
            let line = format!("{}: {machine} goes down for {number} beside {down:?}", world.now);
            world.judge.broken.push(line);
        }
        if world.workers[&id].count() > 0 {
            world.judge.broken.push(format!("{}: {machine} isn't empty", world.now));
        }
        self.begun.insert(place.clone(), world.now);
        self.take_down(world, &id, machine, (world.now + DOWN, Some(*number)));
        Maintenance::Begun
    }

    /// Lets the worker on a machine crash, which has another one after some milliseconds; nothing happens if it is
    /// down.
    pub fn crash(&mut self, world: &mut World, machine: &str, downtime: u64) {
        if let Some(id) = worker_on(world, machine) {
            self.take_down(world, &id, machine, (world.now + downtime, None));
        }
    }

    fn take_down(
        &mut self,
        world: &mut World,
        id: &Arc<str>,
        machine: &str,
        down: (u64, Option<u64>),
    ) {
        self.down.insert(machine.into(), down);
        let mut judge = std::mem::take(&mut world.judge);
        let worker = world.workers.get_mut(id).unwrap();
        worker.crash(&mut judge);
        worker.reachable = false;
        world.judge = judge;
        // Its entry stays until the next one is there.
        world.relist(id);
    }

    /// Runs for some milliseconds.
    pub fn run(&mut self, world: &mut World, millis: u64) {
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
    pub fn succeed(&mut self, world: &mut World) {
        self.writer = world.succeed();
    }

    /// Runs until all waves are complete, for some milliseconds at most.
    pub fn finish(&mut self, world: &mut World, millis: u64) {
        let end = world.now + millis;
        while self.complete.len() < self.waves.len() && world.now < end {
            self.run(world, 50);
        }
        assert_eq!(world.judge.broken, Vec::<String>::new());
        assert_eq!(self.complete.len(), self.waves.len(), "{:?} {:?}", self.records, self.down);
        let machines = self.waves.iter().map(|wave| wave.machines.len());
        assert_eq!(self.begun.len(), machines.sum::<usize>());
    }
}

/// A world of eight workers with a long-running job of which two tasks may be unavailable.
pub fn serving_world(seed: u64, patience: u64) -> World {
    let mut world = World::new(seed, 8);
    world.patience = patience;
    let mut serving = StepSpec { long_running: true, ..step(6) };
    serving.disruption_budget = Some(2);
    world.submit(job(vec![serving]));
    world.run(1_000);
    world
}

/// The worker that is up on a machine.
fn worker_on(world: &World, machine: &str) -> Option<Arc<str>> {
    let on_machine = |w: &FakeWorker| w.listing.machine.as_deref() == Some(machine);
    let worker = world.workers.iter().find(|(_, w)| !w.gone && on_machine(w));
    worker.map(|(id, _)| id.clone())
}
