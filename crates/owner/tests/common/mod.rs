//! A small world in virtual time: workers, a log and owners, with faults on purpose.
//!
//! The real owner decides; the world judges what workers see.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod act;
mod crash;
pub mod jobs;
mod judge;
mod worker;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use myrtle_base::Room;
use myrtle_job::{
    Incarnation, JobId, JobSpec, Listing, Policy, Progress, Submission, TaskId, decode, encode,
};
use myrtle_owner::{Batch, Bounds, Cell, Order};

use crash::Back;

pub use jobs::{job, policy, step};
pub use judge::Judge;
pub use worker::FakeWorker;

/// Names a case and gives it a world of four workers.
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

/// The time of day at which the world begins, in milliseconds since 1970; hosts' clocks may be set back by less.
const EPOCH: u64 = 1_000_000;

/// The length of one step of the world, in milliseconds.
pub const STEP: u64 = 10;

/// What goes wrong with orders, each as a share of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Carried out, but the answer is lost.
    pub unanswered: f64,
    /// Carried out 2 to 12 s later, without an answer.
    pub late: f64,
    /// Kept 0 to 6 s at the owner's host before they are sent.
    pub queued: f64,
    /// Whether what is carried out late may reach the next incarnation of its worker.
    pub outlive: bool,
}

/// One owner and what it has under way.
pub struct Owner {
    pub cell: Cell,
    pub deposed: bool,
    /// Whether it reaches the log.
    pub logged: bool,
    /// Whether it runs at all.
    pub awake: bool,
    /// When another one followed it.
    pub followed: Option<u64>,
    batch: Option<Batch>,
}

/// What a worker of 32 cores says of itself.
pub fn listing(address: u16) -> Listing {
    Listing {
        service: "s".into(),
        address: ([10, 0, 0, 1], 1000 + address).into(),
        data_centre: "d".into(),
        draining: false,
        remaining: None,
        room: Room { cpu: 32_000, mem: 128_000, accel: 0 },
        labels: vec!["a".into(), format!("r{}", address / 4)],
        machine: Some(format!("m{address}")),
        written: 1,
        cold: 0,
        start: 0,
    }
}

/// The whole world.
pub struct World {
    pub now: u64,
    pub workers: BTreeMap<Arc<str>, FakeWorker>,
    pub owners: Vec<Owner>,
    pub judge: Judge,
    pub faults: Faults,
    pub rng: ChaCha8Rng,
    /// Workers that a queue with advice may use.
    pub permitted: Vec<&'static str>,
    /// Tasks that crash each worker that starts them, and for how long they work before that.
    pub culprits: BTreeMap<TaskId, u64>,
    /// Workers that crashed, by the task that was the cause.
    pub crashes: BTreeMap<TaskId, u32>,
    /// What the list shows in place of newer entries, and until when.
    pub stale: BTreeMap<Arc<str>, (u64, Listing)>,
    /// Whether entries tell no start of their workers.
    pub untold: bool,
    /// Whether entries are read in any order, not in that of their ids.
    pub shuffled: bool,
    /// For how long an owner that another one has followed renews leases without knowing of it, in milliseconds: its
    /// host does so only while the store has confirmed the ownership lately.
    pub renews: u64,
    /// By how much the clocks of hosts are set back whose workers start from now on, in milliseconds.
    pub set_back: u64,
    /// Data centres that are being emptied.
    emptied: BTreeSet<String>,
    /// Whether every host sees each owner begin; they know nothing of each other unless it is set. Hosts of such a
    /// kind let owners that were followed give no lease with a start either.
    pub seen: bool,
    /// When owners began, by their fencing tokens.
    began: BTreeMap<u64, u64>,
    /// Owners that have read the log, which says so before they give leases out.
    claimed: BTreeSet<u64>,
    /// Crashed workers, when something is at their address again, and as what.
    down: Vec<(u64, Arc<str>, Back)>,
    jobs: BTreeMap<JobId, Submission>,
    progress: BTreeMap<JobId, Vec<u8>>,
    /// What the log holds of workers.
    pub traces: BTreeMap<Incarnation, Vec<u8>>,
    fence: u64,
    /// Orders that are carried out late: when, under which token and lease, by which process.
    late: Vec<(u64, u64, u64, Order)>,
    /// Orders that a host keeps: when they are sent, whose they are.
    queued: Vec<(u64, usize, Order)>,
    /// Which owner reaches which worker; everybody unless named here.
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
            culprits: BTreeMap::new(),
            crashes: BTreeMap::new(),
            stale: BTreeMap::new(),
            untold: false,
            shuffled: false,
            renews: u64::MAX,
            set_back: 0,
            emptied: BTreeSet::new(),
            seen: false,
            began: BTreeMap::new(),
            claimed: BTreeSet::new(),
            down: Vec::new(),
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            traces: BTreeMap::new(),
            fence: 0,
            late: Vec::new(),
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

    /// Adds a worker at an address; the same address twice is another one that replaces it, the same id too is
    /// its next incarnation.
    pub fn add_worker(&mut self, id: &str, address: u16) {
        let start = EPOCH + self.now - self.set_back;
        let listing = Listing { written: self.now, start, ..listing(address) };
        self.workers.insert(id.into(), FakeWorker::new(listing, self.now));
    }

    /// The incarnation of a worker that is there now.
    pub fn life(&self, id: &str) -> Incarnation {
        Incarnation::new(id, self.workers[id].listing.start)
    }

    /// A new owner reads the log; earlier ones go on until they learn of it.
    pub fn take_over(&mut self) -> usize {
        self.read_log(self.now, |_, _| {})
    }

    /// An owner begins, which bars the others from the log, and ends before it has read that.
    pub fn pass_by(&mut self) {
        self.fence += 1;
        self.began.insert(self.fence, self.now);
    }

    /// A new owner that began earlier bars the others from the log only now, and reads it.
    pub fn take_over_since(&mut self, began: u64) -> usize {
        self.read_log(began, |_, _| {})
    }

    /// A new owner to which something comes once it knows the jobs and not yet their progress.
    pub fn take_over_while(&mut self, meanwhile: impl FnOnce(&mut Cell, u64)) -> usize {
        self.read_log(self.now, meanwhile)
    }

    fn read_log(&mut self, began: u64, meanwhile: impl FnOnce(&mut Cell, u64)) -> usize {
        self.fence += 1;
        let mut cell = Cell::new(Bounds::default(), self.fence, began);
        cell.empty_centres(&self.emptied);
        self.began.insert(self.fence, began);
        if self.seen {
            cell.ended = self.began.clone();
            self.claimed.iter().for_each(|&fence| cell.note_owner(fence));
        }
        self.claimed.insert(self.fence);
        for (life, record) in &self.traces {
            cell.recall_worker(life, record, self.now).unwrap();
        }
        for (&id, submission) in &self.jobs {
            cell.admit(id, submission.clone(), self.now, self.now);
        }
        meanwhile(&mut cell, self.now);
        for (&id, bytes) in &self.progress {
            let progress: Progress = decode(bytes).unwrap();
            cell.inherit(id, progress, self.now);
        }
        let (now, wall) = (self.now, self.now);
        if let Some(lessons) = self.owners.last().and_then(|o| o.cell.lessons(now, wall)) {
            cell.recall(&lessons, now, wall).unwrap();
        }
        cell.loaded = true;
        if let Some(last) = self.owners.last_mut() {
            last.followed = last.followed.or(Some(began));
        }
        let fresh =
            Owner { cell, deposed: false, logged: true, awake: true, followed: None, batch: None };
        self.owners.push(fresh);
        self.owners.len() - 1
    }

    /// The owner ends once its last batch was taken in, and another one reads the log.
    pub fn succeed(&mut self) -> usize {
        self.owner().awake = false;
        self.take_over()
    }

    /// An earlier owner tells the newest one what it has heard and could not log.
    pub fn pass_on(&mut self, from: usize) {
        let ends = self.owners[from].cell.unlogged().to_vec();
        let now = self.now;
        ends.iter().for_each(|end| self.owner().cell.hear_end(end, now, now));
    }

    /// The newest owner.
    pub fn owner(&mut self) -> &mut Owner {
        self.owners.last_mut().unwrap()
    }

    /// Lets the log name workers by their ids only, as it did before starts were told.
    pub fn forget_starts(&mut self) {
        let untold = |life: &Incarnation| life.started(0);
        let traces = std::mem::take(&mut self.traces);
        self.traces = traces.into_iter().map(|(life, record)| (untold(&life), record)).collect();
        for bytes in self.progress.values_mut() {
            let mut progress: Progress = decode(bytes).unwrap();
            let steps = progress.rounds.values_mut().flat_map(|round| &mut round.steps);
            let runs = steps.flat_map(|step| &mut step.tasks).flat_map(|task| &mut task.live);
            runs.for_each(|run| run.worker = untold(&run.worker));
            *bytes = encode(&progress);
        }
    }

    /// Hands a job in.
    pub fn submit(&mut self, spec: JobSpec) -> JobId {
        self.submit_as(spec, Policy { attempts: 3, ..policy() })
    }

    /// Hands a job in to a queue with a policy of its own.
    pub fn submit_as(&mut self, spec: JobSpec, policy: Policy) -> JobId {
        let id = JobId(self.next);
        self.next += 1;
        spec.check().unwrap();
        let submission = Submission { policy, spec, taken: self.now };
        self.judge.job(id, &submission);
        self.jobs.insert(id, submission.clone());
        let now = self.now;
        for owner in &mut self.owners {
            owner.cell.admit(id, submission.clone(), now, now);
        }
        id
    }

    /// Takes a job back by way of the newest owner.
    pub fn cancel(&mut self, id: JobId) {
        let now = self.now;
        assert!(self.owner().cell.cancel(id, now, now));
    }

    /// Empties a data centre, or takes that back; every owner hears of it at once.
    pub fn empty(&mut self, centre: &str, emptied: bool) {
        match emptied {
            true => drop(self.emptied.insert(centre.into())),
            false => drop(self.emptied.remove(centre)),
        }
        for owner in &mut self.owners {
            owner.cell.empty_centres(&self.emptied);
        }
    }

    /// Whether a worker is in a data centre that is being emptied.
    fn in_emptied(&self, worker: &str) -> bool {
        self.workers.get(worker).is_some_and(|w| self.emptied.contains(&w.listing.data_centre))
    }

    /// Cuts an owner off from a worker, or heals that.
    pub fn cut(&mut self, owner: usize, worker: &str, cut: bool) {
        self.cuts.insert((owner, worker.into()), cut);
    }

    /// Runs for a while.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until every job is over, or a limit; returns whether they are.
    pub fn finish(&mut self, limit: u64) -> bool {
        let end = self.now + limit;
        while self.now < end {
            self.step();
            let cell = &self.owners.last().unwrap().cell;
            if cell.jobs.values().all(|j| j.shown.over()) {
                return true;
            }
        }
        false
    }

    fn step(&mut self) {
        self.now += STEP;
        for worker in self.workers.values_mut() {
            worker.work(self.now, &mut self.judge);
        }
        self.crash_by_tasks();
        self.come_back();
        self.late_orders();
        self.queued_orders();
        for at in 0..self.owners.len() {
            if self.owners[at].awake && !self.owners[at].deposed {
                self.act(at);
            }
        }
    }
}
