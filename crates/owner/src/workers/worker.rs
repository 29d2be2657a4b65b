//! Workers as the owner tracks them.

use std::sync::Arc;

use myrtle_base::Room;
use myrtle_job::{Listing, TaskId};

use crate::disruption::blame::Blame;
use crate::disruption::forecast::LoadForecast;
use crate::disruption::interference::Usage;
use crate::health::book::WorkerHealth;
use crate::workers::wait::Wait;
use crate::{ActiveRun, ActiveRuns, Stage};

/// Whether an incarnation of a worker answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It has not answered this owner yet.
    Unreached,
    /// It answered its last lease renewal.
    Answering,
    /// It does not answer; its runs may go on.
    Silent,
    /// It has certainly ended, or all its leases have.
    Gone,
}

/// A filler that has ended but is still included in the latest reports.
#[derive(Debug, Clone)]
pub(crate) struct EndedFiller {
    /// The image that it ran.
    pub(crate) image: Arc<str>,
    /// Its last reported use, in thousandths of a core.
    pub(crate) used: f64,
    /// When it ended.
    pub(crate) ended_at: u64,
}

/// One incarnation of a worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its entry in the list, if it was ever listed or restored from the log.
    pub listing: Option<Listing>,
    /// Whether it is listed now.
    pub listed: bool,
    /// Whether this owner has read its entry in the list; otherwise it is known from the log or
    /// from a reply.
    pub(crate) entry_read: bool,
    /// When it was last removed from the list.
    pub unlisted_at: u64,
    /// Whether it answers.
    pub presence: Presence,
    /// When it last answered.
    pub answered_at: u64,
    /// The latest time at which a call was sent that it has answered: it was up then or later.
    pub(crate) alive_at: u64,
    /// Its clock at its last answer, and the host's steady clock then.
    pub clock: Option<(u64, u64)>,
    /// The end of the last of its leases, on its clock.
    pub until: u64,
    /// How long no lease has been given to it while it does not answer.
    pub(crate) wait: Wait,
    /// Its active runs.
    pub active_runs: ActiveRuns,
    /// The number up to which its ends were received.
    pub received_ends: u64,
    /// The number up to which its ends are in the log.
    pub logged_ends: u64,
    /// The end of its backoff after refusals or failures.
    pub backoff_until: u64,
    /// What is known of its health.
    pub(crate) health: WorkerHealth,
    /// When one of its reported figures last changed.
    pub reported_at: u64,
    /// The usage of fillers in the last window, by image.
    pub usage: Usage,
    /// The load forecasts of its serving tasks, by image.
    pub(crate) forecasts: Vec<LoadForecast>,
    /// When its fillers were last throttled.
    pub throttled_at: u64,
    /// Whether its fillers slow its serving tasks.
    pub(crate) blame: Blame,
    /// Fillers that ended recently.
    pub(crate) ended_fillers: Vec<EndedFiller>,
    /// Whether the log holds its description.
    pub logged: bool,
    /// Whether it is being drained for maintenance of its machine.
    pub in_maintenance: bool,
    /// Whether its data centre is evacuated.
    pub evacuated: bool,
    /// Until when it is slow after its own start.
    pub warm_at: u64,
    /// When it leaves, if it announced that.
    pub leaves_at: Option<u64>,
    /// Whether it was about to leave when it last answered.
    pub(crate) leaving: bool,
    /// The value of `leaving` in the log.
    pub(crate) leaving_logged: bool,
    /// The start times of earlier incarnations of the worker.
    pub(crate) earlier_starts: Vec<u64>,
}

impl Worker {
    /// An incarnation that has not answered yet.
    pub fn new(now: u64) -> Self {
        Self {
            listing: None,
            listed: false,
            entry_read: false,
            unlisted_at: now,
            presence: Presence::Unreached,
            answered_at: now,
            alive_at: 0,
            clock: None,
            until: 0,
            wait: Wait::new(now),
            active_runs: ActiveRuns::default(),
            received_ends: 0,
            logged_ends: 0,
            backoff_until: 0,
            health: WorkerHealth::default(),
            reported_at: 0,
            usage: Usage::new(),
            forecasts: Vec::new(),
            throttled_at: 0,
            blame: Blame::default(),
            ended_fillers: Vec::new(),
            logged: false,
            in_maintenance: false,
            evacuated: false,
            warm_at: 0,
            leaves_at: None,
            leaving: false,
            leaving_logged: false,
            earlier_starts: Vec::new(),
        }
    }

    /// Removes a run that has ended, if it is the one there.
    pub(crate) fn remove_run(&mut self, task: TaskId, run: u32, now: u64) -> Option<ActiveRun> {
        self.active_runs.get(&task).filter(|f| f.run == run)?;
        let active = self.active_runs.remove(&task)?;
        if let Some(image) = active.image.clone().filter(|_| active.filler) {
            self.ended_fillers.push(EndedFiller { image, used: active.figure, ended_at: now });
        }
        Some(active)
    }

    /// Its total room; empty if it was never listed.
    pub fn room(&self) -> Room {
        self.listing.as_ref().map_or(Room::default(), |l| l.room)
    }

    /// Its processors in thousandths of a core, at least one.
    pub fn size(&self) -> f64 {
        f64::from(self.room().cpu.max(1))
    }

    /// The room that its runs claim.
    pub fn used(&self) -> Room {
        self.active_runs.sums().claimed
    }

    /// The room that is not claimed.
    pub fn free(&self) -> Room {
        self.room().minus(&self.used())
    }

    /// Whether it has announced that it leaves.
    pub fn draining(&self) -> bool {
        self.listing.as_ref().is_some_and(|l| l.draining)
    }

    /// Whether its leases are to be renewed: it can be given work, or may still run tasks.
    pub fn needs_renewal(&self) -> bool {
        self.listed || self.listing.is_some() && self.presence != Presence::Gone
    }

    /// Whether new work may start there.
    pub fn accepts_work(&self, now: u64) -> bool {
        self.presence == Presence::Answering
            && self.listed
            && !self.draining()
            && !self.in_maintenance
            && !self.evacuated
            && !self.wait.forbids_leases()
            && !self.health.standing.excluded
            && self.backoff_until <= now
    }

    /// The rack, which is the last of its labels.
    pub fn rack(&self) -> Option<&str> {
        self.listing.as_ref()?.labels.last().map(String::as_str)
    }

    /// Whether it runs a long-running task.
    pub fn has_long_running(&self) -> bool {
        self.active_runs.sums().long_running
    }

    /// Whether it has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.listing.as_ref().is_some_and(|l| l.labels.iter().any(|x| x == label))
    }

    /// Its running fillers.
    pub(crate) fn fillers(&self) -> impl Iterator<Item = (&TaskId, &ActiveRun)> {
        self.active_runs.iter().filter(|(_, f)| f.filler && f.stage == Stage::Running)
    }

    /// The processors that fillers could use, in thousandths of a core.
    pub fn spare(&self) -> f64 {
        f64::from(self.room().cpu) - self.active_runs.sums().non_fillers
    }

    /// The processors that its fillers ask for at their speed limits, in thousandths of a core.
    pub fn filler_demand(&self) -> f64 {
        self.active_runs.sums().fillers
    }
}
