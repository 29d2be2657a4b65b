//! One run of a placement policy, second by second.

use std::collections::VecDeque;

use myrtle_base::Millis;
use myrtle_place::{
    Action, BestFit, FirstFit, Fleet, Learned, LeastLoaded, Machine, Neighbour, Placer, Relief,
    Sample, TaskRequest,
};

use super::world::{Coming, EVERY, KINDS, LAG, SERVICES, Site, Truth, WORKER};

/// Tasks that always wait, so that batch could fill everything.
const BACKLOG: usize = 200;

/// Pending tasks that find no machine before the rest is left for the next second.
const MISSES: usize = 12;

/// Seconds between two checkpoints.
const CHECKPOINT: f64 = 10.0;

/// Watchers that a site has at most for each worker.
const WATCHERS: usize = 3;

/// A way to place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// Learned costs, throttle before evict.
    Learned,
    /// The same without learning.
    NoLearning,
    /// The first machine with room.
    FirstFit,
    /// The fullest machine by declared size, filled at most to this part.
    BestFit(f64),
    /// The emptiest machine.
    LeastLoaded,
}

/// What came of a run.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// The part of the time in which services were within their targets.
    pub within: f64,
    /// The 99th percentile of the tail against the target.
    pub tail: f64,
    /// Core-hours of batch work done.
    pub work: f64,
    /// Evictions of batch tasks and watchers.
    pub evictions: u32,
    /// Evictions of watchers.
    pub watchers: u32,
}

#[derive(Debug)]
struct Task {
    id: u64,
    coming: Coming,
    done: f64,
    kept: f64,
    percent: u8,
    avoid: Option<u32>,
}

struct Late {
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
    late: VecDeque<Late>,
    learned: Learned,
    policy: Policy,
    next: u64,
    watchers: usize,
    tails: Vec<f64>,
    outcome: Outcome,
}

/// Runs a policy on a site for some seconds.
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
        late: VecDeque::new(),
        learned: Learned::new(SERVICES, KINDS, seed),
        policy,
        next: 0,
        watchers: 0,
        tails: Vec::new(),
        outcome: Outcome::default(),
        truth,
    };
    for now in 0..seconds {
        sim.second(now, site);
    }
    sim.outcome()
}

impl Sim {
    fn second(&mut self, now: u64, site: &Site) {
        self.truth.tick();
        while self.pending.len() < BACKLOG {
            let coming = self.truth.coming(now);
            if coming.work.is_none() {
                if self.watchers >= WATCHERS * site.workers {
                    continue;
                }
                self.watchers += 1;
            }
            let id = self.next;
            self.next += 1;
            let task = Task { id, coming, done: 0.0, kept: 0.0, percent: 100, avoid: None };
            self.pending.push_back(task);
        }
        self.place();
        for worker in 0..site.workers {
            self.work(worker);
            self.measure(worker, now);
        }
        while self.late.front().is_some_and(|l| l.due <= now) {
            let late = self.late.pop_front().expect("it was there");
            self.told(late);
        }
    }

    fn place(&mut self) {
        let mut misses = 0;
        let mut kept = VecDeque::new();
        while let Some(task) = self.pending.pop_front() {
            let request = TaskRequest {
                room: task.coming.room,
                kind: task.coming.kind,
                avoid: task.avoid,
                urgent: false,
                group: 0,
            };
            match self.choose(&request).filter(|_| misses < MISSES) {
                Some(worker) => {
                    self.fleet.machines[worker as usize].add(&request.room, request.kind);
                    self.running[worker as usize].push(task);
                }
                None => {
                    misses += 1;
                    kept.push_back(task);
                }
            }
            if misses >= MISSES {
                break;
            }
        }
        kept.append(&mut self.pending);
        self.pending = kept;
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

    /// The fleet without the machines that the task would fill beyond the cap.
    fn capped(&self, request: &TaskRequest, cap: f64) -> Fleet {
        let mut fleet = self.fleet.clone();
        for machine in &mut fleet.machines {
            machine.accepting &=
                machine.used_share() + request.room.share(&machine.room) <= cap + 1e-9;
        }
        fleet
    }

    fn work(&mut self, worker: usize) {
        let machine = &mut self.fleet.machines[worker];
        let outcome = &mut self.outcome;
        self.running[worker].retain_mut(|task| {
            task.done += f64::from(task.percent) / 100.0;
            if task.done - task.kept >= CHECKPOINT {
                task.kept = task.done;
            }
            let over = task.coming.work.is_some_and(|w| task.done >= w);
            if over {
                let cores = f64::from(task.coming.room.cpu) / 1000.0;
                outcome.work += cores * task.coming.work.unwrap_or_default() / 3600.0;
                machine.remove(&task.coming.room, task.coming.kind);
            }
            !over
        });
    }

    fn measure(&mut self, worker: usize, now: u64) {
        let mut parts = [0.0; KINDS];
        for task in &self.running[worker] {
            let part = self.fleet.machines[worker].cpu_share(&task.coming.room);
            parts[task.coming.kind as usize] += part * f64::from(task.percent) / 100.0;
        }
        let tail = self.truth.tail(worker, now, &parts);
        self.tails.push(tail);
        if !(now + worker as u64).is_multiple_of(EVERY) {
            return;
        }
        let tail = self.truth.measured(tail);
        let parts = parts.iter().enumerate().filter(|p| *p.1 > 0.0);
        let parts = parts.map(|(k, p)| (k as u16, *p)).collect();
        let sample =
            Sample { service: self.truth.service(worker), shares: parts, tail_ratio: tail };
        self.late.push_back(Late { due: now + LAG, worker, sample });
    }

    /// A measurement is told: learn, then relieve.
    fn told(&mut self, late: Late) {
        self.fleet.machines[late.worker].tail_ratio = late.sample.tail_ratio;
        match self.policy {
            Policy::Learned => self.learned.update(&late.sample),
            Policy::NoLearning => {}
            // The baselines only place.
            _ => return,
        }
        let service = late.sample.service;
        let machine = &self.fleet.machines[late.worker];
        let neighbours: Vec<Neighbour> = self.running[late.worker]
            .iter()
            .map(|t| Neighbour {
                id: t.id,
                price: t.coming.price,
                slowdown: self.learned.costs().cost(service, t.coming.kind)
                    * machine.cpu_share(&t.coming.room),
                unsaved: Millis(((t.done - t.kept) * 1000.0) as u64),
                watcher: t.coming.work.is_none(),
            })
            .collect();
        if let Some(act) = self.relief[late.worker].observe(late.sample.tail_ratio, &neighbours) {
            self.act(late.worker, act);
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
                self.fleet.machines[worker].remove(&task.coming.room, task.coming.kind);
                self.outcome.evictions += 1;
                self.outcome.watchers += u32::from(task.coming.work.is_none());
                task.done = task.kept;
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
