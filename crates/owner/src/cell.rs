//! The state of a cell: its jobs and its workers.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use myrtle_job::{Incarnation, JobId, Key, RunEnd, State, TaskId};
use myrtle_tickets::Backlog;

use crate::account::report::EndedJob;
use crate::health::book::HealthBook;
use crate::jobs::balance::CellLoad;
use crate::jobs::early_cancel::EarlyCancel;
use crate::jobs::removal::Removals;
use crate::jobs::room::JobRoom;
use crate::jobs::spread::OwnQueues;
use crate::placing::mean_work::MeanWork;
use crate::placing::pass::Pass;
use crate::placing::short_share::ShortShare;
use crate::placing::unplaceable::Unplaceable;
use crate::workers::crash::Silence;
use crate::workers::late_starts::LateStarts;
use crate::workers::unproven::UnprovenLosses;
use crate::workers::wave::{OrderPace, WaveState};
use crate::{InterferenceModel, Job, LoadCycles, Order, TimeLimits, Worker};

/// Counts of events since this owner began.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Ordered starts.
    pub starts: u64,
    /// Starts that a worker refused.
    pub refused: u64,
    /// Runs that succeeded.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that were stopped to continue on another worker.
    pub moved: u64,
    /// Short jobs that were transferred to cells that start them sooner.
    pub spread: u64,
    /// Runs that were lost with their workers or leases.
    pub lost: u64,
    /// Speed limits that were set.
    pub throttled: u64,
    /// Workers that restarted under the same id.
    pub restarts: u64,
    /// Jobs that were given up because a task of theirs crashed its workers.
    pub given_up: u64,
}

/// The state and plans of a cell's owner.
#[derive(Debug)]
pub struct Cell {
    /// The deployment's limits.
    pub limits: TimeLimits,
    /// The fencing token on every order.
    pub fence: u64,
    /// The cell's number.
    pub number: u32,
    /// When this owner took over.
    pub began_at: u64,
    /// When this owner's host learned that the owners below some fencing tokens had ended, by
    /// token.
    pub ended_owners: BTreeMap<u64, u64>,
    /// The fencing tokens of earlier owners that may have granted leases.
    pub(crate) earlier_owners: BTreeSet<u64>,
    /// Whether there is no other cell to transfer jobs to.
    pub only_cell: bool,
    /// The number of active runs from which on each job has only a few; tasks may ask for no room at all.
    pub max_runs: usize,
    /// The memory for jobs.
    pub job_room: JobRoom,
    /// Whether the log has been read up to its end at the takeover.
    pub loaded: bool,
    /// The jobs by id.
    pub jobs: HashMap<JobId, Job>,
    /// The workers by incarnation.
    pub workers: BTreeMap<Incarnation, Worker>,
    /// The interference model.
    pub interference: InterferenceModel,
    /// The load forecasts of serving steps.
    pub load_cycles: LoadCycles,
    /// Counts of events.
    pub counts: Counts,
    /// What is known of the workers' health.
    pub(crate) health: HealthBook,
    /// Evacuated data centres.
    pub(crate) evacuated: BTreeSet<String>,
    /// Starts without reply that may still be carried out.
    pub(crate) late_starts: LateStarts,
    /// Workers that went silent recently.
    pub(crate) silences: Vec<Silence>,
    /// Tasks that have crashed too many workers, until their jobs are ended.
    pub(crate) given_up_tasks: BTreeSet<TaskId>,
    /// The losses counted for workers that may only be out of reach.
    pub(crate) unproven_losses: UnprovenLosses,
    /// Kinds of tasks that found no worker in this pass.
    pub(crate) unplaceable: Vec<Unplaceable>,
    /// Progress of the pass over the waiting tasks.
    pub(crate) pass: Pass,
    /// The queues of short tasks and of fillers.
    pub(crate) queues: OwnQueues,
    /// The room that long-running tasks leave to short ones.
    pub(crate) short_share: ShortShare,
    /// The mean work of the jobs of each queue.
    pub(crate) mean_work: MeanWork,
    /// When the list of workers was last unreadable.
    pub(crate) unreadable_at: u64,
    /// The loads that other cells reported.
    pub(crate) cell_loads: BTreeMap<u32, CellLoad>,
    /// Records to be put into other cells' logs.
    pub(crate) to_deliver: Vec<Key>,
    /// Records being sent there.
    pub(crate) sending: BTreeSet<Key>,
    /// The removal of jobs from the log.
    pub(crate) removals: Removals,
    /// When loads were last forecast.
    pub(crate) forecast_at: u64,
    /// Jobs with tasks that may have to be placed.
    pub(crate) open: BTreeSet<JobId>,
    /// Jobs that changed since the last batch.
    pub(crate) dirty: BTreeSet<JobId>,
    /// Received ends that are not in the log yet, in the order of their receipt.
    pub(crate) unlogged: Vec<RunEnd>,
    /// Reports of jobs whose ends the log holds, until they are taken.
    pub(crate) reports: Vec<EndedJob>,
    /// Orders that need no record.
    pub(crate) orders: Vec<Order>,
    /// Jobs with repetitions still to begin.
    pub(crate) repeating: BTreeSet<JobId>,
    /// Maintenance waves.
    pub(crate) waves: BTreeMap<u64, WaveState>,
    /// The pace of orders to the machine service.
    pub(crate) wave_pace: OrderPace,
    /// Steps that wait for their question to the ticket service.
    pub(crate) ticket_backlog: Backlog,
    /// Jobs that were cancelled before they were known.
    pub(crate) early_cancels: HashMap<JobId, EarlyCancel>,
    /// Incarnations of workers whose descriptions the log need not hold any more.
    pub(crate) obsolete_records: Vec<Incarnation>,
}

impl Cell {
    /// A cell without jobs or workers, taken over at `now`.
    pub fn new(limits: TimeLimits, fence: u64, now: u64) -> Self {
        Self {
            limits,
            fence,
            number: 0,
            began_at: now,
            ended_owners: BTreeMap::new(),
            earlier_owners: BTreeSet::new(),
            only_cell: true,
            max_runs: usize::MAX,
            job_room: JobRoom::default(),
            loaded: false,
            jobs: HashMap::new(),
            workers: BTreeMap::new(),
            interference: InterferenceModel::default(),
            load_cycles: LoadCycles::default(),
            health: HealthBook::default(),
            evacuated: BTreeSet::new(),
            late_starts: LateStarts::default(),
            silences: Vec::new(),
            given_up_tasks: BTreeSet::new(),
            unproven_losses: UnprovenLosses::default(),
            unplaceable: Vec::new(),
            pass: Pass::default(),
            queues: OwnQueues::default(),
            short_share: ShortShare::new(now),
            mean_work: MeanWork::default(),
            unreadable_at: now,
            cell_loads: BTreeMap::new(),
            to_deliver: Vec::new(),
            sending: BTreeSet::new(),
            removals: Removals::default(),
            forecast_at: 0,
            counts: Counts::default(),
            open: BTreeSet::new(),
            dirty: BTreeSet::new(),
            unlogged: Vec::new(),
            reports: Vec::new(),
            orders: Vec::new(),
            repeating: BTreeSet::new(),
            waves: BTreeMap::new(),
            wave_pace: OrderPace::default(),
            ticket_backlog: Backlog::default(),
            early_cancels: HashMap::new(),
            obsolete_records: Vec::new(),
        }
    }

    /// The state of a job that the log holds, which clients see.
    pub fn state(&self, id: JobId) -> Option<State> {
        self.jobs.get(&id).map(|j| j.logged_state)
    }

    /// The number of jobs of each queue that have not begun.
    pub fn pending(&self) -> BTreeMap<&str, u64> {
        let mut counts = BTreeMap::new();
        let here = self.jobs.values().filter(|j| j.progress.job_transfer.is_none());
        for job in here.filter(|j| j.logged_state == State::Queued) {
            *counts.entry(&*job.submission.policy.queue).or_default() += 1;
        }
        counts
    }

    /// Whether no change waits to be written.
    pub fn flushed(&self) -> bool {
        self.dirty.is_empty() && self.workers.values().all(|w| w.received_ends <= w.logged_ends)
    }

    /// Whether anything waits to be placed, written or sent.
    pub fn has_work(&self) -> bool {
        !self.open.is_empty() || !self.orders.is_empty() || !self.flushed()
    }
}
