//! Simulation of a placement policy in ticks of 1 s.

use std::collections::VecDeque;

use myrtle_base::Millis;
use myrtle_place::{
    Action, BestFit, FirstFit, Fleet, Learned, LeastLoaded, Machine, Neighbour, Placer, Relief,
    Sample, TaskRequest,
};

use super::world::{Arrival, KINDS, SAMPLE_INTERVAL, SAMPLE_LAG, SERVICES, Site, Truth, WORKER};

/// Pending tasks saved available, so that batch work could fill all machines.
const BACKLOG: usize = 200;

/// Pending tasks without a machine after which the rest waits for the next tick.
const MAX_MISSES: usize = 12;

/// Seconds of work between two checkpoints.
const CHECKPOINT_INTERVAL: f64 = 10.0;

/// The most watchers of a site for each worker.
const MAX_WATCHERS: usize = 3;

/// A placement policy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// Learned interference costs, throttling before eviction.
    Learned,
    /// As `Learned`, but the costs are never updated.
    NoLearning,
    /// The first machine with room.
    FirstFit,
    /// The fullest machine by declared size, filled at most to this share.
    BestFit(f64),
    /// The emptiest machine.
    LeastLoaded,
}

/// Figures of one simulation.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// The share of the time in which services were within their targets.
    pub within: f64,
    /// The 99th percentile of tail latency over target.
    pub tail: f64,
    /// Core-hours of completed batch work.
    pub work: f64,
    /// Evictions of batch tasks and watchers.
    pub evictions: u32,
    /// Evictions of watchers.
    pub watchers: u32,
}

#[derive(Debug)]
struct Task {
    id: u64,
    arrival: Arrival,
    done: f64,
    saved: f64,
    percent: u8,
    avoid: Option<u32>,
}

struct DelayedSample {
    due: u64,
    worker: usize,
    sample: Sample,
}

struct Sim {
    truth: Truth,
    fleet: Fleet,
    running: Vec<Vec<Task>>,
    pending: VecDeque<Task>,
    relief: Vec<Relief>,
    delayed: VecDeque<DelayedSample>,
    learned: Learned,
    policy: Policy,
    next: u64,
    watchers: usize,
    tails: Vec<f64>,
    outcome: Outcome,
}

/// Simulates a policy on a site for a number of seconds.
pub fn simulate(policy: Policy, site: &Site, seed: u64, seconds: u64) -> Outcome {
    let truth = Truth::new(*site, seed);
    let machine = |n| Machine {
        room: WORKER,
        free: WORKER,
        rack: n as u32 / 8,
        service: truth.service(n),
        accepting: true,
        ..Machine::default()
    };
    let machines = (0..site.workers).map(machine).collect();
    let mut sim = Sim {
        fleet: Fleet { machines },
        running: (0..site.workers).map(|_| Vec::new()).collect(),
        pending: VecDeque::new(),
        relief: vec![Relief::default(); site.workers],
        delayed: VecDeque::new(),
        learned: Learned::new(SERVICES, KINDS, seed),
        policy,
        next: 0,
        watchers: 0,
        tails: Vec::new(),
        outcome: Outcome::default(),
        truth,
    };
    for now in 0..seconds {
        sim.step(now, site);
    }
    sim.outcome()
}

impl Sim {
    fn step(&mut self, now: u64, site: &Site) {
        self.truth.tick();
        while self.pending.len() < BACKLOG {
            let arrival = self.truth.arrival(now);
            if arrival.work.is_none() {
                if self.watchers >= MAX_WATCHERS * site.workers {
                    continue;
                }
                self.watchers += 1;
            }
            let id = self.next;
            self.next += 1;
            let task = Task { id, arrival, done: 0.0, saved: 0.0, percent: 100, avoid: None };
            self.pending.push_back(task);
        }
        self.place();
        for worker in 0..site.workers {
            self.advance(worker);
            self.measure(worker, now);
        }
        while self.delayed.front().is_some_and(|l| l.due <= now) {
            let delayed = self.delayed.pop_front().expect("the queue has a front");
            self.observe(delayed);
        }
    }

    fn place(&mut self) {
        let mut misses = 0;
        let mut deferred = VecDeque::new();
        while let Some(task) = self.pending.pop_front() {
            let request = TaskRequest {
                room: task.arrival.room,
                kind: task.arrival.kind,
                avoid: task.avoid,
                urgent: false,
                group: 0,
            };
            match self.choose(&request).filter(|_| misses < MAX_MISSES) {
                Some(worker) => {
                    self.fleet.machines[worker as usize].add(&request.room, request.kind);
                    self.running[worker as usize].push(task);
                }
                None => {
                    misses += 1;
                    deferred.push_back(task);
                }
            }
            if misses >= MAX_MISSES {
                break;
            }
        }
        deferred.append(&mut self.pending);
        self.pending = deferred;
    }

    fn choose(&mut self, request: &TaskRequest) -> Option<u32> {
        match self.policy {
            Policy::Learned | Policy::NoLearning => self.learned.place(&self.fleet, request),
            Policy::FirstFit => FirstFit.place(&self.fleet, request),
            Policy::LeastLoaded => LeastLoaded.place(&self.fleet, request),
            Policy::BestFit(cap) => {
                let at = BestFit.place(&self.capped(request, cap), request)?;
                Some(at)
            }
        }
    }

    /// Returns the fleet, closed to the task on machines that it would fill beyond the cap.
    fn capped(&self, request: &TaskRequest, cap: f64) -> Fleet {
        let mut fleet = self.fleet.clone();
        for machine in &mut fleet.machines {
            machine.accepting &=
                machine.used_share() + request.room.share(&machine.room) <= cap + 1e-9;
        }
        fleet
    }

    fn advance(&mut self, worker: usize) {
        let machine = &mut self.fleet.machines[worker];
        let outcome = &mut self.outcome;
        self.running[worker].retain_mut(|task| {
            task.done += f64::from(task.percent) / 100.0;
            if task.done - task.saved >= CHECKPOINT_INTERVAL {
                task.saved = task.done;
            }
            let over = task.arrival.work.is_some_and(|w| task.done >= w);
            if over {
                let cores = f64::from(task.arrival.room.cpu) / 1000.0;
                outcome.work += cores * task.arrival.work.unwrap_or_default() / 3600.0;
                machine.remove(&task.arrival.room, task.arrival.kind);
            }
            !over
        });
    }

    fn measure(&mut self, worker: usize, now: u64) {
        let mut shares = [0.0; KINDS];
        for task in &self.running[worker] {
            let share = self.fleet.machines[worker].cpu_share(&task.arrival.room);
            shares[task.arrival.kind as usize] += share * f64::from(task.percent) / 100.0;
        }
        let tail = self.truth.tail(worker, now, &shares);
        self.tails.push(tail);
        if !(now + worker as u64).is_multiple_of(SAMPLE_INTERVAL) {
            return;
        }
        let tail = self.truth.sampled(tail);
        let by_kind = shares.iter().enumerate().filter(|p| *p.1 > 0.0);
        let by_kind = by_kind.map(|(k, p)| (k as u16, *p)).collect();
        let sample =
            Sample { service: self.truth.service(worker), shares: by_kind, tail_ratio: tail };
        self.delayed.push_back(DelayedSample { due: now + SAMPLE_LAG, worker, sample });
    }

    /// Learns from a delayed sample, then throttles, lifts or evicts a neighbour if needed.
    fn observe(&mut self, delayed: DelayedSample) {
        self.fleet.machines[delayed.worker].tail_ratio = delayed.sample.tail_ratio;
        match self.policy {
            Policy::Learned => self.learned.update(&delayed.sample),
            Policy::NoLearning => {}
            // The baselines only place; they neither throttle nor evict.
            _ => return,
        }
        let service = delayed.sample.service;
        let machine = &self.fleet.machines[delayed.worker];
        let neighbours: Vec<Neighbour> = self.running[delayed.worker]
            .iter()
            .map(|t| Neighbour {
                id: t.id,
                price: t.arrival.price,
                slowdown: self.learned.costs().cost(service, t.arrival.kind)
                    * machine.cpu_share(&t.arrival.room),
                unsaved: Millis(((t.done - t.saved) * 1000.0) as u64),
                watcher: t.arrival.work.is_none(),
            })
            .collect();
        if let Some(act) =
            self.relief[delayed.worker].observe(delayed.sample.tail_ratio, &neighbours)
        {
            self.act(delayed.worker, act);
        }
    }

    fn act(&mut self, worker: usize, act: Action) {
        let running = &mut self.running[worker];
        let (Action::Throttle(id, _) | Action::Lift(id) | Action::Evict(id)) = act;
        let Some(at) = running.iter().position(|t| t.id == id) else { return };
        match act {
            Action::Throttle(_, percent) => running[at].percent = percent,
            Action::Lift(_) => running[at].percent = 100,
            Action::Evict(_) => {
                let mut task = running.remove(at);
                self.fleet.machines[worker].remove(&task.arrival.room, task.arrival.kind);
                self.outcome.evictions += 1;
                self.outcome.watchers += u32::from(task.arrival.work.is_none());
                task.done = task.saved;
                task.percent = 100;
                task.avoid = Some(worker as u32);
                self.pending.push_back(task);
            }
        }
    }

    fn outcome(mut self) -> Outcome {
        let count = self.tails.len().max(1);
        let within = self.tails.iter().filter(|t| **t <= 1.0).count();
        self.outcome.within = within as f64 / count as f64;
        self.tails.sort_by(f64::total_cmp);
        self.outcome.tail = self.tails[(count - 1) * 99 / 100];
        self.outcome
    }
}
