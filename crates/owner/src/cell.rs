//! The state of a cell: its jobs and its workers.

use myrtle_job::{Incarnation, JobId, Key, RunEnd, State, TaskId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::jobs::balance::Told;
use crate::jobs::bar::Bar;
use crate::placing::pass::Pass;
use crate::placing::refused::Refused;
use crate::placing::reserve::Reserve;
use crate::placing::usual::Usual;
use crate::workers::crash::Silence;
use crate::workers::wave::WaveState;
use crate::{Bounds, Harm, Job, Order, Question, Swings, Worker};

/// How often something happened since this owner began.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Starts that were ordered.
    pub starts: u64,
    /// Starts that a worker refused.
    pub refused: u64,
    /// Runs that ended well.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that were stopped to go on elsewhere.
    pub moved: u64,
    /// Runs that were lost with their workers or leases.
    pub lost: u64,
    /// Paces that were set.
    pub paced: u64,
    /// Workers that started anew under their ids.
    pub restarts: u64,
    /// Jobs that were given up since a task of theirs crashed its workers.
    pub crashers: u64,
}

/// What the owner of a cell knows and intends.
#[derive(Debug)]
pub struct Cell {
    /// The deployment's figures.
    pub bounds: Bounds,
    /// The fencing token on every order.
    pub fence: u64,
    /// The cell's number.
    pub number: u32,
    /// When this owner took over.
    pub began: u64,
    /// From when on this owner's host knew that the owners below some fencing tokens had ended.
    pub ended: BTreeMap<u64, u64>,
    /// The earlier owners that may have given leases out, by their fencing tokens.
    pub(crate) earlier: BTreeSet<u64>,
    /// Whether there is no other cell to hand jobs on to.
    pub alone: bool,
    /// Whether the log has been read as far as it went at the takeover.
    pub loaded: bool,
    /// The jobs.
    pub jobs: HashMap<JobId, Job>,
    /// The lives of workers.
    pub workers: BTreeMap<Incarnation, Worker>,
    /// What is known of images that disturb each other.
    pub harm: Harm,
    /// What is known of the loads of serving steps.
    pub swings: Swings,
    /// How often something happened.
    pub counts: Counts,
    /// Data centres that the operator empties.
    pub(crate) emptied: BTreeSet<String>,
    /// Workers that went silent lately.
    pub(crate) silences: Vec<Silence>,
    /// Tasks that have crashed too many workers, until their jobs are ended.
    pub(crate) doomed: BTreeSet<TaskId>,
    /// What found no worker in this pass.
    pub(crate) refused: Vec<Refused>,
    /// Where the pass over the waiting tasks is.
    pub(crate) pass: Pass,
    /// What lasting tasks leave to short ones.
    pub(crate) reserve: Reserve,
    /// How much work the jobs of each queue usually are.
    pub(crate) usual: Usual,
    /// When the list of workers could last not be read.
    pub(crate) blind: u64,
    /// What other cells have told of themselves.
    pub(crate) others: BTreeMap<u32, Told>,
    /// Records to be put into other cells' logs.
    pub(crate) due: Vec<Key>,
    /// Records on their way there.
    pub(crate) sending: BTreeSet<Key>,
    /// Records of forgotten jobs to be dropped from the log.
    pub(crate) drops: Vec<Key>,
    /// When loads were last forecast.
    pub(crate) foreseen: u64,
    /// Jobs with tasks that may have to be placed.
    pub(crate) open: BTreeSet<JobId>,
    /// Jobs that changed since the last batch.
    pub(crate) dirty: BTreeSet<JobId>,
    /// Ends that the log does not hold yet, in the order in which they were heard.
    pub(crate) unlogged: Vec<RunEnd>,
    /// Orders that need no record.
    pub(crate) orders: Vec<Order>,
    /// Jobs with repetitions still to come.
    pub(crate) timed: BTreeSet<JobId>,
    /// Waves of upkeep.
    pub(crate) waves: BTreeMap<u64, WaveState>,
    /// Questions to the policy service.
    pub(crate) questions: Vec<Question>,
    /// Jobs that were taken back before they were known.
    pub(crate) barred: HashMap<JobId, Bar>,
    /// Lives of workers whose descriptions the log need not hold any more.
    pub(crate) untraced: Vec<Incarnation>,
}

impl Cell {
    /// A cell without jobs or workers, taken over at `now`.
    pub fn new(bounds: Bounds, fence: u64, now: u64) -> Self {
        Self {
            bounds,
            fence,
            number: 0,
            began: now,
            ended: BTreeMap::new(),
            earlier: BTreeSet::new(),
            alone: true,
            loaded: false,
            jobs: HashMap::new(),
            workers: BTreeMap::new(),
            harm: Harm::default(),
            swings: Swings::default(),
            emptied: BTreeSet::new(),
            silences: Vec::new(),
            doomed: BTreeSet::new(),
            refused: Vec::new(),
            pass: Pass::default(),
            reserve: Reserve::new(now),
            usual: Usual::default(),
            blind: now,
            others: BTreeMap::new(),
            due: Vec::new(),
            sending: BTreeSet::new(),
            drops: Vec::new(),
            foreseen: 0,
            counts: Counts::default(),
            open: BTreeSet::new(),
            dirty: BTreeSet::new(),
            unlogged: Vec::new(),
            orders: Vec::new(),
            timed: BTreeSet::new(),
            waves: BTreeMap::new(),
            questions: Vec::new(),
            barred: HashMap::new(),
            untraced: Vec::new(),
        }
    }

    /// What clients are told of a job, as far as the log holds it.
    pub fn state(&self, id: JobId) -> Option<State> {
        self.jobs.get(&id).map(|j| j.shown)
    }

    /// How many jobs of each queue have not begun.
    pub fn pending(&self) -> BTreeMap<&str, u64> {
        let mut counts = BTreeMap::new();
        let here = self.jobs.values().filter(|j| j.progress.moved.is_none());
        for job in here.filter(|j| j.shown == State::Queued) {
            *counts.entry(&*job.submission.policy.queue).or_default() += 1;
        }
        counts
    }

    /// Whether nothing waits to be written.
    pub fn idle(&self) -> bool {
        self.dirty.is_empty() && self.workers.values().all(|w| w.taken <= w.noted)
    }

    /// Whether something waits to be placed, written or sent.
    pub fn restless(&self) -> bool {
        !self.open.is_empty() || !self.orders.is_empty() || !self.idle()
    }
}
