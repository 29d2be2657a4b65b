//! Workers as the owner sees them.

use std::sync::Arc;

use myrtle_base::Room;
use myrtle_job::{Listing, TaskId};

use crate::disruption::forecast::LoadForecast;
use crate::disruption::harm::Usage;
use crate::workers::wait::Wait;
use crate::{Flight, Flights, Stage};

/// Whether a life of a worker can be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// It has not answered this owner yet.
    Unmet,
    /// Its last hold was answered.
    Well,
    /// It does not answer; what runs there may go on.
    Silent,
    /// It is surely over, or every lease there is.
    Gone,
}

/// A filler that has ended but still shows in figures.
#[derive(Debug, Clone)]
pub(crate) struct EndedFiller {
    /// What it ran.
    pub(crate) image: Arc<str>,
    /// What it used at last, in thousandths of a core.
    pub(crate) used: f64,
    /// When it ended.
    pub(crate) ended_at: u64,
}

/// One incarnation of a worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its description, if the list has shown one.
    pub listing: Option<Listing>,
    /// Whether the list shows it now.
    pub listed: bool,
    /// Whether this owner has read its entry in the list; else it is known from the log or from an answer.
    pub(crate) read: bool,
    /// When the list ceased to show it.
    pub unlisted_at: u64,
    /// Whether it can be given work.
    pub life: Life,
    /// When it last answered.
    pub heard: u64,
    /// Its clock when it last answered, and the steady clock then.
    pub clock: Option<(u64, u64)>,
    /// The end of every lease there, on its clock.
    pub until: u64,
    /// How long it has been waited for.
    pub(crate) wait: Wait,
    /// The runs there.
    pub flights: Flights,
    /// Ends up to this number were taken in.
    pub taken: u64,
    /// Ends up to this number are in the log.
    pub noted: u64,
    /// No work before this time, after refusals or failures.
    pub backoff_until: u64,
    /// Failed ends since the last good one.
    pub fails: u32,
    /// How often in a row it was set aside.
    pub backoffs: u32,
    /// When its figures last changed.
    pub reported_at: u64,
    /// What fillers used in the last window, by image.
    pub usage: Usage,
    /// What is foreseen for its serving tasks, by image.
    pub(crate) outlooks: Vec<LoadForecast>,
    /// When fillers were last slowed here.
    pub throttled_at: u64,
    /// Fillers that ended lately.
    pub(crate) ended_fillers: Vec<EndedFiller>,
    /// Whether the log holds its description.
    pub logged: bool,
    /// Whether it is being emptied for the upkeep of its machine.
    pub in_maintenance: bool,
    /// Whether its data centre is being emptied.
    pub emptied: bool,
    /// Until when it is slow from its start.
    pub warm: u64,
    /// When it leaves, if it said so.
    pub leaves: Option<u64>,
    /// Whether it was about to leave when it last answered.
    pub(crate) leaving: bool,
    /// Whether the log says so.
    pub(crate) leaving_logged: bool,
    /// When earlier incarnations of the worker started.
    pub(crate) before: Vec<u64>,
    /// Starts that got no answer lately, here or at earlier incarnations: task, run and when.
    pub(crate) unanswered: Vec<(TaskId, u32, u64)>,
}

impl Worker {
    /// A life that has only been heard of.
    pub fn new(now: u64) -> Self {
        Self {
            listing: None,
            listed: false,
            read: false,
            unlisted_at: now,
            life: Life::Unmet,
            heard: now,
            clock: None,
            until: 0,
            wait: Wait::new(now),
            flights: Flights::default(),
            taken: 0,
            noted: 0,
            backoff_until: 0,
            fails: 0,
            backoffs: 0,
            reported_at: 0,
            usage: Usage::new(),
            outlooks: Vec::new(),
            throttled_at: 0,
            ended_fillers: Vec::new(),
            logged: false,
            in_maintenance: false,
            emptied: false,
            warm: 0,
            leaves: None,
            leaving: false,
            leaving_logged: false,
            before: Vec::new(),
            unanswered: Vec::new(),
        }
    }

    /// Takes a run off that has ended, if it is the one there.
    pub(crate) fn drop_flight(&mut self, task: TaskId, run: u32, now: u64) -> Option<Flight> {
        self.flights.get(&task).filter(|f| f.run == run)?;
        let active = self.flights.remove(&task)?;
        if let Some(image) = active.image.clone().filter(|_| active.filler) {
            self.ended_fillers.push(EndedFiller { image, used: active.figure, ended_at: now });
        }
        Some(active)
    }

    /// What it has.
    pub fn room(&self) -> Room {
        self.listing.as_ref().map_or(Room::default(), |l| l.room)
    }

    /// Its processors in thousandths of a core, at least one.
    pub fn size(&self) -> f64 {
        f64::from(self.room().cpu.max(1))
    }

    /// What the runs there count.
    pub fn used(&self) -> Room {
        self.flights.sums().claimed
    }

    /// What is left.
    pub fn free(&self) -> Room {
        self.room().less(&self.used())
    }

    /// Whether it is about to leave.
    pub fn draining(&self) -> bool {
        self.listing.as_ref().is_some_and(|l| l.draining)
    }

    /// Whether it is to be held: it can be given work, or may run what it was given.
    pub fn wants_hold(&self) -> bool {
        self.listed || self.listing.is_some() && self.life != Life::Gone
    }

    /// Whether new work may go there.
    pub fn open(&self, now: u64) -> bool {
        self.life == Life::Well
            && self.listed
            && !self.draining()
            && !self.in_maintenance
            && !self.emptied
            && !self.wait.bars()
            && self.backoff_until <= now
    }

    /// The rack, which is the last of its labels.
    pub fn rack(&self) -> Option<&str> {
        self.listing.as_ref()?.labels.last().map(String::as_str)
    }

    /// Whether a lasting task is there.
    pub fn lasts(&self) -> bool {
        self.flights.sums().long_running
    }

    /// Whether it has a label.
    pub fn labelled(&self, label: &str) -> bool {
        self.listing.as_ref().is_some_and(|l| l.labels.iter().any(|x| x == label))
    }

    /// The fillers that are at work there.
    pub(crate) fn fillers(&self) -> impl Iterator<Item = (&TaskId, &Flight)> {
        self.flights.iter().filter(|(_, f)| f.filler && f.stage == Stage::Up)
    }

    /// The processors that fillers could use, in thousandths of a core.
    pub fn spare(&self) -> f64 {
        f64::from(self.room().cpu) - self.flights.sums().non_fillers
    }

    /// The processors that its fillers ask for at their paces, in thousandths of a core.
    pub fn filled(&self) -> f64 {
        self.flights.sums().fillers
    }
}
