//! A simulation of workers, a log and owners in virtual time, with injected faults.
//!
//! The owners run the real code; the simulation checks the runs that workers see.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod act;
mod crash;
pub mod find;
mod fixtures;
pub mod jobs;
mod judge;
pub mod lease;
mod renew;
pub mod service;
mod succession;
mod worker;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use myrtle_job::{Incarnation, JobId, JobSpec, Listing, Policy, Submission, TaskId};
use myrtle_owner::{Batch, Cell, Order};

use act::LateRun;
use crash::Back;
use service::{Calls, Service};

pub use fixtures::{Faults, listing};
pub use jobs::{job, policy, step};
pub use judge::Judge;
pub use worker::FakeWorker;

/// Declares a test with a world of four workers, in which no guarantee may be violated.
#[allow(unused_macros, reason = "each test file uses a part of the module")]
macro_rules! case {
    ($(#[$doc:meta])* $name:ident, $world:ident, $body:block) => {
        $(#[$doc])*
        #[test]
        fn $name() {
            #[allow(unused_mut)]
            let mut $world = $crate::common::World::new(7, 4);
            $body
            assert_eq!($world.judge.broken, Vec::<String>::new());
        }
    };
}

#[allow(unused_imports, reason = "each test file uses a part of the module")]
pub(crate) use case;

/// The time of day at which the world begins, in milliseconds since 1970; larger than any `set_back`.
const EPOCH: u64 = 1_000_000;

/// The length of one step of the world, in milliseconds.
pub const STEP: u64 = 10;

/// An owner and its state in the simulation.
pub struct Owner {
    pub cell: Cell,
    pub deposed: bool,
    /// Whether it reaches the log.
    pub logged: bool,
    /// Whether it runs; false if it is suspended or ended.
    pub awake: bool,
    /// When its successor began.
    pub followed: Option<u64>,
    batch: Option<Batch>,
}

/// The simulated workers, owners and log.
pub struct World {
    pub now: u64,
    pub workers: BTreeMap<Arc<str>, FakeWorker>,
    pub owners: Vec<Owner>,
    pub judge: Judge,
    pub faults: Faults,
    pub rng: ChaCha8Rng,
    /// Workers that a queue with advice may use.
    pub permitted: Vec<&'static str>,
    /// The ticket service; without one, questions are answered at once.
    pub service: Option<Service>,
    /// The calls to it, by owner.
    pub calls: BTreeMap<usize, Calls>,
    /// Tasks that crash each worker that runs them, and how long they run before that, in milliseconds.
    pub culprits: BTreeMap<TaskId, u64>,
    /// The number of workers that each task has crashed.
    pub crashes: BTreeMap<TaskId, u32>,
    /// Outdated entries that the list shows in place of newer ones, and until when.
    pub stale: BTreeMap<Arc<str>, (u64, Listing)>,
    /// Whether entries lack the start time of their workers.
    pub untold: bool,
    /// Whether entries are read in random order, not in that of their ids.
    pub shuffled: bool,
    /// For how long an owner renews leases after its successor began, in milliseconds: a host does so only while the
    /// store has recently confirmed the ownership.
    pub renews: u64,
    /// How long an owner waits for the reply to a lease renewal before it takes it for lost, in milliseconds.
    pub patience: u64,
    /// Since when lease renewals of an owner to a worker have no reply.
    unanswered: BTreeMap<(usize, Incarnation), u64>,
    /// By how much the clocks of workers that start from now on are set back, in milliseconds.
    pub set_back: u64,
    /// Data centres that are being evacuated.
    evacuated: BTreeSet<String>,
    /// Whether every owner is informed of each owner that begins, and starts carry no lease either once the owner
    /// may not renew leases.
    pub seen: bool,
    /// When each owner began, by its fencing token.
    began: BTreeMap<u64, u64>,
    /// The fencing tokens of owners that have read the log, as recorded there before they grant leases.
    claimed: BTreeSet<u64>,
    /// Crashed workers: when one is at their address again, and with which identity.
    down: Vec<(u64, Arc<str>, Back)>,
    jobs: BTreeMap<JobId, Submission>,
    progress: BTreeMap<JobId, Vec<u8>>,
    /// The records of workers in the log.
    pub traces: BTreeMap<Incarnation, Vec<u8>>,
    fence: u64,
    /// Orders that are executed late: when, and with which fencing token and lease.
    late: Vec<(u64, u64, u64, Order)>,
    /// The late starts that reached the next incarnation of their worker and were carried out there.
    pub late_runs: Vec<LateRun>,
    /// Orders that a host delays: when they are sent, and the index of their owner.
    queued: Vec<(u64, usize, Order)>,
    /// Whether an owner is cut off from a worker; it is not unless listed here.
    cuts: HashMap<(usize, Arc<str>), bool>,
    next: u64,
}

impl World {
    /// A world with `count` workers of 32 cores and one owner.
    pub fn new(seed: u64, count: usize) -> Self {
        let mut world = Self {
            now: 1_000,
            workers: BTreeMap::new(),
            owners: Vec::new(),
            judge: Judge::default(),
            faults: Faults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            permitted: Vec::new(),
            service: None,
            calls: BTreeMap::new(),
            culprits: BTreeMap::new(),
            crashes: BTreeMap::new(),
            stale: BTreeMap::new(),
            untold: false,
            shuffled: false,
            renews: u64::MAX,
            patience: 0,
            unanswered: BTreeMap::new(),
            set_back: 0,
            evacuated: BTreeSet::new(),
            seen: false,
            began: BTreeMap::new(),
            claimed: BTreeSet::new(),
            down: Vec::new(),
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            traces: BTreeMap::new(),
            fence: 0,
            late: Vec::new(),
            late_runs: Vec::new(),
            queued: Vec::new(),
            cuts: HashMap::new(),
            next: 1,
        };
        for n in 0..count {
            world.add_worker(&format!("w{n}"), n as u16);
        }
        world.take_over();
        world
    }

    /// Adds a worker at an address; it replaces the one at the same address, and with the same id it is the next
    /// incarnation of that one.
    pub fn add_worker(&mut self, id: &str, address: u16) {
        let start = EPOCH + self.now - self.set_back;
        let listing = Listing { offset: self.now, started_at: start, ..listing(address) };
        self.workers.insert(id.into(), FakeWorker::new(listing, self.now));
    }

    /// The current incarnation of a worker.
    pub fn life(&self, id: &str) -> Incarnation {
        Incarnation::new(id, self.workers[id].listing.started_at)
    }

    /// The newest owner.
    pub fn owner(&mut self) -> &mut Owner {
        self.owners.last_mut().unwrap()
    }

    /// Submits a job.
    pub fn submit(&mut self, spec: JobSpec) -> JobId {
        self.submit_as(spec, Policy { max_failures: 3, ..policy() })
    }

    /// Submits a job to a queue with its own policy.
    pub fn submit_as(&mut self, spec: JobSpec, policy: Policy) -> JobId {
        let id = JobId(self.next);
        self.next += 1;
        spec.check().unwrap();
        let submission = Submission { policy, spec, accepted_at: self.now };
        self.judge.job(id, &submission);
        self.jobs.insert(id, submission.clone());
        let now = self.now;
        for owner in &mut self.owners {
            owner.cell.admit(id, submission.clone(), now, now);
        }
        id
    }

    /// Cancels a job at the newest owner.
    pub fn cancel(&mut self, id: JobId) {
        let now = self.now;
        assert!(self.owner().cell.cancel(id, now, now));
    }

    /// Sets whether a data centre is being evacuated; every owner is informed at once.
    pub fn empty(&mut self, centre: &str, evacuated: bool) {
        match evacuated {
            true => drop(self.evacuated.insert(centre.into())),
            false => drop(self.evacuated.remove(centre)),
        }
        for owner in &mut self.owners {
            owner.cell.evacuate_centres(&self.evacuated);
        }
    }

    /// Whether a worker is in a data centre that is being evacuated.
    fn in_evacuated(&self, worker: &str) -> bool {
        self.workers.get(worker).is_some_and(|w| self.evacuated.contains(&w.listing.data_centre))
    }

    /// Cuts an owner off from a worker, or reconnects it.
    pub fn cut(&mut self, owner: usize, worker: &str, cut: bool) {
        self.cuts.insert((owner, worker.into()), cut);
    }

    /// Runs for some milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until every job is over, for `limit` ms at most; returns whether all are.
    pub fn finish(&mut self, limit: u64) -> bool {
        let end = self.now + limit;
        while self.now < end {
            self.step();
            let cell = &self.owners.last().unwrap().cell;
            if cell.jobs.values().all(|j| j.logged_state.over()) {
                return true;
            }
        }
        false
    }

    /// Advances time by one step.
    fn step(&mut self) {
        self.now += STEP;
        for worker in self.workers.values_mut() {
            worker.work(self.now, &mut self.judge);
        }
        self.crash_by_tasks();
        self.come_back();
        self.late_orders();
        self.queued_orders();
        self.work_service();
        for at in 0..self.owners.len() {
            if self.owners[at].awake && !self.owners[at].deposed {
                self.act(at);
            }
        }
    }
}
